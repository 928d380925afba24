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

// Credit is an amount of tokens being transferred to another holder that needs them.
type Credit struct {
	Budget ident.Budget
	To     ident.Incarnation
	Tokens int64
}

// Wants maps each budget to the number of tokens that should be free here.
type Wants map[ident.Budget]int64

// Post returns the holder's next update of a slot's ledger. It draws the wanted tokens
// and moves the holding towards its planned share. segment is the last segment of
// bills that is stored in the platform.
func (s State) Post(slot ident.Slot, wants Wants, credit Credit, segment int64, at time.Time) ledger.Post {
	p := ledger.Post{Holder: s.self, Zone: s.zone, Segment: segment}
	for _, a := range s.accountsOf(slot) {
		d := a.demand.decayed(at)
		line := ledger.Line{
			Budget:          a.line.Name,
			Limit:           a.line.Limit,
			Version:         a.line.Version,
			Drawn:           a.drawn,
			Returned:        a.returned,
			Settled:         a.durable,
			Reserved:        a.reserved + a.settled - a.durable,
			Rate:            d.perSecond(),
			ReservationSize: int64(d.size),
			Need:            max(0, wants[a.line.Name]-a.spendable()),
			DrawShare:       true,
		}
		if credit.Budget == a.line.Name {
			line.CreditTo, line.Credit = credit.To, credit.Tokens
		}
		p.Lines = append(p.Lines, line)
	}
	return p
}

// held returns the tokens that the holder counts as its own.
func (a account) held() int64 { return a.drawn - a.returned }

// opened opens accounts for a slot's budgets.
func (s State) opened(m Opened) State {
	for _, line := range m.Budgets {
		a := s.accountOf(Record{Slot: m.Slot}, line)
		a.demand = a.demand.decayed(m.At)
		s = s.withAccount(a)
	}
	return s
}

// synced takes the drawn tokens from the ledger, and decides how many to return
// because of a lowered limit or the planned share.
func (s State) synced(m Synced) State {
	for _, b := range m.Slot.Budgets {
		a, ok := s.accounts.Get(b.Name)
		if !ok || a.slot != m.Slot.Slot {
			continue
		}
		own, _ := b.Account(s.self)
		a.drawn = max(a.drawn, own.Drawn)
		a.posted = b
		a.returned += b.Surplus(s.self, a.held(), a.spendable())
		s = s.withAccount(a)
	}
	return s
}

// surrender returns tokens that another holder needs, as far as they are free here.
func (s State) surrender(m Surrender) (State, Effect) {
	a, ok := s.accounts.Get(m.Budget)
	if !ok || a.slot != m.Slot {
		return s, Surrendered{}
	}
	if a.leaving {
		return s, Surrendered{}
	}
	surrendered := max(0, min(m.Need, a.spendable()))
	a.returned += surrendered
	return s.withAccount(a), Surrendered{Tokens: surrendered}
}

// Spendable returns how many tokens of a budget are free here.
func (s State) Spendable(name ident.Budget) int64 {
	a, _ := s.accounts.Get(name)
	return a.spendable()
}

// LedgerBudget returns a budget's entry in the ledger as this holder last read or wrote it.
func (s State) LedgerBudget(name ident.Budget) (ledger.Budget, bool) {
	a, ok := s.accounts.Get(name)
	return a.posted, ok
}

// Holding is this holder's state of a budget, in tokens.
type Holding struct {
	Budget   ident.Budget `json:"budget"`
	Slot     ident.Slot   `json:"slot"`
	Held     int64        `json:"held"`
	Settled  int64        `json:"settled"`
	Reserved int64        `json:"reserved"`
}

// Holdings returns the holder's state of every budget, sorted by name.
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
