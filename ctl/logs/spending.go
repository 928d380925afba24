package logs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Messages of the log lines about budgets.
const (
	policyInForce   = "policy in force"
	ledgerWritten   = "accounts: written"
	incarnationLost = "accounts: an earlier life of this node ended with tokens that it had drawn and not reported as spent"
)

// Reasons of calls that were refused because of a budget.
var budgetReasons = []string{"budget-insufficient-here", "budget-exhausted"}

// Spending summarizes a customer's budget, in tokens, within one time window, or over the whole log if
// From is zero.
type Spending struct {
	From          time.Time `json:"from"`
	Customer      string    `json:"customer"`
	Prepaid       int64     `json:"prepaid"`  // highest prepaid budget of any policy in force
	Requested     int64     `json:"asked"`    // upper bounds of the cost of all calls, retries by callers included
	Refused       int64     `json:"refused"`  // part of Requested that was refused because of the budget
	RefusedCalls  int       `json:"calls"`    // number of calls refused because of the budget
	Spent         int64     `json:"spent"`    // tokens that callers received
	Drawn         int64     `json:"drawn"`    // drawn from the ledger, less what was returned
	Lost          int64     `json:"lost"`     // drawn but not reported as spent by incarnations that ended; some of it was spent
	PoolRemaining int64     `json:"poolLeft"` // not drawn by any node, as last reported
}

type spendingKey struct {
	from     time.Time
	customer string
}

// summary accumulates spending for each time window and for the whole log.
type summary struct {
	window time.Duration
	byKey  map[spendingKey]*Spending
}

// SummarizeSpending summarizes the log lines about budgets by customer, for each time window and, with a
// zero From, for the whole log.
func SummarizeSpending(lines []Line, window time.Duration) []Spending {
	s := summary{window: window, byKey: map[spendingKey]*Spending{}}
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range sorted {
		s.add(l)
	}
	all := make([]Spending, 0, len(s.byKey))
	for _, entry := range s.byKey {
		all = append(all, *entry)
	}
	slices.SortFunc(all, func(a, b Spending) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}

func (s summary) add(l Line) {
	switch l.Message {
	case callEnded:
		s.addCall(l)
	case ledgerWritten:
		s.addEach(l, "tokens", func(entry *Spending, n int64) { entry.Drawn += n })
		s.addEach(l, "pools", func(entry *Spending, n int64) { entry.PoolRemaining = n })
	case incarnationLost:
		s.addEach(l, "tokens", func(entry *Spending, n int64) { entry.Lost += n })
	case policyInForce:
		for customer, n := range l.numbers("prepaid") {
			total := s.entry(time.Time{}, customer)
			total.Prepaid = max(total.Prepaid, n)
		}
	}
}

func (s summary) addCall(l Line) {
	requested := l.number("reserved")
	if requested == 0 {
		return
	}
	refused := slices.Contains(budgetReasons, l.text("reason"))
	s.addBoth(l.Time, l.text("tenant"), func(entry *Spending) {
		entry.Requested += requested
		entry.Spent += l.number("used")
		if refused {
			entry.Refused += requested
			entry.RefusedCalls++
		}
	})
}

// addEach calls add with the number of each customer in a field.
func (s summary) addEach(l Line, field string, add func(*Spending, int64)) {
	for customer, n := range l.numbers(field) {
		s.addBoth(l.Time, customer, func(entry *Spending) { add(entry, n) })
	}
}

func (s summary) addBoth(at time.Time, customer string, add func(*Spending)) {
	add(s.entry(at.Truncate(s.window), customer))
	add(s.entry(time.Time{}, customer))
}

func (s summary) entry(from time.Time, customer string) *Spending {
	key := spendingKey{from: from, customer: customer}
	if s.byKey[key] == nil {
		s.byKey[key] = &Spending{From: from, Customer: customer}
	}
	return s.byKey[key]
}

// number returns a numeric field as an integer, or 0.
func (l Line) number(field string) int64 {
	n, _ := l.Fields[field].(float64)
	return int64(n)
}

// numbers returns the numeric members of an object field by name.
func (l Line) numbers(field string) map[string]int64 {
	object, _ := l.Fields[field].(map[string]any)
	numbers := make(map[string]int64, len(object))
	for name := range maps.Keys(object) {
		if n, ok := object[name].(float64); ok {
			numbers[name] = int64(n)
		}
	}
	return numbers
}
