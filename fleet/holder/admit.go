package holder

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// admit lets a request in once its key is free everywhere, its limits have room
// and a budget covers its worst case.
func (s State) admit(m Admit) (State, Effect) {
	if old, ok := s.records.Get(m.Record.Request); ok && old.Phase != Pending {
		return s, s.known(old, m.Record)
	}
	if m.Record.Key == "" {
		return s.reserve(m)
	}
	old, ok := s.keyed.Get(m.Record.Key)
	switch {
	case !ok:
		return s.register(m.Record)
	case old.Request != m.Record.Request:
		return s, s.known(old, m.Record)
	case !m.Claimed:
		return s, MustClaim{Record: m.Record}
	}
	if p := cutOff(m); p != nil {
		return s.dropped(m.Record), Refused{Problem: p}
	}
	m.Record.Unasked = m.Unreachable
	return s.reserve(m)
}

// known answers a request whose key or id has a record.
func (s State) known(old, asked Record) Effect {
	if old.BodyHash != asked.BodyHash {
		return Refused{Problem: problem.New(problem.KeyReused, "the key was first used with another body")}
	}
	return Existing{Record: old}
}

func (s State) register(r Record) (State, Effect) {
	r.Phase, r.Holder = Pending, s.self
	s.keyed = s.keyed.Set(r.Key, r)
	return s, MustClaim{Record: r}
}

// cutOff refuses a call that may not be repeated and whose first try may sit in
// a zone that can't be asked.
func cutOff(m Admit) *problem.Problem {
	if len(m.Unreachable) == 0 || m.Record.Repeatable || m.Record.Model || m.Try == 1 {
		return nil
	}
	detail := fmt.Sprintf("zones %v can't be asked whether the call has run; send Lynxshed-Attempt: 1 on a first try", m.Unreachable)
	return problem.New(problem.KeyUnreachable, detail).WithOutcome(problem.Unknown)
}

func (s State) reserve(m Admit) (State, Effect) {
	next, refusal := s.limited(m)
	if refusal != nil {
		return s.dropped(m.Record), Refused{Problem: refusal}
	}
	if len(m.Budgets) == 0 {
		r := m.Record
		r.Phase, r.Holder = Open, s.self
		return next.withRecord(r), Admitted{Record: r}
	}
	return next.pay(s, m)
}

// pay reserves the worst case from the first budget that covers it.
func (s State) pay(before State, m Admit) (State, Effect) {
	for _, line := range m.Budgets {
		a := before.accountOf(m.Record, line)
		a.demand = a.demand.with(m.Record.Bound, m.At)
		a.heaviest = a.heaviest.with(m.Weight, m.At)
		before, s = before.withAccount(a), s.withAccount(a)
	}
	for _, line := range m.Budgets {
		a, _ := s.accounts.Get(line.Name)
		if a.leaving {
			return before, Refused{Problem: problem.New(problem.NoHolder, "the slot is moving to another holder")}
		}
		if a.spendable() < m.Record.Bound+a.kept(m.Weight) {
			continue
		}
		a.reserved += m.Record.Bound
		r := m.Record
		r.Phase, r.Holder, r.Budget = Open, s.self, line.Name
		return s.withAccount(a).withRecord(r), Admitted{Record: r}
	}
	first, _ := before.accounts.Get(m.Budgets[0].Name)
	return before, Short{Slot: m.Record.Slot, Budget: m.Budgets[0].Name, Need: m.Record.Bound + first.kept(m.Weight) - max(0, first.spendable())}
}

func (s State) accountOf(r Record, line BudgetLine) account {
	a, ok := s.accounts.Get(line.Name)
	if !ok {
		a = account{slot: r.Slot}
	}
	if line.Version >= a.line.Version {
		a.line = line
	}
	return a
}

func (s State) limited(m Admit) (State, *problem.Problem) {
	for _, line := range m.Limits {
		usage, _ := s.limits.Get(line.Name)
		next, wait, err := usage.With(line, s.shareOf(line.Name, m.Share.of(line), m.At), m.Record.Bound, m.At)
		if err != nil {
			what := "rate"
			if errors.Is(err, limit.ErrInFlight) {
				what = "in-flight bound"
			}
			detail := fmt.Sprintf("limit %s: its %s is reached", line.Name, what)
			return s, problem.New(problem.LimitReached, detail).At(string(event.Admit), line.Name).WithRetryAfter(wait)
		}
		s.limits = s.limits.Set(line.Name, next)
	}
	return s, nil
}

// dropped forgets a request that was not let in.
func (s State) dropped(r Record) State {
	if old, ok := s.keyed.Get(r.Key); ok && old.Request == r.Request {
		s.keyed = s.keyed.Delete(r.Key)
	}
	s.records = s.records.Delete(r.Request)
	return s
}

// claim answers another holder that wants a key. Of two that claim it at once
// the one with the lower rank gives way.
func (s State) claim(m Claim) (State, Effect) {
	old, ok := s.keyed.Get(m.Record.Key)
	if ok && old.Request != m.Record.Request {
		if old.BodyHash != m.Record.BodyHash || old.Phase != Pending || old.Elsewhere || s.outranks(m.Record) {
			return s, s.known(old, m.Record)
		}
		r := m.Record
		r.Elsewhere = true
		s.keyed = s.keyed.Set(r.Key, r)
		return s, None{}
	}
	if !ok && m.Store {
		r := m.Record
		r.Elsewhere = true
		s.keyed = s.keyed.Set(r.Key, r)
	}
	return s, None{}
}

// outranks orders two holders that claim a key at once, by zone and incarnation.
func (s State) outranks(r Record) bool {
	zone, _, err := r.Request.Parse()
	if err != nil {
		return true
	}
	if zone != s.zone {
		return s.zone < zone
	}
	return s.self < r.Holder
}
