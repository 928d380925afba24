package holder

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// admit admits a request once its key is free in all zones, its limits have room
// and a budget covers its worst case.
func (s State) admit(m Admit) (State, Effect) {
	if old, ok := s.records.Get(m.Record.Request); ok && old.Phase != Pending {
		return s, s.answerExisting(old, m.Record)
	}
	if m.Record.Key == "" {
		return s.reserve(m)
	}
	old, ok := s.keyed.Get(m.Record.Key)
	switch {
	case !ok:
		return s.register(m.Record)
	case old.Request != m.Record.Request:
		return s, s.answerExisting(old, m.Record)
	case !m.Claimed:
		return s, MustClaim{Record: m.Record}
	}
	if p := unverifiedRetry(m); p != nil {
		return s.withoutRequest(m.Record), Refused{Problem: p}
	}
	m.Record.Unasked = m.Unreachable
	return s.reserve(m)
}

// answerExisting answers a request whose key or id already has a record.
func (s State) answerExisting(old, requested Record) Effect {
	if old.BodyHash != requested.BodyHash {
		return Refused{Problem: problem.New(problem.KeyReused, "the key was first used with another body")}
	}
	return Existing{Record: old}
}

func (s State) register(r Record) (State, Effect) {
	r.Phase, r.Holder = Pending, s.self
	s.keyed = s.keyed.Set(r.Key, r)
	return s, MustClaim{Record: r}
}

// unverifiedRetry refuses a call that is not repeatable and whose first attempt may have run in
// an unreachable zone.
func unverifiedRetry(m Admit) *problem.Problem {
	if len(m.Unreachable) == 0 || m.Record.Repeatable || m.Record.Model || m.CallerAttempt == 1 {
		return nil
	}
	detail := fmt.Sprintf("zones %v can't be asked whether the call has run; send Lynxshed-Attempt: 1 on a first try", m.Unreachable)
	return problem.New(problem.KeyUnreachable, detail).WithOutcome(problem.Unknown)
}

func (s State) reserve(m Admit) (State, Effect) {
	next, refusal := s.applyLimits(m)
	if refusal != nil {
		return s.withoutRequest(m.Record), Refused{Problem: refusal}
	}
	if len(m.Budgets) == 0 {
		r := m.Record
		r.Phase, r.Holder = Open, s.self
		return next.withRecord(r), Admitted{Record: r}
	}
	return next.reserveTokens(s, m)
}

// reserveTokens reserves the worst case from the first budget that covers it. s has the request counted
// against its limits; before has not and is returned when the request is not admitted.
func (s State) reserveTokens(before State, m Admit) (State, Effect) {
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
		if a.spendable() < m.Record.Bound+a.headroom(m.Weight) {
			continue
		}
		a.reserved += m.Record.Bound
		r := m.Record
		r.Phase, r.Holder, r.Budget = Open, s.self, line.Name
		return s.withAccount(a).withRecord(r), Admitted{Record: r}
	}
	first, _ := before.accounts.Get(m.Budgets[0].Name)
	return before, Short{Slot: m.Record.Slot, Budget: m.Budgets[0].Name, Need: m.Record.Bound + first.headroom(m.Weight) - max(0, first.spendable())}
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

// applyLimits counts the request against each of its limits, or returns why one of them refuses it.
func (s State) applyLimits(m Admit) (State, *problem.Problem) {
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

// withoutRequest removes a request that was not admitted, and its key.
func (s State) withoutRequest(r Record) State {
	if old, ok := s.keyed.Get(r.Key); ok && old.Request == r.Request {
		s.keyed = s.keyed.Delete(r.Key)
	}
	s.records = s.records.Delete(r.Request)
	return s
}

// claim answers another holder that claims a key. If two holders claim it at the same time,
// the one with the lower rank gives it up.
func (s State) claim(m Claim) (State, Effect) {
	old, ok := s.keyed.Get(m.Record.Key)
	if ok && old.Request != m.Record.Request {
		if old.BodyHash != m.Record.BodyHash || old.Phase != Pending || old.Elsewhere || s.outranks(m.Record) {
			return s, s.answerExisting(old, m.Record)
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

// outranks reports whether this holder goes first when two claim a key at the same time.
// They are ordered by zone and then by incarnation.
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
