package account

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// A ledger is written by many nodes over narrow links, each write against the
// newest one: what it takes to carry decides how often writers collide. So lives
// are named once, rows are numbers, and rows that say nothing are left out.

// ledgerForm is a ledger as it is stored.
type ledgerForm struct {
	Lives    [][2]string   `json:"lives"`           // node and life
	Holds    []holdForm    `json:"holds,omitempty"` // of each life; none where there is none
	Accounts []accountForm `json:"accounts"`
}

// accountForm is an account as it is stored.
type accountForm struct {
	Tenant string    `json:"t"`
	Closed [3]int64  `json:"c"` // drawn, spent, granted
	Rows   []rowForm `json:"r,omitempty"`
}

// holdForm is the hold of a life as it is stored: from and until when, in ms.
type holdForm struct {
	Boot  string `json:"b,omitempty"`
	From  int64  `json:"f,omitempty"`
	Until int64  `json:"u,omitempty"`
}

// rowForm is a row as it is stored: the index of its life, drawn, spent, granted,
// reserve.
type rowForm [5]int64

// lifeForm tells lives apart as they are stored.
type lifeForm struct {
	node, life string
	hold       Hold
}

// MarshalJSON implements json.Marshaler.
func (b Ledger) MarshalJSON() ([]byte, error) {
	form := ledgerForm{Lives: [][2]string{}, Accounts: make([]accountForm, 0, len(b.Accounts))}
	index := map[lifeForm]int64{}
	for _, a := range b.Accounts {
		f := accountForm{Tenant: a.Tenant, Closed: [3]int64{a.ClosedDrawn, a.ClosedSpent, a.ClosedGranted}}
		for _, r := range a.Rows {
			if r.Drawn == 0 && r.Spent == 0 && r.Granted == 0 {
				continue
			}
			life := lifeForm{node: r.Node, life: r.Life, hold: r.Hold}
			at, ok := index[life]
			if !ok {
				at = int64(len(form.Lives))
				index[life] = at
				form.Lives = append(form.Lives, [2]string{r.Node, r.Life})
				form.Holds = append(form.Holds, holdForm{Boot: r.Hold.Boot, From: ceilMs(r.Hold.From), Until: r.Hold.Until.Milliseconds()})
			}
			f.Rows = append(f.Rows, rowForm{at, r.Drawn, r.Spent, r.Granted, r.Reserve})
		}
		form.Accounts = append(form.Accounts, f)
	}
	return json.Marshal(form)
}

// hold is that of the life at an index; ledgers of older versions name none.
func (f ledgerForm) hold(at int64) Hold {
	if at >= int64(len(f.Holds)) {
		return Hold{}
	}
	h := f.Holds[at]
	return Hold{Boot: h.Boot, From: time.Duration(h.From) * time.Millisecond, Until: time.Duration(h.Until) * time.Millisecond}
}

// ceilMs rounds up: what is stored of a hold lies within it.
func ceilMs(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// UnmarshalJSON implements json.Unmarshaler.
func (b *Ledger) UnmarshalJSON(data []byte) error {
	var form ledgerForm
	if err := json.Unmarshal(data, &form); err != nil {
		return errors.Wrap(err, "ledger")
	}
	accounts := make([]Account, 0, len(form.Accounts))
	for _, f := range form.Accounts {
		a := Account{Tenant: f.Tenant, ClosedDrawn: f.Closed[0], ClosedSpent: f.Closed[1], ClosedGranted: f.Closed[2]}
		for _, r := range f.Rows {
			if r[0] < 0 || r[0] >= int64(len(form.Lives)) {
				return errors.Newf("ledger: a row of %s names life %d of %d", f.Tenant, r[0], len(form.Lives))
			}
			life := form.Lives[r[0]]
			a.Rows = append(a.Rows, Row{Node: life[0], Life: life[1], Drawn: r[1], Spent: r[2], Granted: r[3], Reserve: r[4], Hold: form.hold(r[0])})
		}
		accounts = append(accounts, a)
	}
	b.Accounts = accounts
	return nil
}
