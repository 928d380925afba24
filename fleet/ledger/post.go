package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// Line is what a holder posts of one budget.
type Line struct {
	Budget  ident.Budget
	Limit   int64         // of the row in force at the holder
	Version table.Version // of that row
	// Drawn is what the holder has seen drawn; an account that lacks it was closed.
	Drawn    int64
	Returned int64 // cumulative
	Settled  int64 // cumulative
	Reserved int64
	Rate     float64
	Lump     int64
	// Need is how much more the holder must have now; it is drawn as far as the pool goes.
	Need int64
	// Place asks to move the holding towards its planned share as well.
	Place bool
	// CreditTo gets up to Credit of the tokens that this update returns, so that
	// they do not go to whoever looks at the pool first. It must have an account.
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
	// Leave closes the holder's own accounts: it stops and returns the rest.
	Leave bool
	// Heir gets the rest of a leaving holder where it has an account.
	Heir ident.Incarnation
}

// Apply makes a holder's update, or ErrClosed where its account was closed.
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
	a.Settled = line.Settled // only its holder posts it; a bill that is taken back lowers it
	a.Segment = max(a.Segment, p.Segment)
	a.Reserved, a.Rate, a.Lump = line.Reserved, line.Rate, line.Lump
	b = b.WithAccount(a).credited(line.CreditTo, min(line.Credit, returning))
	if p.Leave {
		return b.leave(a).credited(p.Heir, a.Unspent()), nil
	}
	return b.WithAccount(b.draw(a, line)), nil
}

// credited moves tokens that were just returned to another holder's account.
// What returns is counted from the ledger's own counter, so that an update made
// twice credits once.
func (b Budget) credited(to ident.Incarnation, tokens int64) Budget {
	a, ok := b.Account(to)
	if !ok || a.Frozen || tokens <= 0 {
		return b
	}
	a.Drawn += min(tokens, max(0, b.Pool()))
	return b.WithAccount(a)
}

// draw moves tokens from the pool to an account: what it needs, and what its share lacks.
func (b Budget) draw(a Account, line Line) Account {
	want := line.Need
	if line.Place {
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

// Closure is what is known of a dead incarnation's accounts in one slot.
type Closure struct {
	Holder  ident.Incarnation
	Settled map[ident.Budget]int64 // in all, from the bills
	Open    map[ident.Budget]int64 // reserved by requests that may still run
}

// Close ends the accounts of a dead incarnation that has nothing open: what it
// settled counts as spent and the rest goes back to the pool. An account with
// open reservations is frozen: it keeps just these and gives the rest back.
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

// closeAccount leaves the settled counter of a frozen account as it was, so that
// the bills that are not in it can be added anew at the next try.
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

// rateSlack is how far demand may move before it is worth a write, as a ratio.
const rateSlack = 1.25

// Material reports whether an update changes more than reports of demand that moved little.
func (s Slot) Material(next Slot) bool {
	if len(s.Budgets) != len(next.Budgets) {
		return true
	}
	for i, b := range next.Budgets {
		if s.Budgets[i].material(b) {
			return true
		}
	}
	return false
}

func (b Budget) material(next Budget) bool {
	if b.Name != next.Name || b.Limit != next.Limit || b.Version != next.Version || b.Closed != next.Closed {
		return true
	}
	if (b.Target == nil) != (next.Target == nil) || len(b.Accounts) != len(next.Accounts) {
		return true
	}
	for i, a := range next.Accounts {
		if b.Accounts[i].material(a) {
			return true
		}
	}
	return false
}

func (a Account) material(next Account) bool {
	if a.Holder != next.Holder || a.Drawn != next.Drawn || a.Returned != next.Returned || a.Settled != next.Settled || a.Frozen != next.Frozen {
		return true
	}
	return next.Rate > a.Rate*rateSlack+1 || a.Rate > next.Rate*rateSlack+1
}
