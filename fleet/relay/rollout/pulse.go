package rollout

import "time"

const (
	// pulseDuration is the length of a pulse: nodes learn of a status up to some hundred ms apart,
	// and an endpoint's load needs as long again to build up.
	pulseDuration = 1700 * time.Millisecond
	// pulseLoad is the load of an endpoint in a pulse relative to the old endpoints' mean: a quarter
	// more, since nodes start and end the pulse at different times.
	pulseLoad = 1.25
	// maxPulseShare is the largest part of a route's calls in a pulse: the others show how the old
	// version does at the same time.
	maxPulseShare = 0.6
)

// A small share of the calls can't load a few endpoints: three of three would be sampled at a
// twelfth of the load that they are to bear. For those the share comes in pulses: for a short time
// one endpoint after the other receives as many calls as an old one, and between pulses the target
// receives none, so that its mean is the share. A version that breaks under load shows that at a
// third of what it would receive in the move.

// pulseShareFor returns the share of calls that loads one endpoint like an old one, if the given
// share loads fewer endpoints than are sampled at least; otherwise 0.
func pulseShareFor(share float64, old int) float64 {
	if old == 0 {
		return 0
	}
	fillShare := pulseLoad / float64(old)
	if share*float64(old) >= minSampledEndpoints || share >= fillShare || fillShare >= 1 {
		return 0
	}
	return fillShare
}

// pulsedShare returns what a share of calls is at a moment.
func (p *Plan) pulsedShare(share float64, now time.Time) float64 {
	if p.period == 0 {
		return share
	}
	if p.elapsed(now)%p.period >= pulseDuration {
		return 0
	}
	return min(share*p.rollout.Status.PulseShare/p.rollout.Status.Share, maxPulseShare)
}

// pulseRange selects which of the sampled endpoints a pulse loads, one after the other.
func (p *Plan) pulseRange(endpoints int, now time.Time) (from, to int) {
	if p.period == 0 || endpoints == 0 {
		return 0, endpoints
	}
	i := (p.rollout.Status.FirstPulse + int(p.elapsed(now)/p.period)) % endpoints
	return i, i + 1
}

// nextPulse returns which endpoint is loaded after the current one.
func nextPulse(r Rollout, now time.Time) int {
	every := period(r.Status)
	if every == 0 {
		return r.Status.FirstPulse
	}
	return r.Status.FirstPulse + int(max(now.Sub(r.LearnedAt), 0)/every) + 1
}

// elapsed returns how long the status has been in force. If the status was found, its first pulse
// counts as over: otherwise nodes that restart one after the other would each start one, and the
// target would receive many times its share.
func (p *Plan) elapsed(now time.Time) time.Duration {
	passed := max(now.Sub(p.rollout.LearnedAt), 0)
	if p.rollout.AgeUnknown {
		passed += pulseDuration
	}
	return passed
}

// period returns the time from one pulse to the next.
func period(s Status) time.Duration {
	if s.PulseShare <= s.Share || s.Share <= 0 || s.State != InProgress || s.Stage != Sampling {
		return 0
	}
	return time.Duration(float64(pulseDuration) * s.PulseShare / s.Share)
}
