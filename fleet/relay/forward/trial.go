package forward

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// Trials is how the calls of services choose between two versions while they move to
// another one, by service: immutable. A service that is not named has one list.
type Trials map[string]*Trial

// Trial is one service's plan while its order is open, and its endpoints by version in
// the order of their ids.
type Trial struct {
	plan    rollout.Plan
	lists   rollout.Lists
	sampled bool // the target gets a share only, and the old version may get all
	moving  bool // the target may get all
}

// NewTrial returns how calls choose among the endpoints that an order leaves; bad is
// whether somebody found its target bad.
func NewTrial(l rollout.Lists, bad bool) *Trial {
	plan := rollout.NewPlan(l.Rollout)
	if bad {
		plan = plan.WithBad()
	}
	begun, stage := l.Rollout.State() == rollout.InProgress, l.Rollout.Status.Stage
	l.Old, l.Target, l.All = byID(l.Old), byID(l.Target), byID(l.All)
	return &Trial{plan: plan, lists: l, sampled: begun && stage == rollout.Sampling, moving: begun && stage == rollout.Moving && !bad}
}

// Lists are the endpoints by version.
func (t *Trial) Lists() rollout.Lists { return t.lists }

func byID(engines []engine.Engine) []engine.Engine {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b engine.Engine) int { return strings.Compare(a.ID, b.ID) })
	return sorted
}

// Samples takes in what answers show of a version. It is safe for concurrent use.
type Samples interface {
	// Sent counts a call that is sent; its answer is told later.
	Sent(s rollout.Sample)
	// Sample takes an answer in, and says whether it counts as bad: then it is told once.
	// A stream may be told of by its first event, and again by its end.
	Sample(s rollout.Sample) (bad bool)
	// SlowFrom is from how many times what was expected an answer counts as bad, or after
	// how long, where the node knows the old version by others' word only. Both are 0 where
	// neither is known.
	SlowFrom(service, route string) (times float64, after time.Duration)
	// Lasts notes how long a call of a service is expected to take.
	Lasts(service string, d time.Duration)
}

// trial is the trial of the call's service; nil is none.
func (j *job) trial() *Trial {
	if j.Trials == nil {
		return nil
	}
	trials := j.Trials.Load()
	if trials == nil {
		return nil
	}
	return (*trials)[j.service.Name]
}

// pickBySide chooses among the endpoints of the version that the plan says.
func (j *job) pickBySide(t *Trial, r choice.Request) (*choice.Placement, bool) {
	c := rollout.Call{
		Hash: xxhash.Sum64String(j.call.ID), Route: j.route.Name, Once: j.route.Kind == policy.Once,
		Lasts: j.lasts(r), Attempt: len(r.Exclude), Now: r.Now,
	}
	j.Samples.Lasts(j.service.Name, c.Lasts)
	side := t.plan.Side(c)
	r.Trial = side == rollout.New
	placement, ok := j.pickAmong(t, t.lists.For(&t.plan, c), r)
	switch {
	case ok:
	case side == rollout.New && t.sampled: // none of the few that are tried may take it
		r.Trial = false
		return j.pickAmong(t, t.lists.Old, r)
	case side == rollout.Old && t.moving: // none of the old ones is left, or fit
		r.Trial = true
		return j.pickAmong(t, t.lists.Target, r)
	}
	return placement, ok
}

// pickAmong chooses among the endpoints of a side. New ones take parts of prompts from
// old ones, too, so that a move does not read them all again; a version on trial is no
// source.
func (j *job) pickAmong(t *Trial, engines []engine.Engine, r choice.Request) (*choice.Placement, bool) {
	r.Engines = j.atHome(engines)
	if r.Trial {
		r.Sources = j.atHome(t.lists.All)
	}
	return j.Picker.Pick(r)
}

// lastsMargin is how many times longer than expected a call may take, so that one in
// some hundred does: beyond that, and in no case beyond its end, it is broken off.
const lastsMargin = 1.6

// lasts is how long an attempt may take at the most, as expected.
func (j *job) lasts(r choice.Request) time.Duration {
	events := int64(0)
	if j.service.Stride > 0 {
		events = j.call.OutputMax/j.service.Stride + 1
	}
	expected := j.Picker.Lasts(r.Profile, j.call.PromptMax, events, j.service.Slots)
	return min(time.Duration(lastsMargin*float64(expected)), j.end.Sub(r.Now))
}

