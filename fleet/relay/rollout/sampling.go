package rollout

import (
	"fmt"
	"time"
)

const (
	// minPulseSkip is the earliest time after which a pulse may advance to the next endpoint because
	// the current one looks bad: its answers have arrived by then.
	minPulseSkip = 900 * time.Millisecond
	// minWithoutOld is how long there must be no old endpoint before a service counts as running on
	// the target already: entries that lapsed while the store was unavailable are listed again by then.
	minWithoutOld = 3 * time.Second
	// minRateWindow is how long calls are counted before routes get shares of their own. The window
	// is extended until there are minRateCalls, to at most maxRateWindow.
	minRateWindow = 1500 * time.Millisecond
	minRateCalls  = 60
	maxRateWindow = 3 * time.Second
	// checkpointPart is the part of the duration after which the time used is stored again, so
	// that no more than that is forgotten when all nodes are lost.
	checkpointPart = 0.3
	// maxColdPart is the part of the duration for which sampling waits for cold endpoints: their
	// slowness is no evidence against the version.
	maxColdPart = 0.25
	// maxOptionalWrites is the number of writes after which only those are made that change what
	// calls get: each costs one call to the store, and one more for every delegate that watches it.
	maxOptionalWrites = 6
	// minRestFactor and maxRestFactor bound the remaining share as factors of the planned one, where
	// more or less than planned was sampled until now.
	minRestFactor = 0.25
	maxRestFactor = 2.0
)

// startSampling starts sampling as soon as the target has endpoints.
func (d Decider) startSampling(t Tick) (Decider, []Effect) {
	used := d.used(t.Now)
	switch {
	case t.Old == 0 && t.Target > 0:
		if t.Now.Sub(d.noOldSince) < minWithoutOld {
			return d, nil
		}
		return d.write(Status{State: Completed}, "the service runs on the target alone already", t.Now)
	case used >= d.rollout.Duration-minMove:
		return d.revertIfExpired(t, "no time is left to sample the target")
	case t.Target == 0 || 2*t.Cold > t.Target && used < time.Duration(maxColdPart*float64(d.rollout.Duration)):
		return d, nil
	}
	return d.write(Status{State: InProgress, Share: d.rule.initialShare(d.rollout.Duration)}, "the target has endpoints", t.Now)
}

// revertIfExpired reverts an order whose time is certainly over.
func (d Decider) revertIfExpired(t Tick, why string) (Decider, []Effect) {
	if d.used(t.Now)-d.rollout.uncertainty() < d.rollout.Duration {
		return d, nil
	}
	return d.write(Status{State: Reverted}, why, t.Now)
}

// tickSampling sets the shares of routes, and starts the move as late as it can end in time.
func (d Decider) tickSampling(t Tick) (Decider, []Effect) {
	status := d.rollout.Status
	used := d.used(t.Now)
	duration := d.moveTime(t)
	switch {
	case d.missesPulses() && status.Writes < maxOptionalWrites-1:
		// A written time counts as certain: it is the mean, not the maximum.
		d.orderStart = d.orderStart.Add(d.rollout.uncertainty() / 2)
		return d.writeShares("nothing was observed of the target since the status was found", t.Now)
	case used >= d.end()-d.spare()-duration-d.writeTime()/2:
		return d.startMoving(t, duration)
	case len(status.RouteShares) == 0 && d.ratesKnown(t.Now):
		return d.writeShares("calls were counted", t.Now)
	case status.PulseShare > 0 && d.judge.SuspectedSince(d.rollout.LearnedAt) && t.Now.Sub(d.rollout.LearnedAt) > minPulseSkip && d.mayWriteMore():
		return d.writeShares("one endpoint looks bad, the next is loaded", t.Now)
	case status.Unhealthy != d.judge.UnhealthyCohorts() && d.mayWriteMore():
		return d.writeShares("an endpoint of the target is unhealthy", t.Now)
	case used-status.Used >= time.Duration(checkpointPart*float64(d.rollout.Duration)) && d.mayWriteMore() && d.latestAt.Sub(d.firstAt) >= minRateWindow:
		return d.writeShares("time used", t.Now)
	}
	return d, nil
}

