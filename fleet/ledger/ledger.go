// Package ledger holds the money of one slot: for each budget the limit, and for
// each holder incarnation what it has drawn, returned and settled, in tokens.
//
// Counters only grow, so that an update whose answer was lost is resolved by
// reading again. The invariant after every operation is
//
//	spent by closed accounts + sum of what open accounts hold <= limit.
package ledger

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// ErrClosed means that a holder's account was closed: its incarnation is over.
var ErrClosed = errors.New("the holder's account is closed")

// Key is the platform's key of a slot's ledger.
func Key(s ident.Slot) string { return "ledger/" + strconv.Itoa(int(s)) }

// Prefix is the platform's prefix of every ledger.
const Prefix = "ledger/"

// Account is what one holder incarnation has of a budget.
type Account struct {
	Holder   ident.Incarnation `json:"holder"`
	Zone     ident.Zone        `json:"zone"`
	Drawn    int64             `json:"drawn"`
	Returned int64             `json:"returned"`
	Settled  int64             `json:"settled"`
	Reserved int64             `json:"reserved"` // as of the last update
	Rate     float64           `json:"rate"`     // demand, tokens a second
	Lump     int64             `json:"lump"`     // a typical reservation
	Segment  int64             `json:"segment"`  // the last segment of bills that Settled covers
	// Frozen marks a dead holder's account that waits for open requests to end.
	Frozen bool `json:"frozen,omitempty"`
}

// Held is what the account may spend in all: drawn less returned.
func (a Account) Held() int64 { return a.Drawn - a.Returned }

// Unspent is what the account holds and has not settled.
func (a Account) Unspent() int64 { return a.Held() - a.Settled }

// Target is a lower limit that is waiting for holdings to be called back.
type Target struct {
	Limit   int64         `json:"limit"`
	Version table.Version `json:"version"`
}

// Budget is one budget's line of the ledger.
type Budget struct {
	Name     ident.Budget  `json:"name"`
	Limit    int64         `json:"limit"`
	Version  table.Version `json:"version"` // of the row that the limit came from
	Target   *Target       `json:"target,omitempty"`
	Closed   int64         `json:"closed"` // spent by accounts that are closed
	Accounts []Account     `json:"accounts,omitempty"`
}

// Committed is what is spent by closed accounts or held by open ones.
func (b Budget) Committed() int64 {
	return b.Closed + lo.SumBy(b.Accounts, Account.Held)
}

// Spent is what has been settled.
func (b Budget) Spent() int64 {
	return b.Closed + lo.SumBy(b.Accounts, func(a Account) int64 { return a.Settled })
}

// Ceiling is the limit that binds: the target where one is set and lower.
func (b Budget) Ceiling() int64 {
	if b.Target != nil {
		return min(b.Limit, b.Target.Limit)
	}
	return b.Limit
}

// Pool is what no account holds; it is negative while holdings are called back.
func (b Budget) Pool() int64 { return b.Ceiling() - b.Committed() }

// Account finds a holder's account.
func (b Budget) Account(h ident.Incarnation) (Account, bool) {
	return lo.Find(b.Accounts, func(a Account) bool { return a.Holder == h })
}

// WithAccount is the budget with a holder's account put in or replaced.
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

// settleTarget puts a lower limit in force once enough holdings are back.
func (b Budget) settleTarget() Budget {
	if b.Target != nil && b.Committed() <= b.Target.Limit {
		b.Limit, b.Version, b.Target = b.Target.Limit, b.Target.Version, nil
	}
	return b
}

// WithRow takes a newer limit from the table; a lower one waits for holdings to come back.
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

// WithoutTarget gives up lowering the limit to a version's.
func (b Budget) WithoutTarget(version table.Version) Budget {
	if b.Target != nil && b.Target.Version == version {
		b.Target = nil
	}
	return b
}

// Slot is the ledger of one slot; it is not changed in place.
type Slot struct {
	Slot    ident.Slot `json:"slot"`
	Budgets []Budget   `json:"budgets"`
}

// Budget finds a budget's line.
func (s Slot) Budget(name ident.Budget) (Budget, bool) {
	return lo.Find(s.Budgets, func(b Budget) bool { return b.Name == name })
}

// WithBudget is the slot with a budget's line put in or replaced.
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

// Holders lists the incarnations that have an open account in the slot.
func (s Slot) Holders() []ident.Incarnation {
	holders := lo.FlatMap(s.Budgets, func(b Budget, _ int) []ident.Incarnation {
		return lo.Map(b.Accounts, func(a Account, _ int) ident.Incarnation { return a.Holder })
	})
	holders = lo.Uniq(holders)
	slices.Sort(holders)
	return holders
}
