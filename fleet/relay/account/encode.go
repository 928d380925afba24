package account

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// A book is written by many nodes over narrow links, each write against the
// newest one: what it takes to carry decides how often writers collide. So lives
// are named once, rows are numbers, and rows that say nothing are left out.

// bookForm is a book as it is stored.
type bookForm struct {
	Lives    [][2]string   `json:"lives"` // node and life
	Accounts []accountForm `json:"accounts"`
}

// accountForm is an account as it is stored.
type accountForm struct {
	Tenant string    `json:"t"`
	Closed [3]int64  `json:"c"` // drawn, spent, lent
	Rows   []rowForm `json:"r,omitempty"`
}

// rowForm is a row as it is stored: the index of its life, drawn, spent, lent.
type rowForm [4]int64

// MarshalJSON implements json.Marshaler.
func (b Book) MarshalJSON() ([]byte, error) {
	form := bookForm{Lives: [][2]string{}, Accounts: make([]accountForm, 0, len(b.Accounts))}
	index := map[[2]string]int64{}
	for _, a := range b.Accounts {
		f := accountForm{Tenant: a.Tenant, Closed: [3]int64{a.ClosedDrawn, a.ClosedSpent, a.ClosedLent}}
		for _, r := range a.Rows {
			if r.Drawn == 0 && r.Spent == 0 && r.Lent == 0 {
				continue
			}
			life := [2]string{r.Node, r.Life}
			at, ok := index[life]
			if !ok {
				at = int64(len(form.Lives))
				index[life] = at
				form.Lives = append(form.Lives, life)
			}
			f.Rows = append(f.Rows, rowForm{at, r.Drawn, r.Spent, r.Lent})
		}
		form.Accounts = append(form.Accounts, f)
	}
	return json.Marshal(form)
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *Book) UnmarshalJSON(data []byte) error {
	var form bookForm
	if err := json.Unmarshal(data, &form); err != nil {
		return errors.Wrap(err, "book")
	}
	accounts := make([]Account, 0, len(form.Accounts))
	for _, f := range form.Accounts {
		a := Account{Tenant: f.Tenant, ClosedDrawn: f.Closed[0], ClosedSpent: f.Closed[1], ClosedLent: f.Closed[2]}
		for _, r := range f.Rows {
			if r[0] < 0 || r[0] >= int64(len(form.Lives)) {
				return errors.Newf("book: a row of %s names life %d of %d", f.Tenant, r[0], len(form.Lives))
			}
			life := form.Lives[r[0]]
			a.Rows = append(a.Rows, Row{Node: life[0], Life: life[1], Drawn: r[1], Spent: r[2], Lent: r[3]})
		}
		accounts = append(accounts, a)
	}
	b.Accounts = accounts
	return nil
}
