package rollout

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

const (
	// writeTakes is how long before the deadline the last status is asked for at least; a
	// store that was slower before is given twice that time.
	writeTakes = 1400 * time.Millisecond
	// leastProof is how long the target must bear all calls before that is final: what
	// breaks under load only shows by then, and digests of the last calls at old endpoints
	// are in. Where few calls come it lasts for proofCalls, but at most mostProof of the
	// duration.
	leastProof = 1300 * time.Millisecond
	proofCalls = 40
	mostProof  = 0.15
	// spareRate is the part of what a duration has over spareFrom that is kept at its end for
	// a store that is away then, or for nodes that start anew: at most spareMost. Shorter
	// orders need all their time to try the target.
	spareRate = 0.1
	spareFrom = 15 * time.Second
	spareMost = 5 * time.Second
	// mostMove is the part of the duration that the move may take.
	mostMove = 0.22
	// leastTold is how long before the deadline nodes that are silent are waited for no more,
	// at least.
	leastTold = writeTakes / 2
	// leastMove is what it takes at least: the ramp, and the target's proof.
	leastMove = ramp + leastProof + learnedLater
	// manyWatched is from how many answers on a decider needs no time of its own: others
	// have counted them.
	manyWatched = 150
	// eachWatched is how many answers each route of the target must have after a loss of
	// all nodes, until the time that is likely to be over lets no more wait.
	eachWatched = 5
	// waryPart is the part of the way to a verdict from which the move waits for more answers
	// as long as there is time, and moveDoubt the one from which the target is reverted then:
	// a version that is bad would cost all calls until it shows.
	waryPart  = 0.1
	moveDoubt = 0.4
	// leastWatched is how many answers of the target there must be before calls move to it.
	leastWatched = 12
	// showing is how long answers are gathered once slow ones would show.
	showing = 600 * time.Millisecond
	// manyOnRoute is the part of the service's calls from which a route must have shown some
	// of these.
	manyOnRoute = 0.1
	// watchedPart is the part of the duration for which a decider must have watched, at most
	// watchedMost: after a loss of all nodes what they had seen is lost.
	watchedPart = 0.2
	watchedMost = 3 * time.Second
)

// proof is how long the target bears all calls before that is final.
func (d Decider) proof() time.Duration {
	perSecond := d.rates().sum()
	if perSecond == 0 {
		return leastProof
	}
	calls := time.Duration(proofCalls / perSecond * float64(time.Second))
	most := time.Duration(mostProof * float64(d.rollout.Duration))
	return max(min(calls, most), leastProof)
}

// end is how much of the duration is over when old endpoints may stop at the latest.
func (d Decider) end() time.Duration { return d.rollout.Duration - d.writeTakes() - settled }

// spare is the time that is kept for what may go wrong near the end.
func (d Decider) spare() time.Duration {
	return min(max(time.Duration(spareRate*float64(d.rollout.Duration-spareFrom)), 0), spareMost)
}

func (d Decider) writeTakes() time.Duration {
	return max(writeTakes, min(2*d.took, d.rollout.Duration/6))
}

// moveTakes is how long the move takes: until the calls that run now at old endpoints
// have ended, but no more than a part of the duration.
func (d Decider) moveTakes(t Tick) time.Duration {
	most := time.Duration(mostMove * float64(d.rollout.Duration))
	return max(min(t.Lasts+learnedLater, most), min(ramp+d.proof()+learnedLater, most))
}

// move starts the move if the target was watched and is in no doubt. It waits for that
// until the shortest move would end too late.
func (d Decider) move(t Tick, left time.Duration) (Decider, []Effect) {
	_, target := d.latest.Answers()
	rest := d.end() - d.used(t.Now)
	switch {
	case t.Target == 0 || !d.watched():
		return d.late(t, fmt.Sprintf("%d endpoints of the target and %d answers by the end", t.Target, target.Answers))
	case d.thin() && rest > -d.rollout.unknown()/2:
		return d, nil
	case (d.judge.Over(waryPart) || d.judge.Suspect()) && rest > ramp+d.proof():
		return d, nil
	case d.judge.Over(moveDoubt):
		return d.write(Status{State: Reverted}, "in doubt before the move: "+d.judge.Why(), t.Now)
	}
	status := d.rollout.Status
	status.Stage = Moving
	status.Full = d.proof()
	status.Left = max(min(left, rest-d.took), status.Full+learnedLater+ramp/2)
	return d.write(status, fmt.Sprintf("%d answers of the target, %s left", target.Answers, rest), t.Now)
}

// watched is whether the target was watched before calls move to it, where there are
// calls. A decider that has just begun has seen nothing yet, however late it may be.
func (d Decider) watched() bool {
	all, target := d.latest.Answers()
	switch {
	case target.Answers >= manyWatched && !d.unseen(all):
		return true
	case d.firstAt.IsZero() || d.at.Sub(d.firstAt) < d.watchedFor():
		return false
	}
	return target.Answers >= leastWatched && d.judge.KnowsOld() && !d.unseen(all) || d.tolerates(all)
}

