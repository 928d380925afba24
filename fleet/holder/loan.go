package holder

import "time"

// LoanTime is how long a part of a limit is lent.
const LoanTime = 5 * time.Second

// loanMargin is how much longer the lender counts a loan than the borrower, so
// that both never use the part at once.
const loanMargin = time.Second

// loan is a part of a limit that was borrowed (over 0) or lent (under 0).
type loan struct {
	part  float64
	until time.Time
}

// shareOf is what this holder may use of a limit now: the zone's even share with
// the loans that run. A zone that is cut off keeps its even share.
func (s State) shareOf(name string, even float64, at time.Time) float64 {
	loans, _ := s.loans.Get(name)
	for _, l := range loans {
		if at.Before(l.until) {
			even += l.part
		}
	}
	return max(0, even)
}

// withLoan adds a loan and forgets those that have run out.
func (s State) withLoan(name string, l loan, at time.Time) State {
	old, _ := s.loans.Get(name)
	loans := []loan{l}
	for _, o := range old {
		if at.Before(o.until) {
			loans = append(loans, o)
		}
	}
	s.loans = s.loans.Set(name, loans)
	return s
}

// lend gives most of what goes unused of a limit here to a zone that is short.
func (s State) lend(m Lend) (State, Effect) {
	usage, _ := s.limits.Get(m.Line.Name)
	usage, part := usage.Lent(m.Line, s.shareOf(m.Line.Name, m.Share.of(m.Line), m.At), m.At)
	if part == 0 {
		return s, Lent{}
	}
	s.limits = s.limits.Set(m.Line.Name, usage)
	return s.withLoan(m.Line.Name, loan{part: -part, until: m.At.Add(LoanTime + loanMargin)}, m.At), Lent{Part: part}
}

func (s State) borrowed(m Borrowed) State {
	usage, _ := s.limits.Get(m.Line.Name)
	s.limits = s.limits.Set(m.Line.Name, usage.WithBurst(m.Line, m.Part))
	return s.withLoan(m.Line.Name, loan{part: m.Part, until: m.Until}, m.At)
}