// took is how long an attempt took, as far as it came; 0 is not known.
type took struct {
	whole time.Duration // until the first event, or all of a plain call
	gap   time.Duration // between two events, on average
	sent  time.Time     // when the attempt began
}

// told is what was told of the attempt under way, where two versions are compared.
type told struct {
	sent  bool // that it was sent
	bad   bool // that its answer is bad: it is not told again
	heard bool // the endpoint answered, if not well
	late  *late
}

// late tells that an attempt is slow as soon as it has taken as long as a slow one,
// and not when it ends: a version that turns slow while all calls move to it would get
// those of as many seconds more as its slow answers take.
type late struct {
	timer *clock.Patience
	mu    sync.Mutex
	over  bool // the answer has come, or this was told
	bad   bool // it was told, and counted as bad
}

func newLate(after time.Duration, tell func() bool) *late {
	l := &late{}
	l.timer = clock.WaitFor(after, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.over {
			l.over, l.bad = true, tell()
		}
	})
	return l
}

// settle ends the wait, since the answer has come, and says whether it was told as bad.
func (l *late) settle() bool {
	l.timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	return l.bad
}

// settle takes in what was told of the attempt while its answer was awaited.
func (k *told) settle() {
	if k.late != nil {
		k.bad, k.late = k.late.settle(), nil
	}
}

// close ends an attempt, and tells how its answer went where two versions are compared.
func (j *job) close(t *choice.Placement, r choice.Result, k took) {
	now := clock.Now()
	j.told.settle()
	if trial := j.trial(); trial != nil && !j.told.bad {
		j.sample(trial, t, r, k, now)
	}
	t.Close(r, now)
}

// sample tells of an answer. An endpoint that was full or has moved, and a caller that
// left, say nothing of a version.
func (j *job) sample(trial *Trial, t *choice.Placement, r choice.Result, k took, now time.Time) {
	s := j.sampleOf(trial, t, now)
	switch r {
	case choice.Good:
		s.Slowness, s.Took, s.Since = t.Slowness(k.whole, k.gap, now), k.whole, k.sent
	case choice.Bad, choice.Cut:
		s.Failed, s.Unreached = true, !j.told.heard
	case choice.Unreached:
		s.Failed, s.Unreached = true, true
	case choice.Rejected, choice.Gone, choice.Neutral:
		return
	}
	j.told.bad = j.Samples.Sample(s)
}

func (j *job) sampleOf(trial *Trial, t *choice.Placement, now time.Time) rollout.Sample {
	return rollout.Sample{
		Service: j.service.Name, Route: j.route.Name, Once: j.route.Kind == policy.Once, Sent: j.told.sent, Now: now,
		Target: t.Engine.Version == trial.lists.Rollout.Target, Endpoint: t.Engine.Hash, Cold: t.Cold(),
	}
}

// tellSent tells that the call is on its way to an endpoint, and, if its answer takes as
// long as a slow one does, that it is slow.
func (j *job) tellSent(t *choice.Placement) {
	trial := j.trial()
	if trial == nil || j.told.sent {
		return
	}
	s := j.sampleOf(trial, t, clock.Now())
	j.Samples.Sent(s)
	j.told.sent = true
	times, after := j.Samples.SlowFrom(s.Service, s.Route)
	if times > 0 {
		after = t.SlowAfter(lateMargin * times)
	}
	if after <= 0 || s.Cold {
		return
	}
	j.told.late = newLate(after, func() bool {
		s.Sent, s.Slowness, s.Took, s.Since, s.Now = true, lateMargin*times, after, s.Now, clock.Now()
		return j.Samples.Sample(s)
	})
}

// lateMargin is how much longer than the least that is slow an attempt is waited for,
// since what is usual moves on meanwhile.
const lateMargin = 1.1

// tellFirst tells of a stream by its first event, long before its end.
func (j *job) tellFirst(t *choice.Placement, sent time.Time, first time.Duration) {
	j.told.settle()
	if trial := j.trial(); trial != nil && !j.told.bad {
		j.sample(trial, t, choice.Good, took{whole: first, sent: sent}, clock.Now())
	}
}
