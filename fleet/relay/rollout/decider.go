package rollout

import (
	"time"
)

const (
	// settled is how long what a decider saw must hold before it counts on it: digests of
	// calls in flight are that old, and nodes learn of a status that much later than others.
	settled = 400 * time.Millisecond
	// refusedWaits is how long a refused write is not tried again: the store may be away.
	// After refusedSoon of them in a row it is refusedLater, since each try is one more call
	// to the store.
	refusedWaits = 500 * time.Millisecond
	refusedSoon  = 4
	refusedLater = 750 * time.Millisecond
	// writeWaits is after how long a write without any word is asked for again.
	writeWaits = 1500 * time.Millisecond
	// foundAfter is how long no node may have run before a status was found.
	foundAfter = time.Second
)

// Decider follows one service's order and says what is to be written of it: an immutable
// value. Each delegate has one and judges; the one that decides writes.
type Decider struct {
	rule    Rule
	rollout Rollout
	known   bool
	began   time.Time // of the order, by this node's steady clock, as far as the status tells
	judge   Judge
	first   Evidence // at the first word of nodes, for the rates
	firstAt time.Time
	metAt   time.Time // of the first answer of the target that it heard of
	pace    pace
	latest  Evidence
	at      time.Time // of the latest evidence
	tick    Tick
	noOld   time.Time     // since when no old endpoint is there
	quiet   time.Time     // since when nothing runs at old endpoints
	written time.Time     // when a write was asked for that is not answered yet
	took    time.Duration // by the slowest write
	refused int           // writes in a row
	bad     bool          // found by this node or another
	why     string
}

// NewDecider returns a decider that knows of no order.
func NewDecider(rule Rule) Decider { return Decider{rule: rule.OrDefaults()} }

// Handle takes a message in.
func (d Decider) Handle(m Message) (Decider, []Effect) {
	switch m := m.(type) {
	case Learned:
		return d.learned(m), nil
	case Gone:
		return NewDecider(d.rule), nil
	case Told:
		return d.told(m)
	case Heard:
		return d.heard(m)
	case Tick:
		return d.ticked(m)
	case Refused:
		d.refused++
		d.written = m.Now.Add(d.waits() - writeWaits)
	}
	return d, nil
}

// waits is how long the write that was refused last is not tried again.
func (d Decider) waits() time.Duration {
	if d.refused > refusedSoon {
		return refusedLater
	}
	return refusedWaits
}

// Rollout is the order that the decider knows, and whether there is one.
func (d Decider) Rollout() (Rollout, bool) { return d.rollout, d.known }

// Judge is what the decider makes of the evidence, for logs and metrics.
func (d Decider) Judge() Judge { return d.judge }

func (d Decider) learned(m Learned) Decider {
	if !d.known || !sameOrder(d.rollout, m.Rollout) {
		d = NewDecider(d.rule)
		d.judge = NewJudge(d.rule, m.Rollout.Duration)
	}
	if began := m.Rollout.began(); d.began.IsZero() || began.Before(d.began) {
		d.began = began
	}
	if !d.written.IsZero() && m.Rollout.Status.Writes > d.rollout.Status.Writes {
		d.took = max(d.took, m.Now.Sub(d.written))
	}
	if !d.known || m.Rollout.Revision >= d.rollout.Revision {
		d.rollout, d.written, d.refused = m.Rollout, time.Time{}, 0
	}
	d.known = true
	d.judge = d.judge.Referring(d.rollout.Status.Usual)
	return d
}

func sameOrder(a, b Rollout) bool {
	return a.Service == b.Service && a.Target == b.Target && a.Made == b.Made
}

// began is when the order was made, as far as its status tells.
func (r Rollout) began() time.Time {
	if r.State() == Ordered {
		return r.Learned
	}
	return r.Learned.Add(-r.Status.Used - r.unknown())
}

// unknown is how much more of the duration may be over than a found status says: the time
// between two writes, and a start. The second write follows the first one soon.
func (r Rollout) unknown() time.Duration {
	most := time.Duration(checkpoint * float64(r.Duration))
	switch {
	case !r.Found:
		return 0
	case r.Status.Writes < 2:
		most = min(most, ratesMost)
	case r.Status.Stage == Moving:
		most = min(most, r.Status.Left+settled) // it is ended by another write then
	}
	return most + foundAfter
}

