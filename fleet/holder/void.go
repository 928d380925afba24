package holder

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Unverified returns the settled records whose key has not yet been checked in every zone.
func (s State) Unverified() []Record {
	return lo.Filter(s.Keyed(), func(r Record, _ int) bool {
		return len(r.Unasked) > 0 && r.Phase == Settled && !r.Elsewhere && !r.Voided
	})
}

// Before reports whether r is the earlier of two runs of the same request that partitioned
// zones both admitted; the later is voided. Of two at the same time, the higher zone's is the later.
func (r Record) Before(other Record) bool {
	if !r.At.Equal(other.At) {
		return r.At.Before(other.At)
	}
	return r.Request < other.Request
}

func (s State) asked(m Asked) State {
	r, ok := s.keyed.Get(m.Key)
	if !ok {
		return s
	}
	r.Unasked = slices.DeleteFunc(slices.Clone(r.Unasked), func(z ident.Zone) bool { return z == m.Zone })
	s.keyed = s.keyed.Set(m.Key, r)
	if open, ok := s.records.Get(r.Request); ok {
		open.Unasked = r.Unasked
		s.records = s.records.Set(r.Request, open)
	}
	return s
}

// void reverses a bill. The cost of one that is not durable yet becomes zero; for a
// durable one, a bill with negative tokens is written with the next segment.
func (s State) void(m Void) (State, Effect) {
	r, ok := s.keyed.Get(m.Key)
	if !ok || r.Phase != Settled || r.Voided || r.Elsewhere {
		return s, None{}
	}
	a, found := s.accounts.Get(r.Budget)
	if !found {
		return s, Missing{Request: r.Request}
	}
	a.settled -= r.Usage.Tokens()
	s = s.withAccount(a)
	r.Voided, r.Unasked = true, nil
	if _, notDurable := s.records.Get(r.Request); notDurable {
		r.Usage = Usage{}
	}
	return s.withRecord(r), Ended{Record: r}
}
