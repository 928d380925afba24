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

// Trials holds the trial of each service that moves to another version, by service name. It is
// immutable.
type Trials map[string]*Trial

// Trial holds the rollout plan of a service while its order is open, and its endpoints by version,
// sorted by id.
type Trial struct {
	plan    rollout.Plan
	lists   rollout.Lists
	sampled bool // the target gets only a share, and the old version may take every call
	moving  bool // the target may take every call
}

// NewTrial returns the trial of a service whose endpoints an order has split by version; bad is true
// if any node has found the target bad.
func NewTrial(l rollout.Lists, bad bool) *Trial {
	plan := rollout.NewPlan(l.Rollout)
	if bad {
		plan = plan.WithBad()
	}
	begun, stage := l.Rollout.State() == rollout.InProgress, l.Rollout.Status.Stage
	l.Old, l.Target, l.All = byID(l.Old), byID(l.Target), byID(l.All)
	return &Trial{plan: plan, lists: l, sampled: begun && stage == rollout.Sampling, moving: begun && stage == rollout.Moving && !bad}
}

// ofVersion returns the endpoints of a version that may get calls, for a stream that began there.
func (t *Trial) ofVersion(version string) []engine.Engine {
	if version == t.lists.Rollout.Target && !t.plan.AllowsTarget() {
		return nil
	}
	return ofVersion(t.lists.All, version)
}

// Lists returns the endpoints by version.
func (t *Trial) Lists() rollout.Lists { return t.lists }

func byID(engines []engine.Engine) []engine.Engine {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b engine.Engine) int { return strings.Compare(a.ID, b.ID) })
	return sorted
}

// Samples collects answers as evidence on a version. It is safe for concurrent use.
type Samples interface {
	// Sent counts a call that has been sent and whose answer is reported later.
	Sent(s rollout.Sample)
	// Sample records an answer and reports whether it counts as bad; a bad one is not reported
	// again. A stream may be reported at its first event and again at its end.
	Sample(s rollout.Sample) (bad bool)
	// SlowThreshold returns from how many times the expected duration an answer counts as bad, or after
	// how long if the node knows the old version only from other nodes' reports. Both are 0 if
	// neither is known.
	SlowThreshold(service, route string) (times float64, after time.Duration)
	// RecordExpected records how long a call of a service is expected to take.
	RecordExpected(service string, d time.Duration)
}

// trial returns the trial of the call's service, or nil.
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

// pickByVersion chooses among the endpoints of the version that the plan selects.
func (j *job) pickByVersion(t *Trial, r choice.Request) (*choice.Placement, bool) {
	c := rollout.Call{
		Hash: xxhash.Sum64String(j.call.StreamID()), Route: j.route.Name, Once: j.route.Kind == policy.Once,
		MaxDuration: j.maxDuration(r), Attempt: len(r.Exclude), Now: r.Now,
	}
	j.Samples.RecordExpected(j.service.Name, c.MaxDuration)
	side := t.plan.Side(c)
	r.Trial = side == rollout.New
	placement, ok := j.pickAmong(t, t.lists.For(&t.plan, c), r)
	switch {
	case ok:
	case side == rollout.New && t.sampled: // no endpoint of the target may take it
		r.Trial = false
		return j.pickAmong(t, t.lists.Old, r)
	case side == rollout.Old && t.moving: // no endpoint of the old version may take it
		r.Trial = true
		return j.pickAmong(t, t.lists.Target, r)
	}
	return placement, ok
}

// pickAmong chooses among the endpoints of a version. Target endpoints may fetch prompt parts from
// old ones, so that a rollout does not compute them all again. Old ones don't fetch from the target.
func (j *job) pickAmong(t *Trial, engines []engine.Engine, r choice.Request) (*choice.Placement, bool) {
	r.Engines = j.inAllowedRegions(engines)
	if r.Trial {
		r.Sources = j.inAllowedRegions(t.lists.All)
	}
	return j.Picker.Pick(r)
}

// durationMargin is the factor by which a call may exceed its expected duration; about one in a
// hundred does. Beyond that, or at its deadline, a call is aborted.
const durationMargin = 1.6

// maxDuration returns the expected maximum duration of an attempt.
func (j *job) maxDuration(r choice.Request) time.Duration {
	events := int64(0)
	if j.service.TokensPerEvent > 0 {
		events = j.call.OutputMax/j.service.TokensPerEvent + 1
	}
	expected := j.Picker.ExpectedDuration(r.Profile, j.call.PromptMax, events, j.service.Slots)
	return min(time.Duration(durationMargin*float64(expected)), j.end.Sub(r.Now))
}