func (d Decider) told(m Told) (Decider, []Effect) {
	if !d.known || m.Evidence.Made != d.rollout.Made || m.Evidence.Service != d.rollout.Service {
		return d, nil
	}
	if d.firstAt.IsZero() {
		d.first, d.firstAt = m.Evidence, m.Now
	}
	if _, target := m.Evidence.Answers(); d.metAt.IsZero() && target.Answers > 0 {
		d.metAt = m.Now
	}
	all, _ := m.Evidence.Answers()
	d.pace = d.pace.with(all.Answers, max(d.used(m.Now), foundAfter), m.Now)
	d.latest, d.at = m.Evidence, m.Now
	d.judge = d.judge.With(m.Evidence, m.Now)
	if d.bad || !d.open() || d.judge.Verdict() != Bad {
		return d, nil
	}
	d.bad, d.why = true, d.judge.Why()
	d, effects := d.ended(m.Now)
	return d, append([]Effect{Warn{d.rollout.Service, d.rollout.Target, d.rollout.Made, d.why}}, effects...)
}

func (d Decider) heard(m Heard) (Decider, []Effect) {
	if !d.known || d.bad || m.Made != d.rollout.Made || m.Target != d.rollout.Target || !d.open() {
		return d, nil
	}
	d.bad, d.why = true, m.Why
	return d.ended(m.Now)
}

// open is whether the order has not ended.
func (d Decider) open() bool {
	state := d.rollout.State()
	return state == Ordered || state == InProgress
}

// ended writes that a target was found bad. It waits for no other write: that one is
// refused, or this one is.
func (d Decider) ended(now time.Time) (Decider, []Effect) {
	if !d.tick.Decides {
		return d, nil
	}
	return d.write(Status{State: Reverted}, "bad: "+d.why, now)
}

func (d Decider) ticked(t Tick) (Decider, []Effect) {
	d.tick = t
	d.judge = d.judge.Lone(t.Cohorts == 1 || d.spreads(t.Now) && d.judge.OneAnswers())
	if !d.known || d.rollout.Fault() != "" || !d.open() {
		return d, nil
	}
	d.noOld = since(d.noOld, t.Old == 0, t.Now)
	d.quiet = since(d.quiet, t.OldInFlight == 0, t.Now)
	if !t.Decides || !d.written.IsZero() && t.Now.Sub(d.written) < writeWaits {
		return d, nil
	}
	switch {
	case d.bad:
		return d.ended(t.Now)
	case d.rollout.State() == Ordered:
		return d.begin(t)
	case d.rollout.Status.Stage == Moving:
		return d.moving(t)
	}
	return d.sampling(t)
}

// spreads is whether all endpoints of the target have got calls for a while, and not one
// after the other.
func (d Decider) spreads(now time.Time) bool {
	moving := d.known && d.rollout.State() == InProgress && d.rollout.Status.Stage == Moving
	return moving && now.Sub(d.rollout.Learned) >= learnedLater+usualShort
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

// used is how much of the order's duration is over.
func (d Decider) used(now time.Time) time.Duration { return now.Sub(d.began) }

func (d Decider) write(s Status, why string, now time.Time) (Decider, []Effect) {
	s.Target, s.Made = d.rollout.Target, d.rollout.Made
	s.Used = d.used(now)
	for _, told := range []*time.Duration{&s.Used, &s.Left, &s.Full} {
		*told -= *told % time.Millisecond // as statuses tell times, so that what is read is what was written
	}
	s.Barred = d.rollout.Unproven()
	if s.State == InProgress {
		s.Usual = referenceTo(d.latest, d.rollout.Status.Usual)
	}
	s.Writes = 1
	if d.rollout.State() != Ordered {
		s.Writes = d.rollout.Status.Writes + 1
	}
	d.written = now
	return d, []Effect{Write{Status: s, Revision: d.rollout.Revision, Why: why}}
}
