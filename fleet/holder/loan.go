package holder

import "time"

// LoanDuration is how long a share of a limit is lent.
const LoanDuration = 5 * time.Second

// loanMargin is how much longer the lender counts a loan than the borrower, so
// that they never use the share at the same time.
const loanMargin = time.Second

// loan is a share of a limit that was borrowed (positive) or lent (negative).
type loan struct {
	share float64
	until time.Time
}

// shareOf returns the share of a limit that this holder may use now: its even share
// plus the current loans. An unreachable zone keeps its even share.
func (s State) shareOf(name string, even float64, at time.Time) float64 {
	loans, _ := s.loans.Get(name)
	for _, l := range loans {
		if at.Before(l.until) {
			even += l.share
		}
	}
	return max(0, even)
}

// withLoan adds a loan and removes the expired ones.
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

// lend lends most of the unused share of a limit to a zone that needs more.
func (s State) lend(m Lend) (State, Effect) {
	usage, _ := s.limits.Get(m.Line.Name)
	usage, share := usage.Lent(m.Line, s.shareOf(m.Line.Name, m.Share.of(m.Line), m.At), m.At)
	if share == 0 {
		return s, Lent{}
	}
	s.limits = s.limits.Set(m.Line.Name, usage)
	return s.withLoan(m.Line.Name, loan{share: -share, until: m.At.Add(LoanDuration + loanMargin)}, m.At), Lent{Share: share}
}

func (s State) borrowed(m Borrowed) State {
	usage, _ := s.limits.Get(m.Line.Name)
	s.limits = s.limits.Set(m.Line.Name, usage.WithBurst(m.Line, m.Share))
	return s.withLoan(m.Line.Name, loan{share: m.Share, until: m.Until}, m.At)
}