// unseen is whether a route that gets many of the calls has shown nothing of the target:
// a version may be bad on one route only.
func (d Decider) unseen(all Count) bool {
	return lo.SomeBy(d.latest.Routes, func(r RouteEvidence) bool {
		target := r.Target.Sum()
		calls := r.Old.Sum().Plus(target).Answers
		return target.Answers == 0 && float64(calls) >= manyOnRoute*float64(all.Answers)
	})
}

// tolerates is whether the bounds hold whatever the target shows: so few calls come that
// those of the whole order might go to it. What is left of them is no measure: near the
// end few are, and the target would be final without having shown anything. How many come
// is not known before they were counted for a while: what others counted may be lost.
func (d Decider) tolerates(all Count) bool {
	if d.at.Sub(d.firstAt) < ratesFor {
		return false
	}
	perSecond := float64(all.Answers) / max(d.at.Sub(d.firstAt).Seconds(), 1)
	whole := perSecond * d.rollout.Duration.Seconds()
	return whole <= d.rule.Share*whole+tolerancePlanned*float64(d.rule.Tolerance)
}

// watchedFor is how long a decider that knows little must have watched: half as long where
// the target gets more than a share, but no less than slow answers take to show. Calls count
// from when they are sent, so that those of a slow version look good until then.
func (d Decider) watchedFor() time.Duration {
	watched := min(time.Duration(watchedPart*float64(d.rollout.Duration)), watchedMost)
	switch {
	case d.rollout.Status.Stage != Moving:
		return watched
	case len(d.rollout.Status.Usual) == 0:
		return watched / 2
	}
	return d.slowShows() + showing
}

// slowShows is how long a slow answer of the slowest route takes until it counts as one.
func (d Decider) slowShows() time.Duration {
	slowest := time.Duration(0)
	for _, known := range d.rollout.Status.Usual {
		slowest = max(slowest, known.Usual)
	}
	return time.Duration(slowTimes * float64(slowest))
}

// compares is whether enough is known of both versions to say that the target is no worse.
// Nothing that speaks against it is no word for it where those who watched it were lost.
func (d Decider) compares() bool {
	if d.rollout.unknown() == 0 {
		return true
	}
	return d.judge.KnowsOld() && !d.thin() && !d.judge.Over(0) && !d.judge.Suspect()
}

// thin is whether a route has shown little of the target since all nodes were lost.
func (d Decider) thin() bool {
	return d.rollout.unknown() > 0 && (d.metAt.IsZero() || d.at.Sub(d.metAt) < d.watchedFor() || lo.SomeBy(d.latest.Routes, func(r RouteEvidence) bool {
		return r.Target.Sum().Answers < eachWatched
	}))
}

// moving completes the move once nothing runs at old endpoints, or when its time is over:
// what runs there then is broken off, which costs less than all that depends on the
// deadline, and is as a rule one node that nobody hears or one long stream.
func (d Decider) moving(t Tick) (Decider, []Effect) {
	used := d.used(t.Now)
	stopped := !t.Now.Before(d.stops())
	over := stopped && used >= d.rollout.Duration-d.writeTakes()
	ended := stopped && !d.quiet.IsZero() && t.Now.Sub(d.quiet) >= settled/2
	switch {
	case t.Target == 0:
		return d.late(t, "the target has no endpoints by the end")
	case !over && !ended, !d.compares() && used-d.rollout.unknown()/2 < d.rollout.Duration-d.writeTakes():
		return d, nil
	case !d.compares():
		return d.write(Status{State: Reverted}, "too little is known of both versions by the end", t.Now)
	case d.judge.Over(doubtPart) || d.judge.Suspect():
		return d.doubtful(t, over)
	case d.awaitsProof(t.Now):
		return d, nil
	}
	return d.write(Status{State: Completed}, fmt.Sprintf("%d calls run at old endpoints", t.OldInFlight), t.Now)
}

// awaitsProof is whether nodes stood still, or were silent, so shortly before that the target has
// not borne all calls since for as long as its proof: the time that passed shows nothing.
// Near the deadline only what this decider itself missed is waited for, until it is heard.
func (d Decider) awaitsProof(now time.Time) bool {
	if d.used(now) >= d.rollout.Duration-max(leastTold, min(d.took+settled, d.writeTakes())) {
		return now.Sub(d.pace.resumed) < leastProof/2
	}
	return now.Sub(d.pace.missing) < d.slowShows()+leastProof
}

// stops is when old endpoints may stop. Nodes that found the status when they started
// send nothing there.
func (d Decider) stops() time.Time {
	if d.rollout.Found {
		return d.rollout.Learned.Add(d.rollout.Status.Full)
	}
	return d.rollout.Learned.Add(d.rollout.Status.Left)
}

// doubtful waits for more answers as long as there is time, and then stays with what is
// known to be good.
func (d Decider) doubtful(t Tick, over bool) (Decider, []Effect) {
	if !over {
		return d, nil
	}
	return d.write(Status{State: Reverted}, "in doubt at the end: "+d.judge.Why(), t.Now)
}