// mayWriteMore reports whether an optional write may be made: two are reserved for the move and the
// end.
func (d Decider) mayWriteMore() bool { return d.rollout.Status.Writes < maxOptionalWrites-2 }

// missesPulses reports whether all nodes have restarted while the target is sampled in pulses: no
// node starts a pulse from a status that it found, so the target would receive no calls.
func (d Decider) missesPulses() bool {
	_, target := d.latest.Answers()
	return d.rollout.AgeUnknown && period(d.rollout.Status) > 0 && target.Answers < minTargetAnswers && d.latestAt.Sub(d.firstAt) >= minRateWindow
}

// ratesKnown reports whether enough calls were counted to know the rates of routes.
func (d Decider) ratesKnown(now time.Time) bool {
	passed := d.latestAt.Sub(d.firstAt)
	if d.firstAt.IsZero() || now.Sub(d.rollout.LearnedAt) < minRateWindow || passed < minRateWindow {
		return false
	}
	all, _ := d.latest.Answers()
	before, _ := d.firstEvidence.Answers()
	return all.Answers-before.Answers >= minRateCalls || passed >= maxRateWindow
}

// rates returns the service's calls per second by route.
func (d Decider) rates() Rates { return rates(d.latest, d.firstEvidence, d.latestAt.Sub(d.firstAt)) }

// writeShares writes the shares of routes by their current rates.
func (d Decider) writeShares(why string, now time.Time) (Decider, []Effect) {
	status, all := d.rollout.Status, d.rates()
	if all.sum() > 0 {
		status.Share = d.sampledShare(all.sum(), now)
		status.PulseShare = d.pulseShare(status.Share, all.sum(), now)
		status.RouteShares = routeShares(status.Share, status.PulseShare, all)
		status.FirstPulse = nextPulse(d.rollout, now)
		status.Unhealthy = d.judge.UnhealthyCohorts()
	}
	return d.write(status, fmt.Sprintf("%s: %.1f calls/s on %d routes", why, all.sum(), len(all)), now)
}

// sampledShare returns the share of calls to sample from now on, such that the target receives what
// is planned for the order until the move: less where it received more so far, as from early pulses,
// and more where it received little.
func (d Decider) sampledShare(perSecond float64, now time.Time) float64 {
	planned := d.rule.sampledShare(perSecond, d.rollout.Duration)
	rest, left := d.unsampledCalls(perSecond, now)
	if left <= 0 {
		return planned
	}
	maximum := min(maxRestFactor*planned, maxShare)
	return min(max(rest/(perSecond*left.Seconds()), minRestFactor*planned), maximum)
}

// pulseShare returns the share of calls in a pulse. Each write starts a pulse. The pulse is left
// out once earlier ones have shown something and half of one would exceed what is left to sample, unless an
// endpoint is suspected or was found unhealthy: the next pulse shows whether others are, too.
func (d Decider) pulseShare(share, perSecond float64, now time.Time) float64 {
	filled := pulseShareFor(share, d.tick.Old)
	rest, _ := d.unsampledCalls(perSecond, now)
	if d.rollout.Status.PulseShare > 0 && d.rollout.Status.Unhealthy == d.judge.UnhealthyCohorts() && !d.judge.HasSuspicion() && rest < filled*perSecond*pulseDuration.Seconds()/2 {
		return 0
	}
	return filled
}

// unsampledCalls returns how many of the planned calls are left to sample until the move, and in how
// much time.
func (d Decider) unsampledCalls(perSecond float64, now time.Time) (calls float64, left time.Duration) {
	end := d.end() - d.spare() - d.moveTime(d.tick)
	_, target := d.latest.Answers()
	planned := d.rule.sampledShare(perSecond, d.rollout.Duration) * perSecond * d.rollout.Duration.Seconds()
	return planned - float64(target.Answers), end - d.used(now)
}
