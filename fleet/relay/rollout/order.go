// Package rollout decides how the calls of a service move to endpoints of another
// version: which versions may get work, what part of the calls tries the new one,
// when what they show is enough to go on or to go back, and when the old endpoints
// may stop. It has no clock, no random numbers and no network of its own.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Order is what an operator asks for: that a service's calls move to endpoints of a
// version.
type Order struct {
	Service  string
	Target   string        // version
	Duration time.Duration // from the order until all calls are to have moved
	Made     int64         // revision of the store at which it was made: another one is another order
}

// Fault is why an order makes no sense; "" where it does. Such an order changes
// nothing, and is logged.
func (o Order) Fault() string {
	switch {
	case o.Service == "":
		return "it names no service"
	case o.Target == "":
		return "it names no version"
	case o.Duration <= 0:
		return "its duration is not positive"
	}
	return ""
}

// State is how far an order has come, as the store says.
type State int

// The states.
const (
	Ordered    State = iota // nothing is written yet: the target gets nothing
	InProgress              // the target gets a part of the calls, or all new ones
	Completed               // the target alone gets calls
	Reverted                // the target gets nothing, for good
)

// Status is what the fleet has agreed on for an order: it lies in the store.
type Status struct {
	State  State
	Target string // of the order that it is about; another target is another order's status
	Made   int64  // and that order's Made; 0 where it is not told
	Stage  Stage
	Share  float64       // of each node's calls that try the target while sampling
	Used   time.Duration // of the order's duration when the status was written
	Left   time.Duration // in the stage Moving: until nothing may run at old endpoints any more
}

// Stage is a part of the way while an order is in progress.
type Stage int

// The stages.
const (
	Sampling Stage = iota // a share of the calls goes to a few endpoints of the target
	Moving                // calls go to the target unless they end at an old endpoint in time
)

// Rollout is an order and its status, as one node knows them.
type Rollout struct {
	Order
	Status   Status
	Revision int64     // of the object in the store
	Learned  time.Time // when this node learned of this status, by its steady clock
}

// State is the state of the order itself: a status that is about an earlier order
// says nothing of this one.
func (r Rollout) State() State {
	if r.Status.Target != r.Target || r.Status.Made != 0 && r.Status.Made != r.Made {
		return Ordered
	}
	return r.Status.State
}

// Set is an immutable set of rollouts by the name of their object, at a revision of
// the store.
type Set struct {
	revision int64
	byName   map[string]Rollout
}

// Revision is the store's revision up to which the set is known.
func (s Set) Revision() int64 { return s.revision }

// Of finds the rollout of a service. Of several objects that name it the newest
// order holds.
func (s Set) Of(service string) (Rollout, bool) {
	var found Rollout
	ok := false
	for _, r := range s.byName {
		if r.Service == service && r.Fault() == "" && (!ok || r.Made > found.Made) {
			found, ok = r, true
		}
	}
	return found, ok
}

// All lists the rollouts by the name of their object, in order.
func (s Set) All() []Rollout {
	return lo.Map(slices.Sorted(maps.Keys(s.byName)), func(name string, _ int) Rollout { return s.byName[name] })
}

// Name finds a rollout by the name of its object.
func (s Set) Name(name string) (Rollout, bool) {
	r, ok := s.byName[name]
	return r, ok
}

// With returns the set with the rollout of an object, which is dropped where what is
// known of that object is newer.
func (s Set) With(name string, r Rollout) Set {
	if before, ok := s.byName[name]; ok && before.Revision > r.Revision {
		return s
	}
	s.byName = lo.Assign(s.byName, map[string]Rollout{name: r})
	return s.At(r.Revision)
}

// Without returns the set without an object that was taken away.
func (s Set) Without(name string) Set {
	s.byName = lo.OmitByKeys(s.byName, []string{name})
	return s
}

// At returns the set as of a later revision of the store.
func (s Set) At(revision int64) Set {
	s.revision = max(s.revision, revision)
	return s
}
