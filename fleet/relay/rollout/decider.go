package rollout

import (
	"time"
)

const (
	// settleTime is how long an observation must hold before a decider relies on it: digests of
	// calls in flight are that old, and nodes learn of a status that much later than others.
	settleTime = 400 * time.Millisecond
	// refusedDelay is the delay before a refused write is retried: the store may be unavailable.
	// After maxShortDelays refusals in a row it is refusedLongDelay, since each attempt is one more
	// call to the store.
	refusedDelay     = 500 * time.Millisecond
	maxShortDelays   = 4
	refusedLongDelay = 750 * time.Millisecond
	// writeTimeout is the time after which a write without an answer is requested again.
	writeTimeout = 1500 * time.Millisecond
	// minOutage is the minimum time from the end of the last node until a started node finds a status.
	minOutage = time.Second
)

// Decider follows the order of one service and returns what to write to its status. It is an
// immutable value. Every delegate has one and judges; only the delegate that decides writes.
type Decider struct {
	rule          Rule
	rollout       Rollout
	known         bool
	orderStart    time.Time // by this node's monotonic clock, as far as the status shows
	judge         Judge
	firstEvidence Evidence // when nodes first reported, for the call rates
	firstAt       time.Time
	firstTargetAt time.Time // when the first answer of the target was reported
	pace          pace
	latest        Evidence
	latestAt      time.Time // time of the latest evidence
	tick          Tick
	noOldSince    time.Time     // since when there are no old endpoints
	oldIdleSince  time.Time     // since when no calls run at old endpoints
	writeAskedAt  time.Time     // when the unanswered write was requested; zero if there is none
	slowestWrite  time.Duration // duration of the slowest write
	refusals      int           // consecutive refused writes
	foundBad      bool          // the target was found bad, by this node or another
	why           string
}

// NewDecider returns a decider without an order.
func NewDecider(rule Rule) Decider { return Decider{rule: rule.OrDefaults()} }

// Handle processes a message and returns the next decider and the effects to carry out.
func (d Decider) Handle(m Message) (Decider, []Effect) {
	switch m := m.(type) {
	case StatusLearned:
		return d.handleLearned(m), nil
	case OrderDeleted:
		return NewDecider(d.rule), nil
	case EvidenceUpdated:
		return d.handleEvidence(m)
	case ReportedBad:
		return d.handleReportedBad(m)
	case Tick:
		return d.handleTick(m)
	case WriteRefused:
		d.refusals++
		d.writeAskedAt = m.Now.Add(d.retryDelay() - writeTimeout)
	}
	return d, nil
}

// retryDelay returns the delay before the write that was refused last is retried.
func (d Decider) retryDelay() time.Duration {
	if d.refusals > maxShortDelays {
		return refusedLongDelay
	}
	return refusedDelay
}

// Rollout returns the order that the decider follows, and reports whether there is one.
func (d Decider) Rollout() (Rollout, bool) { return d.rollout, d.known }

// Judge returns the current judgment of the evidence, for logs and metrics.
func (d Decider) Judge() Judge { return d.judge }

func (d Decider) handleLearned(m StatusLearned) Decider {
	if !d.known || !sameOrder(d.rollout, m.Rollout) {
		d = NewDecider(d.rule)
		d.judge = NewJudge(d.rule, m.Rollout.Duration)
	}
	if start := m.Rollout.orderStart(); d.orderStart.IsZero() || start.Before(d.orderStart) {
		d.orderStart = start
	}
	if !d.writeAskedAt.IsZero() && m.Rollout.Status.Writes > d.rollout.Status.Writes {
		d.slowestWrite = max(d.slowestWrite, m.Now.Sub(d.writeAskedAt))
	}
	if !d.known || m.Rollout.Revision >= d.rollout.Revision {
		d.rollout, d.writeAskedAt, d.refusals = m.Rollout, time.Time{}, 0
	}
	d.known = true
	d.judge = d.judge.WithReferences(d.rollout.Status.References)
	return d
}

func sameOrder(a, b Rollout) bool {
	return a.Service == b.Service && a.Target == b.Target && a.Made == b.Made
}

// orderStart returns when the order was made, as far as its status shows.
func (r Rollout) orderStart() time.Time {
	if r.State() == Ordered {
		return r.LearnedAt
	}
	return r.LearnedAt.Add(-r.Status.Used - r.uncertainty())
}

// uncertainty returns how much more of the duration may have passed than a found status says: the
// time between two writes, plus the start of a node. The second write follows the first one soon.
func (r Rollout) uncertainty() time.Duration {
	maxLost := time.Duration(checkpointPart * float64(r.Duration))
	switch {
	case !r.AgeUnknown:
		return 0
	case r.Status.Writes < 2:
		maxLost = min(maxLost, maxRateWindow)
	case r.Status.Stage == Moving:
		maxLost = min(maxLost, r.Status.Left+settleTime) // another write follows by then
	}
	return maxLost + minOutage
}

