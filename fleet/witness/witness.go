// Package witness stores the records that a node keeps as the second VM: those
// it runs as the entry VM under another holder, and those that another holder
// stored here.
//
// After a holder has died, its accounts are closed from the records of its witnesses.
// A witness that has fenced a holder runs nothing more under it, so that the accounts
// can be closed with exact amounts even if the holder was only paused and resumes.
package witness

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// State is the state of a node as a witness. It is immutable.
type State struct {
	records *immutable.Map[ident.Request, holder.Record]
	fenced  *immutable.Map[ident.Incarnation, bool]
}

// New returns a witness without records.
func New() State {
	return State{
		records: ident.NewMap[ident.Request, holder.Record](),
		fenced:  ident.NewMap[ident.Incarnation, bool](),
	}
}

// Message is an event or a request that State.Handle applies to a witness.
type Message interface{ message() }

// Store stores a record. A new open record is refused once its holder is fenced.
type Store struct{ Record holder.Record }

// Settle records the end of a request and its cost.
type Settle struct {
	Request ident.Request
	Usage   holder.Usage
	At      time.Time
}

// Drop removes requests that did not run or whose bills are durable.
type Drop struct{ Requests []ident.Request }

// Fence fences a holder: nothing more runs under it on this node.
type Fence struct{ Holder ident.Incarnation }

func (Store) message()  {}
func (Settle) message() {}
func (Drop) message()   {}
func (Fence) message()  {}

// Effect is the answer to a message.
type Effect interface{ effect() }

// Stored confirms a message.
type Stored struct{}

// Fenced refuses a record whose holder is fenced.
type Fenced struct{ Holder ident.Incarnation }

func (Stored) effect() {}
func (Fenced) effect() {}

// Handle applies a message and returns the next state and the answer.
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

// store adds or replaces a record. A settled record stays as it is.
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

// Record returns the record of a request.
func (s State) Record(id ident.Request) (holder.Record, bool) { return s.records.Get(id) }

// Of returns the records of a holder, sorted by request.
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

// All returns all stored records.
func (s State) All() []holder.Record {
	all := make([]holder.Record, 0, s.records.Len())
	for it := s.records.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		all = append(all, r)
	}
	return all
}

// Holders returns the holders that have records here.
func (s State) Holders() []ident.Incarnation {
	var holders []ident.Incarnation
	for it := s.records.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		holders = append(holders, r.Holder)
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// Len returns the number of stored records.
func (s State) Len() int { return s.records.Len() }
