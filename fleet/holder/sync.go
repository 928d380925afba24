package holder

import (
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
)

func (s State) accountsOf(slot ident.Slot) []account {
	var accounts []account
	for it := s.accounts.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		if a.slot == slot {
			accounts = append(accounts, a)
		}
	}
	slices.SortFunc(accounts, func(x, y account) int {
		if x.line.Name < y.line.Name {
			return -1
		}
		return 1
	})
	return accounts
}

// Credit is tokens on their way to another holder that lacks them.
type Credit struct {
	Budget ident.Budget
	To     ident.Incarnation
	Tokens int64
}

// Wants is how many tokens of each budget should be free here.
type Wants map[ident.Budget]int64

// Post is what the holder writes to the ledger of a slot next, so that the
// wanted tokens are free here and the holding moves towards the plan. Segment
// is the last segment of bills that lies in the platform.
func (s State) Post(slot ident.Slot, wants Wants, credit Credit, segment int64, at time.Time) ledger.Post {
	p := ledger.Post{Holder: s.self, Zone: s.zone, Segment: segment}
	for _, a := range s.accountsOf(slot) {
		d := a.demand.decayed(at)
		line := ledger.Line{
			Budget:   a.line.Name,
			Limit:    a.line.Limit,
			Version:  a.line.Version,
			Drawn:    a.drawn,
			Returned: a.returned,
			Settled:  a.durable,
			Reserved: a.reserved + a.settled - a.durable,
			Rate:     d.perSecond(),
			Lump:     int64(d.lump),
			Need:     max(0, wants[a.line.Name]-a.spendable()),
			Place:    true,
		}
		if credit.Budget == a.line.Name {
			line.CreditTo, line.Credit = credit.To, credit.Tokens
		}
		p.Lines = append(p.Lines, line)
	}
	return p
}

// held is what the holder counts as its own.
func (a account) held() int64 { return a.drawn - a.returned }

// opened makes the books of a slot's budgets.
func (s State) opened(m Opened) State {
	for _, line := range m.Budgets {
		a := s.accountOf(Record{Slot: m.Slot}, line)
		a.demand = a.demand.decayed(m.At)
		s = s.withAccount(a)
	}
	return s
}

// synced takes the ledger as the truth about what was drawn, and decides what
// to return: what a lowered limit or the plan does not leave here.
func (s State) synced(m Synced) State {
	for _, b := range m.Slot.Budgets {
		a, ok := s.accounts.Get(b.Name)
		if !ok || a.slot != m.Slot.Slot {
			continue
		}
		own, _ := b.Account(s.self)
		a.drawn = max(a.drawn, own.Drawn)
		a.seen = b
		a.returned += b.Surplus(s.self, a.held(), a.spendable())
		s = s.withAccount(a)
	}
	return s
}

// surrender returns tokens that another holder lacks, as far as they are free here.
func (s State) surrender(m Surrender) (State, Effect) {
	a, ok := s.accounts.Get(m.Budget)
	if !ok || a.slot != m.Slot {
		return s, Surrendered{}
	}
	if a.leaving {
		return s, Surrendered{}
	}
	give := max(0, min(m.Need, a.spendable()))
	a.returned += give
	return s.withAccount(a), Surrendered{Tokens: give}
}

// Spendable is how many tokens of a budget are free here.
func (s State) Spendable(name ident.Budget) int64 {
	a, _ := s.accounts.Get(name)
	return a.spendable()
}

// Seen is a budget's line of the ledger as last seen by this holder.
func (s State) Seen(name ident.Budget) (ledger.Budget, bool) {
	a, ok := s.accounts.Get(name)
	return a.seen, ok
}

// Holding is what this holder has of a budget, in tokens.
type Holding struct {
	Budget   ident.Budget `json:"budget"`
	Slot     ident.Slot   `json:"slot"`
	Held     int64        `json:"held"`
	Settled  int64        `json:"settled"`
	Reserved int64        `json:"reserved"`
}

// Holdings lists what this holder has of every budget.
func (s State) Holdings() []Holding {
	var holdings []Holding
	for it := s.accounts.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		holdings = append(holdings, Holding{Budget: a.line.Name, Slot: a.slot, Held: a.held(), Settled: a.settled, Reserved: a.reserved})
	}
	slices.SortFunc(holdings, func(x, y Holding) int {
		if x.Budget < y.Budget {
			return -1
		}
		return 1
	})
	return holdings
}
