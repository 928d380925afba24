package rollout

import "time"

const (
	// pulseLasts is how long a pulse is: nodes learn of a status up to some hundred ms apart
	// from each other, and an endpoint's load needs as long again to build up.
	pulseLasts = 1700 * time.Millisecond
	// pulseFills is how full a pulse makes an endpoint beside the old ones' mean: a quarter
	// more, as nodes begin and end it apart from each other.
	pulseFills = 1.25
	// mostPulse is the most of a route's calls that a pulse takes: the others show what the
	// old version does at the same time.
	mostPulse = 0.6
)

// Few endpoints can't be filled by a small share of the calls: three of three would be
// tried at a twelfth of the load that they are to bear. There the share comes in pulses:
// one endpoint after the other gets as many calls as an old one for a short time, and
// between pulses the target gets none, so that it gets the share in the mean. A version
// that breaks under load shows that at a third of what it would get in the move.

// pulsed is the share that fills one endpoint, where the share of the calls fills fewer
// endpoints than are tried at least; else 0.
func pulsed(share float64, old int) float64 {
	if old == 0 {
		return 0
	}
	fills := pulseFills / float64(old)
	if share*float64(old) >= leastTried || share >= fills || fills >= 1 {
		return 0
	}
	return fills
}

// pulse is what a share of calls is at a moment.
func (p *Plan) pulse(share float64, now time.Time) float64 {
	if p.period == 0 {
		return share
	}
	if p.since(now)%p.period >= pulseLasts {
		return 0
	}
	return min(share*p.rollout.Status.Filled/p.rollout.Status.Share, mostPulse)
}

// tried chooses which of the tried endpoints a pulse fills, one after the other.
func (p *Plan) tried(endpoints int, now time.Time) (from, to int) {
	if p.period == 0 || endpoints == 0 {
		return 0, endpoints
	}
	i := (p.rollout.Status.First + int(p.since(now)/p.period)) % endpoints
	return i, i + 1
}

// nextPulse is which endpoint is filled after the present one.
func nextPulse(r Rollout, now time.Time) int {
	every := period(r.Status)
	if every == 0 {
		return r.Status.First
	}
	return r.Status.First + int(max(now.Sub(r.Learned), 0)/every) + 1
}

// since is how long the status has been in force. Where it was found its first pulse is
// taken for over: nodes that start anew, one after the other, would each begin one, and
// the target would get many times its share.
func (p *Plan) since(now time.Time) time.Duration {
	passed := max(now.Sub(p.rollout.Learned), 0)
	if p.rollout.Found {
		passed += pulseLasts
	}
	return passed
}

// period is the time from one pulse to the next.
func period(s Status) time.Duration {
	if s.Filled <= s.Share || s.Share <= 0 || s.State != InProgress || s.Stage != Sampling {
		return 0
	}
	return time.Duration(float64(pulseLasts) * s.Filled / s.Share)
}
