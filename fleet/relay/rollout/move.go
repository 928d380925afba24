package rollout

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

const (
	// minWriteTime is the minimum time before the deadline at which the last status is written. A
	// store that was slower before is given twice its slowest write.
	minWriteTime = 1400 * time.Millisecond
	// minFullLoad is how long the target must bear all calls before the move is final: a version
	// that breaks under load only shows it by then, and digests of the last calls at old endpoints
	// have arrived. Where few calls come it lasts for fullLoadCalls, but at most maxFullLoadPart of
	// the duration.
	minFullLoad     = 1300 * time.Millisecond
	fullLoadCalls   = 40
	maxFullLoadPart = 0.15
	// spareRate is the part of a duration's excess over spareFrom that is kept free at its end, at
	// most maxSpare, for a store that is unavailable then or for nodes that restart. Shorter orders
	// need all their time to sample the target.
	spareRate = 0.1
	spareFrom = 15 * time.Second
	maxSpare  = 5 * time.Second
	// maxMovePart is the part of the duration that the move may take.
	maxMovePart = 0.22
	// minSilenceMargin is the minimum time before the deadline at which the decider stops waiting
	// for silent nodes.
	minSilenceMargin = minWriteTime / 2
	// minMove is the shortest move: the ramp, the target's full-load period and the delay until all
	// nodes know the status.
	minMove = rampTime + minFullLoad + maxLearnDelay
	// trustedAnswers is the number of answers from which a decider needs no observation time of its
	// own: other nodes have counted them.
	trustedAnswers = 150
	// minRouteAnswers is how many answers of the target each route must have after a loss of all
	// nodes, until the order's time has probably passed.
	minRouteAnswers = 5
	// cautiousPart is the part of the verdict limit above which the move waits for more answers
	// while there is time, and moveDoubtPart the part above which the target is then reverted: in a
	// move, a bad version would affect all calls until it shows.
	cautiousPart  = 0.1
	moveDoubtPart = 0.4
	// minTargetAnswers is how many answers of the target are needed before calls move to it.
	minTargetAnswers = 12
	// gatherTime is how long answers are gathered after slow ones would show.
	gatherTime = 600 * time.Millisecond
	// busyRoutePart is the part of the service's calls from which on a route must have answers of
	// the target before the move.
	busyRoutePart = 0.1
	// watchedPart is the part of the duration for which a decider must have observed the order, at
	// most maxWatched: the evidence of lost nodes is lost with them.
	watchedPart = 0.2
	maxWatched  = 3 * time.Second
)

// fullLoadTime returns how long the target bears all calls before the move is final.
func (d Decider) fullLoadTime() time.Duration {
	perSecond := d.rates().sum()
	if perSecond == 0 {
		return minFullLoad
	}
	calls := time.Duration(fullLoadCalls / perSecond * float64(time.Second))
	maximum := time.Duration(maxFullLoadPart * float64(d.rollout.Duration))
	return max(min(calls, maximum), minFullLoad)
}

// end returns how much of the duration has passed when old endpoints may stop at the latest.
func (d Decider) end() time.Duration { return d.rollout.Duration - d.writeTime() - settleTime }

// spare returns the time that is kept free for problems near the end.
func (d Decider) spare() time.Duration {
	return min(max(time.Duration(spareRate*float64(d.rollout.Duration-spareFrom)), 0), maxSpare)
}

func (d Decider) writeTime() time.Duration {
	return max(minWriteTime, min(2*d.slowestWrite, d.rollout.Duration/6))
}

// moveTime returns how long the move takes: until the calls that run now at old endpoints have
// ended, but no more than a part of the duration.
func (d Decider) moveTime(t Tick) time.Duration {
	maximum := time.Duration(maxMovePart * float64(d.rollout.Duration))
	return max(min(t.MaxRemaining+maxLearnDelay, maximum), min(rampTime+d.fullLoadTime()+maxLearnDelay, maximum))
}

// startMoving starts the move if enough was observed of the target and it is not in doubt. It waits
// for both until even the shortest move would end too late.
func (d Decider) startMoving(t Tick, duration time.Duration) (Decider, []Effect) {
	_, target := d.latest.Answers()
	remaining := d.end() - d.used(t.Now)
	switch {
	case t.Target == 0 || !d.watched():
		return d.revertIfExpired(t, fmt.Sprintf("%d endpoints of the target and %d answers by the end", t.Target, target.Answers))
	case d.thinEvidence() && remaining > -d.rollout.uncertainty()/2:
		return d, nil
	case (d.judge.Exceeds(cautiousPart) || d.judge.HasSuspicion()) && remaining > rampTime+d.fullLoadTime():
		return d, nil
	case d.judge.Exceeds(moveDoubtPart):
		return d.write(Status{State: Reverted}, "in doubt before the move: "+d.judge.Why(), t.Now)
	}
	status := d.rollout.Status
	status.Stage = Moving
	status.FullLoad = d.fullLoadTime()
	status.Left = max(min(duration, remaining-d.slowestWrite), status.FullLoad+maxLearnDelay+rampTime/2)
	return d.write(status, fmt.Sprintf("%d answers of the target, %s left", target.Answers, remaining), t.Now)
}

// watched reports whether the target was observed enough for the move, where there are calls. A
// decider that has just started has observed nothing yet, however late it is.
func (d Decider) watched() bool {
	all, target := d.latest.Answers()
	switch {
	case target.Answers >= trustedAnswers && !d.busyRouteUnobserved(all):
		return true
	case d.firstAt.IsZero() || d.latestAt.Sub(d.firstAt) < d.watchedFor():
		return false
	}
	return target.Answers >= minTargetAnswers && d.judge.HasBaseline() && !d.busyRouteUnobserved(all) || d.toleratesAnyTarget(all)
}

