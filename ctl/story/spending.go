package story

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Messages of the lines that tell of budgets.
const (
	policyInForce = "policy in force"
	ledgerWritten = "accounts: written"
	lifeLost      = "accounts: an earlier life of this node ended with tokens that it had drawn and not reported as spent"
)

// Reasons of calls that were refused for a budget.
var budgetReasons = []string{"budget-insufficient-here", "budget-exhausted"}

// Spending is what became of one customer's budget in one slice of time, or in all of
// the time where From is zero: tokens.
type Spending struct {
	From     time.Time `json:"from"`
	Customer string    `json:"customer"`
	Prepaid  int64     `json:"prepaid"`  // as last heard of
	Asked    int64     `json:"asked"`    // the most that calls could cost, those that came back included
	Refused  int64     `json:"refused"`  // of these, what calls asked for that were refused for the budget
	Calls    int       `json:"calls"`    // that were refused so
	Spent    int64     `json:"spent"`    // that callers received
	Drawn    int64     `json:"drawn"`    // from the ledger, less what was given back
	Lost     int64     `json:"lost"`     // drawn by lives that ended and not reported as spent: some of it was
	PoolLeft int64     `json:"poolLeft"` // that nobody had drawn, as last heard of
}

type spendingKey struct {
	from     time.Time
	customer string
}

// sums are the spendings that lines tell of, each for its slice and for all of the time.
type sums struct {
	slice time.Duration
	byKey map[spendingKey]*Spending
}

// Spendings sums up what lines tell of budgets by customer and slice of time, and, where
// From is zero, for all of the time.
func Spendings(lines []Line, slice time.Duration) []Spending {
	s := sums{slice: slice, byKey: map[spendingKey]*Spending{}}
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range sorted {
		s.take(l)
	}
	all := make([]Spending, 0, len(s.byKey))
	for _, one := range s.byKey {
		all = append(all, *one)
	}
	slices.SortFunc(all, func(a, b Spending) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}

func (s sums) take(l Line) {
	switch l.Message {
	case callEnded:
		s.takeCall(l)
	case ledgerWritten:
		s.each(l, "tokens", func(one *Spending, n int64) { one.Drawn += n })
		s.each(l, "pools", func(one *Spending, n int64) { one.PoolLeft = n })
	case lifeLost:
		s.each(l, "tokens", func(one *Spending, n int64) { one.Lost += n })
	case policyInForce:
		for customer, n := range l.numbers("prepaid") {
			total := s.at(time.Time{}, customer)
			total.Prepaid = max(total.Prepaid, n)
		}
	}
}

func (s sums) takeCall(l Line) {
	asked := l.number("reserved")
	if asked == 0 {
		return
	}
	refused := slices.Contains(budgetReasons, l.text("reason"))
	s.both(l.Time, l.text("tenant"), func(one *Spending) {
		one.Asked += asked
		one.Spent += l.number("used")
		if refused {
			one.Refused += asked
			one.Calls++
		}
	})
}

// each hands on every customer's number of a field.
func (s sums) each(l Line, field string, add func(*Spending, int64)) {
	for customer, n := range l.numbers(field) {
		s.both(l.Time, customer, func(one *Spending) { add(one, n) })
	}
}

func (s sums) both(at time.Time, customer string, add func(*Spending)) {
	add(s.at(at.Truncate(s.slice), customer))
	add(s.at(time.Time{}, customer))
}

func (s sums) at(from time.Time, customer string) *Spending {
	key := spendingKey{from: from, customer: customer}
	if s.byKey[key] == nil {
		s.byKey[key] = &Spending{From: from, Customer: customer}
	}
	return s.byKey[key]
}

// number is a number of a line; 0 where it is none.
func (l Line) number(field string) int64 {
	n, _ := l.Fields[field].(float64)
	return int64(n)
}

// numbers are the numbers of an object of a line, by name.
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
