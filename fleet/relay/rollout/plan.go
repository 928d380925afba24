package rollout

import (
	"math"
	"time"
)

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
	Route   string        // its name, as samples have it
	Once    bool          // it may run at most once
	Lasts   time.Duration // how long it may take at the most, as expected
	Attempt int           // 0 is the first; later ones never try the target while it is sampled
	Now     time.Time     // by the node's steady clock
}

// ramp is how long the share of calls that could still end at old endpoints takes to
// rise from the sampled one to all: a version that breaks under load shows that at a part
// of the load first.
const ramp = time.Second

// risen is the share at which the rise ends.
const risen = 0.94

// learnedLater is how much later than the one that decides a node may learn of a status:
// what it sends to old endpoints ends that much sooner.
const learnedLater = 500 * time.Millisecond

// Plan is how one node routes a service's calls under a rollout: an immutable value,
// made anew whenever the node learns something. It costs no allocation a call. The zero
// value is the plan of a service without an order.
type Plan struct {
	rollout Rollout
	ordered bool
	state   State
	salt    uint64        // draws of two orders are independent
	period  time.Duration // from one pulse to the next; 0 is no pulses
	bad     bool          // somebody found the target bad: it gets nothing, before the status says so
}

// NewPlan returns the plan for a rollout.
func NewPlan(r Rollout) Plan {
	return Plan{rollout: r, ordered: true, state: r.State(), salt: mix(uint64(r.Made)), period: period(r.Status)}
}

// WithBad returns the plan of a node that heard that the target is bad.
func (p Plan) WithBad() Plan {
	p.bad = true
	return p
}

// Side is where an attempt looks for its endpoint.
func (p *Plan) Side(c Call) Side {
	switch {
	case !p.ordered:
		return Any
	case p.state == Completed:
		return New
	case p.state != InProgress || p.bad:
		return Old
	case p.rollout.Status.Stage == Moving:
		return p.moving(c)
	case c.Attempt == 0 && p.drawn(c, p.pulse(p.share(c), c.Now)):
		return New
	}
	return Old
}

// moving sends a call to old endpoints only if it ends there before they may stop, and
// of those that could, more and more to the target.
func (p *Plan) moving(c Call) Side {
	left := p.left(c.Now)
	switch {
	case c.Lasts >= left:
		return New
	case c.Attempt > 0 && left > p.rollout.Status.Full:
		return Old
	case p.drawn(c, p.rising(c, left)):
		return New
	}
	return Old
}

// left is how long old endpoints run on for certain. A status whose age isn't known
// lets no call begin there.
func (p *Plan) left(now time.Time) time.Duration {
	if p.rollout.Found {
		return 0
	}
	return p.rollout.Status.Left - now.Sub(p.rollout.Learned) - learnedLater
}

// rising is the share of calls that could still end at old endpoints which go to the
// target: with the cube of time, so that half of the calls go there in the last fifth. It
// ends below one: what the rest shows tells trouble that both versions have from a version
// that breaks under load.
func (p *Plan) rising(c Call, left time.Duration) float64 {
	share := p.share(c)
	x := float64(p.rollout.Status.Full+ramp-left) / float64(ramp)
	switch {
	case x <= 0:
		return share
	case x >= 1:
		return max(share, risen)
	}
	return share + max(risen-share, 0)*x*x*x
}

func (p *Plan) share(c Call) float64 {
	for i := range p.rollout.Status.Parts {
		if part := &p.rollout.Status.Parts[i]; part.Route == c.Route {
			return part.Share
		}
	}
	if c.Once && len(p.rollout.Status.Parts) == 0 {
		return 0 // sampled last: once the parts are known
	}
	return p.rollout.Status.Share
}

// drawn is whether a call is one of a share, by its hash alone: each node's part adds
// up to the share of the whole, and a call has one draw at every node.
func (p *Plan) drawn(c Call, share float64) bool {
	return float64(mix(c.Hash^p.salt)) < share*math.MaxUint64
}

// mix spreads the bits of a hash, so that those that chose something else with the same
// hash are no part of the draw.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
