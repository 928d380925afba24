package rollout

import "time"

// Side is the versions among which an attempt chooses its endpoint.
type Side int

// The sides.
const (
	Any Side = iota // no order concerns the service
	Old             // every version but the target
	New             // the target
)

// Call is what the side of a call depends on.
type Call struct {
	Hash    uint64        // of its id: it draws which calls try the target
	Once    bool          // it may run at most once
	Lasts   time.Duration // how long it may take at the most, as expected
	Attempt int           // 0 is the first; later ones never try the target while it is sampled
	Now     time.Time     // by the node's steady clock
}

// Plan is how one node routes a service's calls under a rollout: an immutable value,
// made anew whenever the node learns something. It costs no allocation a call.
type Plan struct {
	rollout Rollout
	bad     bool // somebody found the target bad: it gets nothing, before the status says so
}

// NewPlan returns the plan for a rollout.
func NewPlan(r Rollout) Plan { return Plan{rollout: r} }

// WithBad returns the plan of a node that heard that the target is bad.
func (p Plan) WithBad() Plan {
	p.bad = true
	return p
}
