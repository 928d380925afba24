// Package engine holds what the relay knows of endpoints: their entries in the store, and what
// this node observed of them.
package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// State is the state of an endpoint.
type State int

// The states.
const (
	Ready State = iota
	Draining
	Evacuated // not reported by itself: its zone is to get no new work
	Leaving   // signaled in its answers, whatever its entry says
)

// Incarnation identifies one incarnation of an endpoint. An endpoint that restarts may keep its id but
// not its start time. State that a node keeps of an endpoint belongs to one incarnation.
type Incarnation struct {
	ID   string
	Born int64 // start time in Unix milliseconds, as reported by the endpoint; 0: unknown
}

// Engine is an endpoint's entry, for one of its incarnations.
type Engine struct {
	ID      string
	Born    int64 // start time in Unix milliseconds, as reported by the endpoint; 0: unknown
	Service string
	Address string // IP:PORT
	Zone    string
	Version string         // of its software; "" if not reported
	Seen    store.Revision // revision of its entry in the store
	Slots   int
	State   State
	Hash    uint64 // of the id, for placement; set by the directory

	Unread bool // the endpoint itself told its birth, before its entry: the version and state are those of an earlier incarnation

	ColdUntil   time.Time // the endpoint reports that it is slow until then; zero: it is not
	RestartedAt time.Time // when this node learned that it had restarted under its id; zero: no earlier incarnation was known
	LeavesBy    time.Time // in state Leaving: until then it may get calls that no other endpoint may take
	ReturnedAt  time.Time // when its zone was last given back after an evacuation; zero: never
}

// Incarnation returns the incarnation of the endpoint.
func (e Engine) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// Ends reports whether the endpoint signals that it is about to end.
func (e Engine) Ends() bool { return e.State == Draining || e.State == Leaving }

// Directory is an immutable set of endpoints.
type Directory struct {
	Revision  store.Revision
	byService map[string][]Engine
	byID      map[string]Engine
}

// NewDirectory builds a directory of endpoints, ordered by id.
func NewDirectory(revision store.Revision, engines []Engine) *Directory {
	d := &Directory{Revision: revision, byService: map[string][]Engine{}, byID: map[string]Engine{}}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range sorted {
		e.Hash = xxhash.Sum64String(e.ID)
		d.byID[e.ID] = e
		d.byService[e.Service] = append(d.byService[e.Service], e)
	}
	return d
}

// Limited returns a directory that lists only the allowed endpoints of each service. Get still
// finds all of them.
func (d *Directory) Limited(allowed func(service string, all []Engine) []Engine) *Directory {
	limited := &Directory{Revision: d.Revision, byService: make(map[string][]Engine, len(d.byService)), byID: d.byID}
	for service, all := range d.byService {
		limited.byService[service] = allowed(service, all)
	}
	return limited
}

// Of returns the endpoints of a service that may get work.
func (d *Directory) Of(service string) []Engine { return d.byService[service] }

// Get returns an endpoint by id.
func (d *Directory) Get(id string) (Engine, bool) {
	e, ok := d.byID[id]
	return e, ok
}

// All returns every endpoint, in no particular order.
func (d *Directory) All() []Engine {
	all := make([]Engine, 0, len(d.byID))
	for _, e := range d.byID {
		all = append(all, e)
	}
	return all
}