func (d Decider) handleEvidence(m EvidenceUpdated) (Decider, []Effect) {
	if !d.known || m.Evidence.Made != d.rollout.Made || m.Evidence.Service != d.rollout.Service {
		return d, nil
	}
	if d.firstAt.IsZero() {
		d.firstEvidence, d.firstAt = m.Evidence, m.Now
	}
	if _, target := m.Evidence.Answers(); d.firstTargetAt.IsZero() && target.Answers > 0 {
		d.firstTargetAt = m.Now
	}
	all, _ := m.Evidence.Answers()
	d.pace = d.pace.with(all.Answers, max(d.used(m.Now), minOutage), m.Now)
	d.latest, d.latestAt = m.Evidence, m.Now
	d.judge = d.judge.With(m.Evidence, m.Now)
	if d.foundBad || !d.open() || !d.judgedBad() {
		return d, nil
	}
	d.foundBad, d.why = true, d.judge.Why()
	d, effects := d.revertBad(m.Now)
	return d, append([]Effect{AnnounceBad{d.rollout.Service, d.rollout.Target, d.rollout.Made, d.why}}, effects...)
}

// judgedBad reports whether the target is reverted for its answers. Where no node is left that
// observed the old version in a move, doubt is enough: the move would not be completed in doubt, and
// all calls go to the target until it is resolved.
func (d Decider) judgedBad() bool {
	if d.judge.Verdict() == Bad {
		return true
	}
	return d.lostInMove() && d.latestAt.Sub(d.firstTargetAt) >= settleTime && d.judge.Exceeds(doubtPart)
}

// lostInMove reports whether all nodes that observed the old version were lost while calls moved, as
// far as the nodes show that were heard.
func (d Decider) lostInMove() bool {
	all, target := d.latest.Answers()
	return d.rollout.Status.Stage == Moving && d.rollout.uncertainty() > 0 && all.Answers-target.Answers < minReferenceAnswers
}

func (d Decider) handleReportedBad(m ReportedBad) (Decider, []Effect) {
	if !d.known || d.foundBad || m.Made != d.rollout.Made || m.Target != d.rollout.Target || !d.open() {
		return d, nil
	}
	d.foundBad, d.why = true, m.Why
	return d.revertBad(m.Now)
}

// open reports whether the order is still in progress.
func (d Decider) open() bool {
	state := d.rollout.State()
	return state == Ordered || state == InProgress
}

// revertBad writes that the target was found bad. It doesn't wait for a pending write: either that
// one is refused, or this one.
func (d Decider) revertBad(now time.Time) (Decider, []Effect) {
	if !d.tick.Decides {
		return d, nil
	}
	return d.write(Status{State: Reverted}, "bad: "+d.why, now)
}

func (d Decider) handleTick(t Tick) (Decider, []Effect) {
	d.tick = t
	d.judge = d.judge.WithSingleCohort(t.Cohorts == 1 || d.spreadsCalls(t.Now) && d.judge.SingleCohortAnswers())
	if !d.known || d.rollout.Problem() != "" || !d.open() {
		return d, nil
	}
	d.noOldSince = since(d.noOldSince, t.Old == 0, t.Now)
	d.oldIdleSince = since(d.oldIdleSince, t.OldInFlight == 0, t.Now)
	if !t.Decides || !d.writeAskedAt.IsZero() && t.Now.Sub(d.writeAskedAt) < writeTimeout {
		return d, nil
	}
	switch {
	case d.foundBad:
		return d.revertBad(t.Now)
	case d.rollout.State() == Ordered:
		return d.startSampling(t)
	case d.rollout.Status.Stage == Moving:
		return d.tickMoving(t)
	}
	return d.tickSampling(t)
}

// spreadsCalls reports whether calls have moved long enough that all endpoints of the target receive
// them, instead of one after the other.
func (d Decider) spreadsCalls(now time.Time) bool {
	isMoving := d.known && d.rollout.State() == InProgress && d.rollout.Status.Stage == Moving
	return isMoving && now.Sub(d.rollout.LearnedAt) >= maxLearnDelay+baselineShort
}

func since(before time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// used returns how much of the order's duration has passed.
func (d Decider) used(now time.Time) time.Duration { return now.Sub(d.orderStart) }

// likelyUsed is used without the more cautious half of what a found status leaves open.
func (d Decider) likelyUsed(now time.Time) time.Duration {
	return d.used(now) - d.rollout.uncertainty()/2
}

func (d Decider) write(s Status, why string, now time.Time) (Decider, []Effect) {
	s.Target, s.Made = d.rollout.Target, d.rollout.Made
	s.Used = d.used(now)
	for _, rounded := range []*time.Duration{&s.Used, &s.Left, &s.FullLoad} {
		*rounded -= *rounded % time.Millisecond // the precision of stored statuses
	}
	s.Barred = d.rollout.Unproven()
	if s.State == InProgress {
		s.References = updatedReferences(d.latest, d.rollout.Status.References)
	}
	s.Writes = 1
	if d.rollout.State() != Ordered {
		s.Writes = d.rollout.Status.Writes + 1
	}
	d.writeAskedAt = now
	return d, []Effect{Write{Status: s, Revision: d.rollout.Revision, Why: why}}
}
