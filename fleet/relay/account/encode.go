package account

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Many nodes write the ledger over narrow links, each replacing the newest one, so its size
// determines how often writers collide. Incarnations are therefore named once, rows are arrays of
// numbers, and empty rows are omitted.

// ledgerForm is the stored form of a ledger.
type ledgerForm struct {
	Incarnations [][2]string   `json:"lives"` // node and incarnation
	Accounts     []accountForm `json:"accounts"`
	Era          *int64        `json:"era,omitempty"`  // nil: written by an earlier build
	Base         *[2]int64     `json:"base,omitempty"` // era and number of a revision; nil: none
}

// origin returns where in the store's history the ledger was written.
func (f ledgerForm) origin() Origin {
	var o Origin
	if f.Era != nil {
		o.Recorded, o.Era = true, *f.Era
	}
	if f.Base != nil {
		o.Base = store.At(f.Base[0], f.Base[1])
	}
	return o
}

// accountForm is the stored form of an account.
type accountForm struct {
	Tenant string    `json:"t"`
	Closed [3]int64  `json:"c"`           // drawn, spent, granted
	Rate   int64     `json:"w,omitempty"` // tokens a second
	Rows   []rowForm `json:"r,omitempty"`
}

// rowForm is the stored form of a row: the index of its incarnation, drawn, spent, granted.
type rowForm [4]int64

// maxTokens bounds each number of a ledger, so that sums of them don't overflow.
const maxTokens = 1 << 50

// check returns an error if nodes can't have written the ledger: it would free spent tokens, or
// it is ambiguous whose they are. A single row may have a negative amount drawn, since an
// incarnation that received grants gives back what others drew.
func (f ledgerForm) check() error {
	if f.Accounts == nil {
		return errors.New("it has no accounts")
	}
	tenants := map[string]bool{}
	for _, a := range f.Accounts {
		if tenants[a.Tenant] {
			return errors.Newf("two accounts of %.80q", a.Tenant)
		}
		tenants[a.Tenant] = true
		drawn, sum := a.Closed[0], a.Closed
		if !validTokens(a.Closed) {
			return errors.Newf("the account of %.80q has closed %d", a.Tenant, a.Closed)
		}
		for _, r := range a.Rows {
			if !validTokens([3]int64(r[1:])) {
				return errors.Newf("a row of %.80q says %d", a.Tenant, r)
			}
			drawn += r[1]
			for i := range sum {
				sum[i] += r[i+1]
			}
			if !validTokens(sum) {
				return errors.Newf("the rows of %.80q add up to %d", a.Tenant, sum)
			}
		}
		if drawn < 0 {
			return errors.Newf("the account of %.80q has drawn %d", a.Tenant, drawn)
		}
	}
	return nil
}

// validTokens reports whether numbers are valid amounts of tokens drawn, spent and granted.
func validTokens(n [3]int64) bool {
	return n[1] >= 0 && !slices.ContainsFunc(n[:], func(tokens int64) bool { return tokens > maxTokens || tokens < -maxTokens })
}

// Follows returns an error if the ledger can't be a later version of another one: accounts are
// never removed, and what was reported as spent never decreases.
func (l Ledger) Follows(before Ledger) error {
	spent := make(map[string]int64, len(l.Accounts))
	for _, a := range l.Accounts {
		spent[a.Tenant] = a.Spent()
	}
	for _, a := range before.Accounts {
		if now, known := spent[a.Tenant]; !known || now < a.Spent() {
			return errors.Newf("ledger: %d tokens spent of %.80q after %d", now, a.Tenant, a.Spent())
		}
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (l Ledger) MarshalJSON() ([]byte, error) {
	form := ledgerForm{Incarnations: [][2]string{}, Accounts: make([]accountForm, 0, len(l.Accounts))}
	index := map[[2]string]int64{}
	for _, a := range l.Accounts {
		f := accountForm{Tenant: a.Tenant, Closed: [3]int64{a.ClosedDrawn, a.ClosedSpent, a.ClosedGranted}, Rate: a.Rate}
		for _, r := range a.Rows {
			if r.Drawn == 0 && r.Spent == 0 && r.Granted == 0 {
				continue
			}
			incarnation := [2]string{r.Node, r.Incarnation}
			at, ok := index[incarnation]
			if !ok {
				at = int64(len(form.Incarnations))
				index[incarnation] = at
				form.Incarnations = append(form.Incarnations, incarnation)
			}
			f.Rows = append(f.Rows, rowForm{at, r.Drawn, r.Spent, r.Granted})
		}
		form.Accounts = append(form.Accounts, f)
	}
	if l.Origin.Recorded {
		form.Era = &l.Origin.Era
	}
	if base := l.Origin.Base; base != 0 {
		form.Base = &[2]int64{base.Era(), base.Number()}
	}
	return json.Marshal(form)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Ledger) UnmarshalJSON(data []byte) error {
	var form ledgerForm
	if err := json.Unmarshal(data, &form); err != nil {
		return errors.Wrap(err, "ledger")
	}
	if err := form.check(); err != nil {
		return errors.Wrap(err, "ledger")
	}
	accounts := make([]Account, 0, len(form.Accounts))
	for _, f := range form.Accounts {
		a := Account{Tenant: f.Tenant, ClosedDrawn: f.Closed[0], ClosedSpent: f.Closed[1], ClosedGranted: f.Closed[2], Rate: min(max(f.Rate, 0), maxTokens)}
		for _, r := range f.Rows {
			if r[0] < 0 || r[0] >= int64(len(form.Incarnations)) {
				return errors.Newf("ledger: a row of %s names life %d of %d", f.Tenant, r[0], len(form.Incarnations))
			}
			incarnation := form.Incarnations[r[0]]
			a.Rows = append(a.Rows, Row{Node: incarnation[0], Incarnation: incarnation[1], Drawn: r[1], Spent: r[2], Granted: r[3]})
		}
		accounts = append(accounts, a)
	}
	l.Accounts, l.Origin = accounts, form.origin()
	return nil
}