// busyRouteUnobserved reports whether a route with a large part of the calls has no answer of the
// target: a version may be bad on one route only.
func (d Decider) busyRouteUnobserved(all Count) bool {
	return lo.SomeBy(d.latest.Routes, func(r RouteEvidence) bool {
		target := r.Target.Sum()
		calls := r.Old.Sum().Plus(target).Answers
		return target.Answers == 0 && float64(calls) >= busyRoutePart*float64(all.Answers)
	})
}

// toleratesAnyTarget reports whether the bounds hold even if all calls of the order go to a bad
// target. It counts the whole order, not the rest: near the end few calls are left, and the target
// would become final without having shown anything. The rate must be counted for a while first,
// since evidence of other nodes may be lost.
func (d Decider) toleratesAnyTarget(all Count) bool {
	if d.latestAt.Sub(d.firstAt) < minRateWindow {
		return false
	}
	perSecond := float64(all.Answers) / max(d.latestAt.Sub(d.firstAt).Seconds(), 1)
	whole := perSecond * d.rollout.Duration.Seconds()
	return whole <= d.rule.Share*whole+plannedTolerancePart*float64(d.rule.Tolerance)
}

// watchedFor returns how long a decider with little evidence must observe the order. While calls
// move it is half as long, or, where the old version's baseline is known, as long as slow answers
// take to show. Calls count from when they are sent, so that those of a slow version look good until
// then.
func (d Decider) watchedFor() time.Duration {
	watched := min(time.Duration(watchedPart*float64(d.rollout.Duration)), maxWatched)
	switch {
	case d.rollout.Status.Stage != Moving:
		return watched
	case len(d.rollout.Status.References) == 0:
		return watched / 2
	}
	return d.slowAnswerTime() + gatherTime
}

// slowAnswerTime returns how long an answer of the slowest route takes until it counts as slow.
func (d Decider) slowAnswerTime() time.Duration {
	slowest := time.Duration(0)
	for _, known := range d.rollout.Status.References {
		slowest = max(slowest, known.MedianTime)
	}
	return time.Duration(slowFactor * float64(slowest))
}

// versionsComparable reports whether enough is known of both versions to say that the target is no worse.
// After a loss of the nodes that observed it, lack of evidence against it is not enough.
func (d Decider) versionsComparable() bool {
	if d.rollout.uncertainty() == 0 {
		return true
	}
	return d.judge.HasBaseline() && !d.thinEvidence() && !d.judge.SpeaksAgainst() && !d.judge.HasSuspicion()
}

// thinEvidence reports whether a route has shown little of the target since all nodes were lost.
func (d Decider) thinEvidence() bool {
	return d.rollout.uncertainty() > 0 && (d.firstTargetAt.IsZero() || d.latestAt.Sub(d.firstTargetAt) < d.watchedFor() || lo.SomeBy(d.latest.Routes, func(r RouteEvidence) bool {
		return r.Target.Sum().Answers < minRouteAnswers
	}))
}

// tickMoving completes the move once no calls run at old endpoints, or when its time is over. Calls
// that still run there are then interrupted, which costs less than missing the deadline: as a rule
// it is one unreachable node or one long stream.
func (d Decider) tickMoving(t Tick) (Decider, []Effect) {
	used := d.used(t.Now)
	stopped := !t.Now.Before(d.oldMayStopAt())
	over := stopped && used >= d.rollout.Duration-d.writeTime()
	drained := stopped && !d.oldIdleSince.IsZero() && t.Now.Sub(d.oldIdleSince) >= settleTime/2
	switch {
	case t.Target == 0:
		return d.revertIfExpired(t, "the target has no endpoints by the end")
	case !over && !drained, !d.versionsComparable() && d.likelyUsed(t.Now) < d.rollout.Duration-d.writeTime():
		return d, nil
	case !d.versionsComparable():
		return d.write(Status{State: Reverted}, "too little is known of both versions by the end", t.Now)
	case d.judge.Exceeds(doubtPart) || d.judge.HasSuspicion():
		return d.resolveDoubt(t, over)
	case d.awaitsFullLoad(t.Now):
		return d, nil
	}
	return d.write(Status{State: Completed}, fmt.Sprintf("%d calls run at old endpoints", t.OldInFlight), t.Now)
}

// awaitsFullLoad reports whether nodes stalled or were silent so recently that the target has not
// borne all calls for its full-load period since: time without answers proves nothing. Near the
// deadline it waits only for evidence that this decider itself missed, until that has arrived.
func (d Decider) awaitsFullLoad(now time.Time) bool {
	if d.likelyUsed(now) >= d.rollout.Duration-max(minSilenceMargin, min(d.slowestWrite+settleTime, d.writeTime())) {
		return now.Sub(d.pace.resumedAt) < minFullLoad/2
	}
	return now.Sub(d.pace.missingAt) < d.slowAnswerTime()+minFullLoad
}

// oldMayStopAt returns when old endpoints may stop. Nodes that found the status when they started
// send nothing there.
func (d Decider) oldMayStopAt() time.Time {
	if d.rollout.AgeUnknown {
		return d.rollout.LearnedAt.Add(d.rollout.Status.FullLoad)
	}
	return d.rollout.LearnedAt.Add(d.rollout.Status.Left)
}

// resolveDoubt waits for more answers as long as there is time, and then reverts to the version that
// is known to be good.
func (d Decider) resolveDoubt(t Tick, over bool) (Decider, []Effect) {
	if !over {
		return d, nil
	}
	return d.write(Status{State: Reverted}, "in doubt at the end: "+d.judge.Why(), t.Now)
}
