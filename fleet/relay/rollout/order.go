// Package rollout decides how the calls of a service move to endpoints of another version: which
// versions may get work, which share of the calls samples the new one, when the evidence suffices to
// proceed or to revert, and when the old endpoints may stop. It uses no clock, random numbers or
// network of its own.
package rollout

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Order is an operator's request to move a service's calls to endpoints of a version.
type Order struct {
	Service  string
	Target   string        // version
	Duration time.Duration // from the order until all calls must have moved
	Made     int64         // number of the store's revision at which it was made: identifies the order
}

// Problem returns why an order is invalid; "" if it is valid. An invalid order changes nothing, and is
// logged.
func (o Order) Problem() string {
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

// State is the progress of an order, as stored.
type State int

// The states.
const (
	Ordered    State = iota // nothing is written yet: the target receives nothing
	InProgress              // the target receives a share of the calls, or all new ones
	Completed               // only the target receives calls
	Reverted                // the target receives nothing, finally
)

// Status is what the fleet has agreed on for an order. It is kept in the store.
type Status struct {
	State       State
	Target      string // target of its order; a status with another target belongs to another order
	Made        int64  // Made of its order; 0 if unknown
	Stage       Stage
	Share       float64       // of each node's calls that sample the target while sampling
	RouteShares []RouteShare  // shares of single routes; Share applies to the others
	Used        time.Duration // of the order's duration when the status was written
	PulseShare  float64       // while sampling: share that loads one endpoint like an old one; 0 without pulses
	Unhealthy   uint32        // bit set of the target's cohorts that are not sampled: one unhealthy endpoint each
	FirstPulse  int           // index of the sampled endpoint that the first pulse loads
	Left        time.Duration // in the stage Moving: until old endpoints may stop
	FullLoad    time.Duration // end of Left in which nearly all new calls go to the target
	Barred      []string      // versions of earlier orders that were not found good: they receive nothing
	Writes      int           // how often the status of this order was written
	References  []Reference   // the old version's baseline, for nodes that never observed it
}

// RouteShare is the share of one route's calls that samples the target: routes with few calls need a
// larger one.
type RouteShare struct {
	Route string
	Share float64
}

// Stage is a phase of an order in progress.
type Stage int

// The stages.
const (
	Sampling Stage = iota // a share of the calls goes to a few endpoints of the target
	Moving                // calls go to the target unless they end at an old endpoint in time
)

// Rollout is an order and its status, as known to one node.
type Rollout struct {
	Order
	Status         Status
	Revision       store.Revision // of the object in the store
	LearnedAt      time.Time      // when this node learned of this status, by its monotonic clock
	AgeUnknown     bool           // the status was there when this node first read the order: its age is unknown
	MissingInStore bool           // the store was restored from a backup without this status
}

// CarryOver returns the rollout as a later era of the store holds it, with the status known from an
// earlier era if that is further along. An operator's order that is written again is the same order,
// whatever the revision at which it was made.
func (r Rollout) CarryOver(known Rollout) Rollout {
	same := known.Service == r.Service && known.Target == r.Target && known.Duration == r.Duration
	if !same || known.State() == Ordered || r.State() != Ordered && r.Status.Writes >= known.Status.Writes {
		return r
	}
	r.Status, r.LearnedAt, r.AgeUnknown, r.MissingInStore = known.Status, known.LearnedAt, known.AgeUnknown, true
	if r.Status.Made != 0 {
		r.Status.Made = r.Made
	}
	return r
}

// State returns the state of the order itself: the status of an earlier order doesn't count.
func (r Rollout) State() State {
	if r.Status.Target != r.Target || r.Status.Made != 0 && r.Status.Made != r.Made {
		return Ordered
	}
	return r.Status.State
}

// Unproven returns the versions beside the target that may not get work: those of earlier orders
// that ended badly or were replaced before their end. The target itself may be ordered again.
func (r Rollout) Unproven() []string {
	barred := lo.Without(r.Status.Barred, r.Target)
	before := r.Status.Target
	if before == "" || before == r.Target || r.Status.State == Completed || lo.Contains(barred, before) {
		return barred
	}
	return append(slices.Clone(barred), before)
}
