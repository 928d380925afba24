package rollout

import (
	"math"
	"time"
)

// Side selects the versions among which an attempt chooses its endpoint.
type Side int

// The sides.
const (
	Any Side = iota // no order concerns the service
	Old             // every version except the target
	New             // the target
)

// Call holds what the side of a call depends on.
type Call struct {
	Hash        uint64        // hash of its id: selects the calls that sample the target
	Route       string        // its name, as in Sample
	Once        bool          // it may run at most once
	MaxDuration time.Duration // expected maximum duration
	Attempt     int           // 0 is the first; later ones never sample the target
	Now         time.Time     // by the node's monotonic clock
}

// rampTime is how long the share of calls that could still end at old endpoints takes to rise from
// the sampled share to all: a version that breaks under load shows it at a part of the load first.
const rampTime = time.Second

// rampEndShare is the share at which the rise ends.
const rampEndShare = 0.94

// maxLearnDelay is how much later than the decider a node may learn of a status: calls that it sends
// to old endpoints must end that much sooner.
const maxLearnDelay = 500 * time.Millisecond

// Plan is how one node routes a service's calls under a rollout. It is an immutable value, recreated
// whenever the node learns something. It doesn't allocate per call. The zero value is the plan of a
// service without an order.
type Plan struct {
	rollout Rollout
	ordered bool
	state   State
	salt    uint64        // makes the sampling of two orders independent
	period  time.Duration // from one pulse to the next; 0 without pulses
	bad     bool          // a node found the target bad: it receives nothing, before the status says so
}

// NewPlan returns the plan for a rollout.
func NewPlan(r Rollout) Plan {
	return Plan{rollout: r, ordered: true, state: r.State(), salt: mix(uint64(r.Made)), period: period(r.Status)}
}

// WithBad returns the plan of a node that knows that the target is bad.
func (p Plan) WithBad() Plan {
	p.bad = true
	return p
}

// Side returns the side on which an attempt looks for its endpoint.
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
	case c.Attempt == 0 && p.sampled(c, p.pulsedShare(p.share(c), c.Now)):
		return New
	}
	return Old
}

// AllowsTarget reports whether the target may get calls.
func (p *Plan) AllowsTarget() bool { return p.state == Completed || p.state == InProgress && !p.bad }

// moving sends a call to old endpoints only if it ends before they may stop, and sends a rising
// share of such calls to the target.
func (p *Plan) moving(c Call) Side {
	left := p.left(c.Now)
	switch {
	case c.MaxDuration >= left:
		return New
	case c.Attempt > 0 && left > p.rollout.Status.FullLoad:
		return Old
	case p.sampled(c, p.rampShare(c, left)):
		return New
	}
	return Old
}

// left returns how long old endpoints certainly keep running. With a status of unknown age no call
// may start there.
func (p *Plan) left(now time.Time) time.Duration {
	if p.rollout.AgeUnknown {
		return 0
	}
	return p.rollout.Status.Left - now.Sub(p.rollout.LearnedAt) - maxLearnDelay
}

// rampShare returns the share of calls that could still end at old endpoints which go to the target.
// It rises with the cube of time, so that half of the calls go to the target in the last fifth. It
// ends below one: the remaining calls distinguish trouble of both versions from a version that
// breaks under load.
func (p *Plan) rampShare(c Call, left time.Duration) float64 {
	share := p.share(c)
	x := float64(p.rollout.Status.FullLoad+rampTime-left) / float64(rampTime)
	switch {
	case x <= 0:
		return share
	case x >= 1:
		return max(share, rampEndShare)
	}
	return share + max(rampEndShare-share, 0)*x*x*x
}

func (p *Plan) share(c Call) float64 {
	for i := range p.rollout.Status.RouteShares {
		if part := &p.rollout.Status.RouteShares[i]; part.Route == c.Route {
			return part.Share
		}
	}
	if c.Once && len(p.rollout.Status.RouteShares) == 0 {
		return 0 // sampled only once the shares of routes are known
	}
	return p.rollout.Status.Share
}

// sampled reports whether a call belongs to a share, by its hash alone: the nodes' calls add up to
// the share of the whole, and a call has the same result at every node.
func (p *Plan) sampled(c Call, share float64) bool {
	return float64(mix(c.Hash^p.salt)) < share*math.MaxUint64
}

// mix scrambles the bits of a hash, so that other decisions by the same hash are independent of the
// sampling.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
