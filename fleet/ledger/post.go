package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// Line is a holder's update of one budget. Amounts are in tokens.
type Line struct {
	Budget  ident.Budget
	Limit   int64         // of the table row that the holder uses
	Version table.Version // of that row
	// Drawn is the drawn counter as the holder last read it. If it is above zero and the
	// account does not exist, the account was closed.
	Drawn           int64
	Returned        int64 // cumulative
	Settled         int64 // cumulative
	Reserved        int64
	Rate            float64 // demand, tokens per second
	ReservationSize int64   // size of a typical reservation
	// Need is how many more tokens the holder needs now; it draws as many as the pool has.
	Need int64
	// DrawShare asks to draw up to the planned share of the holding as well.
	DrawShare bool
	// CreditTo gets up to Credit of the tokens that this update returns, so that
	// another holder can't draw them from the pool first. It must have an account.
	CreditTo ident.Incarnation
	Credit   int64
}

// Post is one update of a slot by a holder.
type Post struct {
	Holder ident.Incarnation
	Zone   ident.Zone
	Lines  []Line
	// Segment is the last segment of bills that the settled counters cover.
	Segment int64
	// Leave closes the holder's own accounts and returns the unspent tokens.
	Leave bool
	// Successor gets the unspent tokens of a leaving holder if it has an account.
	Successor ident.Incarnation
}

// Apply returns the slot after a holder's update, or ErrClosed if its account was closed.
func (s Slot) Apply(p Post) (Slot, error) {
	for _, line := range p.Lines {
		b, ok := s.Budget(line.Budget)
		if !ok {
			b = Budget{Name: line.Budget}
		}
		next, err := b.apply(p, line)
		if err != nil {
			return s, err
		}
		s = s.WithBudget(next)
	}
	return s, nil
}

func (b Budget) apply(p Post, line Line) (Budget, error) {
	b = b.WithRow(line.Limit, line.Version)
	a, ok := b.Account(p.Holder)
	if a.Frozen || (!ok && line.Drawn > 0) {
		return b, errors.Wrapf(ErrClosed, "budget %s, holder %s", b.Name, p.Holder)
	}
	a.Holder, a.Zone = p.Holder, p.Zone
	returning := max(0, line.Returned-a.Returned)
	a.Returned += returning
	a.Settled = line.Settled // only its holder posts it; a voided bill lowers it
	a.Segment = max(a.Segment, p.Segment)
	a.Reserved, a.Rate, a.ReservationSize = line.Reserved, line.Rate, line.ReservationSize
	b = b.WithAccount(a).credited(line.CreditTo, min(line.Credit, returning))
	if p.Leave {
		return b.leave(a).credited(p.Successor, a.Unspent()), nil
	}
	return b.WithAccount(b.draw(a, line)), nil
}

// credited transfers tokens that were just returned to another holder's account.
// The returned tokens are counted from the ledger's own counter, so that an update
// that is repeated credits them once.
func (b Budget) credited(to ident.Incarnation, tokens int64) Budget {
	a, ok := b.Account(to)
	if !ok || a.Frozen || tokens <= 0 {
		return b
	}
	a.Drawn += min(tokens, max(0, b.Pool()))
	return b.WithAccount(a)
}

// draw moves tokens from the pool to an account, to cover its need or to fill its planned share.
func (b Budget) draw(a Account, line Line) Account {
	want := line.Need
	if line.DrawShare {
		want = max(want, b.Desired(a.Holder)-a.Held())
	}
	if draw := min(want, b.Pool()); draw > 0 {
		a.Drawn += draw
	}
	return a
}

func (b Budget) leave(a Account) Budget {
	b.Closed += a.Settled
	return b.withoutAccount(a.Holder).settleTarget()
}

// Closure describes the accounts of a dead incarnation in one slot.
type Closure struct {
	Holder  ident.Incarnation
	Settled map[ident.Budget]int64 // in total, from the bills
	Open    map[ident.Budget]int64 // reserved by requests that may still run
}

// Close closes the accounts of a dead incarnation: its settled tokens count as spent
// and the rest returns to the pool. An account with open reservations is frozen
// instead: it keeps the tokens of these reservations and returns the rest.
func (s Slot) Close(c Closure) (Slot, error) {
	for _, b := range s.Budgets {
		a, ok := b.Account(c.Holder)
		if !ok {
			continue
		}
		next, err := b.closeAccount(a, c)
		if err != nil {
			return s, err
		}
		s = s.WithBudget(next)
	}
	return s, nil
}

// closeAccount closes or freezes one account. It leaves the settled counter of a frozen account
// unchanged, so that the bills that are not in it can be added again at the next attempt.
func (b Budget) closeAccount(a Account, c Closure) (Budget, error) {
	settled, open := max(a.Settled, c.Settled[b.Name]), c.Open[b.Name]
	if settled+open > a.Held() {
		return b, errors.Newf("close %s of %s: settled %d and open %d are more than held %d", b.Name, c.Holder, settled, open, a.Held())
	}
	if open == 0 {
		a.Settled = settled
		return b.leave(a), nil
	}
	a.Frozen, a.Rate = true, 0
	a.Reserved = settled - a.Settled + open
	a.Returned = a.Drawn - settled - open
	return b.WithAccount(a), nil
}

// rateSlack is the ratio by which reported demand must change to be written on its own.
const rateSlack = 1.25

// NeedsWrite reports whether an update must be written. It need not if it only changes the reported demand
// by less than rateSlack.
func (s Slot) NeedsWrite(next Slot) bool {
	if len(s.Budgets) != len(next.Budgets) {
		return true
	}
	for i, b := range next.Budgets {
		if s.Budgets[i].needsWrite(b) {
			return true
		}
	}
	return false
}

func (b Budget) needsWrite(next Budget) bool {
	if b.Name != next.Name || b.Limit != next.Limit || b.Version != next.Version || b.Closed != next.Closed {
		return true
	}
	if (b.Target == nil) != (next.Target == nil) || len(b.Accounts) != len(next.Accounts) {
		return true
	}
	for i, a := range next.Accounts {
		if b.Accounts[i].needsWrite(a) {
			return true
		}
	}
	return false
}

func (a Account) needsWrite(next Account) bool {
	if a.Holder != next.Holder || a.Drawn != next.Drawn || a.Returned != next.Returned || a.Settled != next.Settled || a.Frozen != next.Frozen {
		return true
	}
	return next.Rate > a.Rate*rateSlack+1 || a.Rate > next.Rate*rateSlack+1
}
