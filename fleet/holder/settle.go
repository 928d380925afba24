package holder

import "github.com/lynxshed/lynxshed/fleet/ident"

func (s State) noted(m Noted) (State, Effect) {
	r, ok := s.records.Get(m.Request)
	if !ok || r.Phase != Open {
		return s, Missing{Request: m.Request}
	}
	if m.Extra > 0 && r.Budget != "" {
		a, _ := s.accounts.Get(r.Budget)
		if a.spendable() < m.Extra {
			return s, Short{Slot: r.Slot, Budget: r.Budget, Need: m.Extra}
		}
		a.reserved += m.Extra
		r.Bound += m.Extra
		s = s.withAccount(a)
	}
	r = r.WithAttempt(m.Attempt)
	return s.withRecord(r), Admitted{Record: r}
}

func (s State) await(m Await) (State, Effect) {
	r, ok := s.records.Get(m.Request)
	if !ok || r.Phase != Open {
		return s, Missing{Request: m.Request}
	}
	r = r.WithAwaiting(m.Usage, m.Attempts)
	return s.withRecord(r), Existing{Record: r}
}

// settle ends a request once; a second settlement changes nothing.
//
// Usage that an endpoint reports above the reserved worst case is not charged.
func (s State) settle(m Settle) (State, Effect) {
	r, ok := s.Record(m.Request)
	switch {
	case !ok || r.Elsewhere:
		return s, Missing{Request: m.Request}
	case r.Phase == Settled:
		return s, Ended{Record: r}
	}
	usage := clampUsage(m.Usage, r)
	s = s.withCost(r, usage.Tokens())
	r = r.WithEnd(usage, m.Answer, m.At)
	return s.withRecord(r), Ended{Record: r}
}

// clampUsage limits a reported usage to the tokens reserved for the request.
func clampUsage(u Usage, r Record) Usage {
	if r.Budget == "" {
		return Usage{}
	}
	u.Prompt = min(max(0, u.Prompt), r.Bound)
	u.Output = min(max(0, u.Output), r.Bound-u.Prompt)
	return u
}

// withCost releases the request's reservation and charges its cost.
func (s State) withCost(r Record, cost int64) State {
	if a, ok := s.accounts.Get(r.Budget); ok && r.Budget != "" {
		a.reserved -= r.Bound
		a.settled += cost
		s = s.withAccount(a)
	}
	for _, name := range r.Limits {
		if usage, ok := s.limits.Get(name); ok {
			s.limits = s.limits.Set(name, usage.Ended(r.Bound-cost))
		}
	}
	return s
}

// release ends a request that did not run and frees its key.
func (s State) release(m Release) (State, Effect) {
	r, ok := s.records.Get(m.Request)
	if !ok {
		return s, Missing(m)
	}
	if r.Phase != Open {
		return s, Ended{Record: r}
	}
	s = s.withCost(r, 0).withoutRequest(r)
	r.Phase = Released
	return s, Ended{Record: r}
}

func (s State) forget(m Forget) State {
	if r, ok := s.keyed.Get(m.Key); ok && r.Request == m.Request && r.Elsewhere {
		s.keyed = s.keyed.Delete(m.Key)
	}
	return s
}

// yield replaces the holder's own request by a copy of the one that has the key elsewhere.
func (s State) yield(m Yield) State {
	s = s.withoutRequest(m.Own)
	other := m.Other
	other.Elsewhere = true
	s.keyed = s.keyed.Set(m.Own.Key, other)
	return s
}

func (s State) takeOver(m TakeOver) (State, Effect) {
	r, ok := s.Record(m.Request)
	if !ok || r.Elsewhere {
		return s, Missing{Request: m.Request}
	}
	if r.Phase == Open {
		r = r.WithEntry(m.Entry, m.EntryURL)
		s = s.withRecord(r)
	}
	return s, Existing{Record: r}
}

func (s State) witnessed(m Witnessed) State {
	if r, ok := s.records.Get(m.Request); ok {
		s.records = s.records.Set(m.Request, r.WithWitness(m.By))
	}
	return s
}

// durable removes the records whose bills are stored in the platform; their keys are kept.
func (s State) durable(m Durable) State {
	for _, id := range m.Requests {
		r, ok := s.records.Get(id)
		if a, found := s.accounts.Get(r.Budget); ok && found && r.Billable() {
			a.durable += r.Bill().Tokens
			s = s.withAccount(a)
		}
		s.records = s.records.Delete(id)
	}
	return s
}

func (s State) expired(m Expire) State {
	for it := s.keyed.Iterator(); !it.Done(); {
		key, r, _ := it.Next()
		_, recorded := s.records.Get(r.Request)
		if !recorded && r.At.Before(m.Before) && r.Phase != Pending {
			s.keyed = s.keyed.Delete(key)
		}
	}
	return s
}

// leave stops admitting in a slot that has no open reservation, until its accounts
// are closed in the ledger.
func (s State) leave(m Leave) (State, Effect) {
	if len(s.Unsettled(m.Slot)) > 0 {
		return s, Missing{}
	}
	for _, a := range s.accountsOf(m.Slot) {
		a.leaving = true
		s = s.withAccount(a)
	}
	return s, None{}
}

func (s State) left(m Left) State {
	for _, a := range s.accountsOf(m.Slot) {
		s.accounts = s.accounts.Delete(a.line.Name)
	}
	return s
}

// Unsettled returns the open records of a slot.
func (s State) Unsettled(slot ident.Slot) []Record {
	var open []Record
	for _, r := range s.Records() {
		if r.Slot == slot && r.Phase == Open {
			open = append(open, r)
		}
	}
	return open
}
