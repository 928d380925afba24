// Package witness keeps the records that a node knows as the second VM: those
// it runs as an entry under another holder, and those that another holder
// entrusted to it.
//
// A holder's death is made good from what witnesses know. Fencing a holder is
// their promise to run nothing more under it, so that its account can be closed
// exactly even if it is only paused and wakes.
package witness

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// State is what a node knows as a witness; it is not changed in place.
type State struct {
	records *immutable.Map[ident.Request, holder.Record]
	fenced  *immutable.Map[ident.Incarnation, bool]
}

// New is a witness that knows nothing.
func New() State {
	return State{
		records: ident.NewMap[ident.Request, holder.Record](),
		fenced:  ident.NewMap[ident.Incarnation, bool](),
	}
}

// Message is something that happened to a witness.
type Message interface{ message() }

// Store entrusts a record; it is refused once its holder is fenced.
type Store struct{ Record holder.Record }

// Settle notes the end of a request at a cost.
type Settle struct {
	Request ident.Request
	Usage   holder.Usage
	At      time.Time
}

// Drop forgets requests that did not run or whose bills are durable.
type Drop struct{ Requests []ident.Request }

// Fence ends a holder: nothing more is run under it here.
type Fence struct{ Holder ident.Incarnation }

func (Store) message()  {}
func (Settle) message() {}
func (Drop) message()   {}
func (Fence) message()  {}

// Effect answers a message.
type Effect interface{ effect() }

// Stored confirms a message.
type Stored struct{}

// Fenced refuses a record whose holder is fenced.
type Fenced struct{ Holder ident.Incarnation }

func (Stored) effect() {}
func (Fenced) effect() {}

// Handle takes a message and returns the next state and the answer.
func (s State) Handle(m Message) (State, Effect) {
	switch m := m.(type) {
	case Store:
		return s.store(m)
	case Settle:
		return s.settle(m), Stored{}
	case Drop:
		for _, id := range m.Requests {
			s.records = s.records.Delete(id)
		}
		return s, Stored{}
	case Fence:
		s.fenced = s.fenced.Set(m.Holder, true)
		return s, Stored{}
	}
	return s, Stored{}
}

// store keeps a record; what is known to have ended stays ended.
func (s State) store(m Store) (State, Effect) {
	old, ok := s.records.Get(m.Record.Request)
	if ok && old.Phase == holder.Settled {
		return s, Stored{}
	}
	if fenced, _ := s.fenced.Get(m.Record.Holder); fenced && m.Record.Phase != holder.Settled && !ok {
		return s, Fenced{Holder: m.Record.Holder}
	}
	s.records = s.records.Set(m.Record.Request, m.Record)
	return s, Stored{}
}

func (s State) settle(m Settle) State {
	r, ok := s.records.Get(m.Request)
	if !ok || r.Phase == holder.Settled {
		return s
	}
	s.records = s.records.Set(m.Request, r.WithEnd(m.Usage, nil, m.At))
	return s
}

// Record finds a record.
func (s State) Record(id ident.Request) (holder.Record, bool) { return s.records.Get(id) }

// Of lists the records of a holder, by request.
func (s State) Of(h ident.Incarnation) []holder.Record {
	var found []holder.Record
	for it := s.records.Iterator(); !it.Done(); {
		if _, r, _ := it.Next(); r.Holder == h {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y holder.Record) int {
		if x.Request < y.Request {
			return -1
		}
		return 1
	})
	return found
}

// All lists every record that is kept.
func (s State) All() []holder.Record {
	all := make([]holder.Record, 0, s.records.Len())
	for it := s.records.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		all = append(all, r)
	}
	return all
}

// Holders lists the holders whose records are kept.
func (s State) Holders() []ident.Incarnation {
	var holders []ident.Incarnation
	for it := s.records.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		holders = append(holders, r.Holder)
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// Len is how many records are kept.
func (s State) Len() int { return s.records.Len() }