// timing is how long an attempt took, as far as it came; 0 means unknown.
type timing struct {
	whole time.Duration // until the first event of a stream, or the whole plain answer
	gap   time.Duration // average between events
	sent  time.Time     // when the attempt began
}

// reported is what was reported to Samples of the current attempt.
type reported struct {
	sent     bool // as sent
	bad      bool // as bad: not reported again
	answered bool // the endpoint answered, be it with an error
	slow     *slowTimer
}

// slowTimer reports an attempt as slow as soon as it exceeds the threshold, not when it ends.
// Otherwise a version that turns slow while all calls move to it would get further calls for as
// long as its slow answers take.
type slowTimer struct {
	timer *clock.Timeout
	mu    sync.Mutex
	over  bool // the answer has arrived, or the attempt was reported
	bad   bool // it was reported and counted as bad
}

func newSlowTimer(after time.Duration, report func() bool) *slowTimer {
	s := &slowTimer{}
	s.timer = clock.StartTimeout(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.over {
			s.over, s.bad = true, report()
		}
	})
	return s
}

// settle stops the timer, since the answer has arrived, and returns whether the attempt was
// reported as bad.
func (s *slowTimer) settle() bool {
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	return s.bad
}

// settle stops the timer for slow answers and records whether it reported the attempt as bad.
func (r *reported) settle() {
	if r.slow != nil {
		r.bad, r.slow = r.slow.settle(), nil
	}
}

// close ends an attempt and reports its result if the service moves between versions.
func (j *job) close(t *choice.Placement, r choice.Result, d timing) {
	now := clock.Now()
	j.reported.settle()
	if j.ownPathFailed(r) {
		t.CloseUnreported(r, now)
		return
	}
	if trial := j.trial(); trial != nil && !j.reported.bad {
		j.reportSample(trial, t, r, d, now)
	}
	t.Close(r, now)
}

// reportSample reports an answer. A full or moved endpoint and a caller that left are no evidence
// on a version.
func (j *job) reportSample(trial *Trial, t *choice.Placement, r choice.Result, d timing, now time.Time) {
	s := j.sampleOf(trial, t, now)
	switch r {
	case choice.Good:
		s.Slowness, s.Took, s.Since = t.Slowness(d.whole, d.gap, now), d.whole, d.sent
	case choice.Bad, choice.Interrupted:
		s.Failed, s.Unreachable = true, !j.reported.answered
	case choice.Unreached:
		s.Failed, s.Unreachable = true, true
	case choice.Rejected, choice.Gone, choice.Neutral:
		return
	}
	j.reported.bad = j.Samples.Sample(s)
}

func (j *job) sampleOf(trial *Trial, t *choice.Placement, now time.Time) rollout.Sample {
	return rollout.Sample{
		Service: j.service.Name, Route: j.route.Name, Once: j.route.Kind == policy.Once, Sent: j.reported.sent, Now: now,
		Target: t.Engine.Version == trial.lists.Rollout.Target, Endpoint: t.Engine.Hash, Cold: t.Cold(),
	}
}

// reportSent reports that the call is being sent to an endpoint. It starts a timer that reports the
// call as slow if the answer takes that long.
func (j *job) reportSent(t *choice.Placement) {
	trial := j.trial()
	if trial == nil || j.reported.sent {
		return
	}
	s := j.sampleOf(trial, t, clock.Now())
	j.Samples.Sent(s)
	j.reported.sent = true
	times, after := j.Samples.SlowThreshold(s.Service, s.Route)
	if times > 0 {
		after = t.SlowAfter(slowMargin * times)
	}
	if after <= 0 || s.Cold {
		return
	}
	j.reported.slow = newSlowTimer(after, func() bool {
		s.Sent, s.Slowness, s.Took, s.Since, s.Now = true, slowMargin*times, after, s.Now, clock.Now()
		return j.Samples.Sample(s)
	})
}

// slowMargin is the factor beyond the threshold of a slow answer at which a pending attempt is
// reported, since the baseline changes in the meantime.
const slowMargin = 1.1

// reportFirstEvent reports a stream at its first event, long before its end.
func (j *job) reportFirstEvent(t *choice.Placement, sent time.Time, first time.Duration) {
	j.reported.settle()
	if trial := j.trial(); trial != nil && !j.reported.bad {
		j.reportSample(trial, t, choice.Good, timing{whole: first, sent: sent}, clock.Now())
	}
}
