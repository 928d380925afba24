package operator

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/ledger"
)

// reportedHolding returns a budget's holding as its holder reports it.
func reportedHolding(reports []Report, h ident.Incarnation, name ident.Budget) (holder.Holding, bool) {
	r, ok := lo.Find(reports, func(r Report) bool { return r.Incarnation == h })
	if !ok {
		return holder.Holding{}, false
	}
	return lo.Find(r.Holdings, func(x holder.Holding) bool { return x.Budget == name })
}

// statusFromLedger combines the ledger's line of a budget with the holders' reports, which are
// newer. The unsettled tokens of a holder that does not answer are stranded.
func statusFromLedger(b catalog.Budget, line ledger.Budget, reports []Report, stranded []keeper.StrandedHolder) BudgetStatus {
	s := BudgetStatus{Name: b.Name, Customer: b.Customer, Limit: line.Limit, Spent: line.Closed, AsOf: "ledger", Holdings: []ZoneHolding{}}
	if line.Version < b.Version && line.Target == nil {
		s.Limit = b.Limit
	}
	free := s.Limit - line.Committed()
	for _, a := range line.Accounts {
		h := ZoneHolding{Zone: a.Zone, Node: a.Holder.Node(), Tokens: a.Unspent(), Settled: a.Settled, Reserved: a.Reserved}
		own, ok := reportedHolding(reports, a.Holder, b.Name)
		if ok {
			h.Tokens, h.Settled, h.Reserved = a.Held()-own.Settled, own.Settled, own.Reserved
			free += max(0, h.Tokens-h.Reserved)
			s.Reserved += h.Reserved
		} else {
			h.Stranded, h.Why = true, whyStranded(stranded, a)
			s.Stranded += h.Tokens
		}
		s.Spent += h.Settled
		s.Holdings = append(s.Holdings, h)
	}
	s.Available = max(0, free)
	return s
}

// whyStranded returns the reason why the tokens of an account are stranded.
func whyStranded(stranded []keeper.StrandedHolder, a ledger.Account) string {
	if s, ok := lo.Find(stranded, func(s keeper.StrandedHolder) bool { return s.Holder == a.Holder }); ok {
		return s.Why
	}
	return "its holder does not answer; it is freed when the holder answers or its account is closed"
}

// statusFromNodes returns the status of a budget while the platform is unavailable: only what
// the reachable nodes hold is known, and the remainder counts as stranded.
func statusFromNodes(b catalog.Budget, reports []Report) BudgetStatus {
	s := BudgetStatus{Name: b.Name, Customer: b.Customer, Limit: b.Limit, AsOf: "nodes", Holdings: []ZoneHolding{}}
	for _, r := range reports {
		for _, h := range r.Holdings {
			if h.Budget != b.Name || h.Held == 0 {
				continue
			}
			s.Holdings = append(s.Holdings, ZoneHolding{Zone: r.Zone, Node: r.Node, Tokens: h.Held - h.Settled, Settled: h.Settled, Reserved: h.Reserved})
			s.Spent += h.Settled
			s.Reserved += h.Reserved
			s.Available += max(0, h.Held-h.Settled-h.Reserved)
		}
	}
	s.Stranded = max(0, s.Limit-s.Spent-s.Reserved-s.Available)
	return s
}

// mergeBills combines the durable bills with those that nodes still hold, each once.
func mergeBills(durable []bill.Bill, reports []Report, budget ident.Budget) []bill.Bill {
	all := slices.Clone(durable)
	for _, r := range reports {
		all = append(all, r.Bills...)
	}
	return lo.Filter(bill.Unique(all), func(b bill.Bill, _ int) bool { return budget == "" || b.Budget == budget })
}
