// Package ledger records the budgets of one slot: the limit of each, and the tokens
// that each holder incarnation has drawn, returned and settled.
//
// Drawn and returned tokens are counters that only grow, so that an update whose
// answer was lost is resolved by reading the ledger again. The invariant after every
// operation is
//
//	spent by closed accounts + held by open accounts <= limit.
package ledger

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// ErrClosed means that a holder's account was closed because its incarnation has ended.
var ErrClosed = errors.New("the holder's account is closed")

// Key returns the platform key of a slot's ledger.
func Key(s ident.Slot) string { return "ledger/" + strconv.Itoa(int(s)) }

// Prefix is the prefix of the platform keys of all ledgers.
const Prefix = "ledger/"

// Account is the account of one holder incarnation in a budget. Amounts are in tokens.
type Account struct {
	Holder          ident.Incarnation `json:"holder"`
	Zone            ident.Zone        `json:"zone"`
	Drawn           int64             `json:"drawn"`
	Returned        int64             `json:"returned"`
	Settled         int64             `json:"settled"`
	Reserved        int64             `json:"reserved"` // as of the last update
	Rate            float64           `json:"rate"`     // demand, tokens per second
	ReservationSize int64             `json:"lump"`     // size of a typical reservation
	Segment         int64             `json:"segment"`  // last segment of bills that Settled covers
	// Frozen marks the account of a dead holder whose open requests have not all ended.
	Frozen bool `json:"frozen,omitempty"`
}

// Held returns the tokens that the account may spend in total: drawn minus returned.
func (a Account) Held() int64 { return a.Drawn - a.Returned }

// Unspent returns the held tokens that are not settled.
func (a Account) Unspent() int64 { return a.Held() - a.Settled }

// Target is a lower limit that takes effect once enough holdings have been recalled.
type Target struct {
	Limit   int64         `json:"limit"`
	Version table.Version `json:"version"`
}

// Budget is one budget's entry in the ledger.
type Budget struct {
	Name     ident.Budget  `json:"name"`
	Limit    int64         `json:"limit"`
	Version  table.Version `json:"version"` // of the table row that sets the limit
	Target   *Target       `json:"target,omitempty"`
	Closed   int64         `json:"closed"` // tokens spent by closed accounts
	Accounts []Account     `json:"accounts,omitempty"`
}

// Committed returns the tokens spent by closed accounts or held by open ones.
func (b Budget) Committed() int64 {
	return b.Closed + lo.SumBy(b.Accounts, Account.Held)
}

// Spent returns the settled tokens of all accounts, open and closed.
func (b Budget) Spent() int64 {
	return b.Closed + lo.SumBy(b.Accounts, func(a Account) int64 { return a.Settled })
}

// Ceiling returns the effective limit: the target if one is set and lower.
func (b Budget) Ceiling() int64 {
	if b.Target != nil {
		return min(b.Limit, b.Target.Limit)
	}
	return b.Limit
}

// Pool returns the tokens that no account holds. It is negative while holdings are being recalled.
func (b Budget) Pool() int64 { return b.Ceiling() - b.Committed() }

// Account returns a holder's account.
func (b Budget) Account(h ident.Incarnation) (Account, bool) {
	return lo.Find(b.Accounts, func(a Account) bool { return a.Holder == h })
}

// WithAccount returns the budget with a holder's account added or replaced.
func (b Budget) WithAccount(a Account) Budget {
	accounts := lo.Filter(b.Accounts, func(other Account, _ int) bool { return other.Holder != a.Holder })
	b.Accounts = append(accounts, a)
	slices.SortFunc(b.Accounts, func(x, y Account) int {
		return lo.Ternary(x.Holder < y.Holder, -1, 1)
	})
	return b.settleTarget()
}

func (b Budget) withoutAccount(h ident.Incarnation) Budget {
	b.Accounts = lo.Filter(b.Accounts, func(a Account, _ int) bool { return a.Holder != h })
	return b
}

// settleTarget applies the target limit once enough holdings have been returned.
func (b Budget) settleTarget() Budget {
	if b.Target != nil && b.Committed() <= b.Target.Limit {
		b.Limit, b.Version, b.Target = b.Target.Limit, b.Target.Version, nil
	}
	return b
}

// WithRow applies a newer limit from the table. A limit below the committed tokens
// becomes the target until enough holdings have been returned.
func (b Budget) WithRow(limit int64, version table.Version) Budget {
	if version <= b.Version || (b.Target != nil && version <= b.Target.Version) {
		return b
	}
	if limit >= b.Committed() {
		b.Limit, b.Version, b.Target = limit, version, nil
		return b
	}
	b.Target = &Target{Limit: limit, Version: version}
	return b
}

// WithoutTarget cancels the target that a version of the row has set.
func (b Budget) WithoutTarget(version table.Version) Budget {
	if b.Target != nil && b.Target.Version == version {
		b.Target = nil
	}
	return b
}

// Slot is the ledger of one slot. It is immutable.
type Slot struct {
	Slot    ident.Slot `json:"slot"`
	Budgets []Budget   `json:"budgets"`
}

// Budget returns a budget's entry.
func (s Slot) Budget(name ident.Budget) (Budget, bool) {
	return lo.Find(s.Budgets, func(b Budget) bool { return b.Name == name })
}

// WithBudget returns the slot with a budget's entry added or replaced.
func (s Slot) WithBudget(b Budget) Slot {
	budgets := slices.Clone(s.Budgets)
	at, found := slices.BinarySearchFunc(budgets, b.Name, func(other Budget, name ident.Budget) int {
		return lo.Ternary(other.Name == name, 0, lo.Ternary(other.Name < name, -1, 1))
	})
	if found {
		budgets[at] = b
	} else {
		budgets = slices.Insert(budgets, at, b)
	}
	s.Budgets = budgets
	return s
}

// Holders returns the incarnations that have an open account in the slot.
func (s Slot) Holders() []ident.Incarnation {
	holders := lo.FlatMap(s.Budgets, func(b Budget, _ int) []ident.Incarnation {
		return lo.Map(b.Accounts, func(a Account, _ int) ident.Incarnation { return a.Holder })
	})
	holders = lo.Uniq(holders)
	slices.Sort(holders)
	return holders
}
