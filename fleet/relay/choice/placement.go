package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// Placement is a call placed at an endpoint. It must be closed once.
type Placement struct {
	Engine   engine.Engine
	Source   string  // address of the endpoint that parts are fetched from; "" if none
	Fetched  int64   // tokens expected to be fetched from there
	Uncached int64   // prompt tokens expected to be read
	FirstMs  float64 // expected time to the first event
	PauseMs  float64 // expected longest pause of the streams that run there
	Cost     float64 // by which the endpoint was chosen

	picker     *Picker
	endpoint   *endpoint // the incarnation that the call is counted at; nil: it ended before, and the call is counted nowhere
	model      *model
	request    Request
	baselineMs float64 // expected time to the first event at an endpoint of average speed
	ahead      int64   // prompt tokens to be read before the first event; without prompts, calls in flight
	waitOver   bool    // the first event came, or the call ended
}

// Tokens reports whether the endpoint reads a prompt.
func (t *Placement) Tokens() bool { return t.request.Profile.Tokens }

// current returns the state of the incarnation that the call is counted at, and false if another
// one has replaced it: the call's outcome does not apply to that one.
func (t *Placement) current() (*endpoint, bool) {
	return t.endpoint, t.endpoint != nil && t.picker.endpoints[t.Engine.ID] == t.endpoint
}

// Unsent records that nothing of the call reached the endpoint, so that another call may use this
// node's share of the endpoint's bound.
func (t *Placement) Unsent() { t.picker.gate.Unsent(t.Engine.ID, t.request.Now) }

// Report records a load that the endpoint reported in its answer.
func (t *Placement) Report(l call.Load, now time.Time) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	if e, ok := t.current(); ok {
		e.load, e.loadAt = l, now
	}
}

// First records the first event of an attempt and the time since the request was sent.
func (t *Placement) First(took time.Duration, now time.Time) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	e, ok := t.current()
	if ok {
		t.learnFirst(e, took, now)
		t.recordRead(e, now)
	}
	t.endWaiting()
}

// learnFirst updates the model with the time to the first event. Outliers update only the
// endpoint's speed, so that an endpoint that hangs does not distort the service's model.
func (t *Placement) learnFirst(e *endpoint, took time.Duration, now time.Time) {
	ms := float64(took) / float64(time.Millisecond)
	expected := t.model.firstMs(t.ahead)
	slowdown := e.speed.slowdown(now)
	ratio := logRatio(ms, expected)
	if !t.request.Trial {
		t.model.ratio = t.model.ratio.with(ratio)
	}
	e.speed = e.speed.with(ratio, t.model.ratio.mean(), now)
	if !t.request.Trial && ms < outlier*slowdown*expected+speedOffset {
		t.model.first = t.model.first.with(float64(t.ahead), ms/slowdown)
	}
}

// outlier is the ratio of actual to expected time from which on a sample is left out of the
// service's model.
const outlier = 3

// recordRead records that the endpoint has read the prompt.
func (t *Placement) recordRead(e *endpoint, now time.Time) {
	if !t.request.Profile.Tokens {
		return
	}
	shared := t.request.Call.Shared()
	rare := len(shared) > 0 && t.picker.isRare(shared[len(shared)-1].ID)
	for i, part := range t.request.Call.Parts {
		e.cache.read(part, i < len(shared))
	}
	t.picker.recent.add(engine.Incarnation{ID: t.Engine.ID, Born: e.born}, shared, t.request.AllowedRegions, rare, now)
}

func (t *Placement) endWaiting() {
	if t.waitOver {
		return
	}
	t.waitOver = true
	if e, ok := t.current(); ok {
		e.waiting -= t.Uncached
	}
}

// Events records the mean time between some events of a stream.
func (t *Placement) Events(gap time.Duration, now time.Time) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	e, ok := t.current()
	if !ok {
		return
	}
	if inFlight, waiting := e.total(now); waiting == 0 && !t.request.Trial {
		t.model.event = t.model.event.with(float64(inFlight), float64(gap)/float64(time.Millisecond)/e.speed.slowdown(now))
	}
}

// Paused records the longest pause of a stream that ended normally.
func (t *Placement) Paused(longest time.Duration) {
	if t.request.Gap <= 0 {
		return
	}
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	if e, ok := t.current(); ok {
		late := 0.0
		if longest > t.request.Gap {
			late = 1
		}
		e.pauses = e.pauses.with(late)
	}
}

// Result is the outcome of an attempt.
type Result int

// The results.
const (
	Good        Result = iota
	Rejected           // refused as full
	Bad                // failed, or broke off
	Interrupted        // the connection was closed instead of an answer
	Unreached          // the connection could not be established
	Gone               // another endpoint has the address: this incarnation never comes back there
	Neutral            // no evidence about the endpoint
)

// rejectedDivisor shortens Tuning.Suspect for an endpoint that refused a call as full.
const rejectedDivisor = 4

// maxFailures bounds the consecutive failures that lengthen how long an endpoint is avoided.
const maxFailures = 6

// recordOutcome records the outcome for the failures that nodes report to each other.
func (t *Placement) recordOutcome(r Result, now time.Time) {
	if t.picker.suspicions == nil {
		return
	}
	incarnation := t.Engine.Incarnation()
	switch r {
	case Good:
		t.picker.suspicions.Observe(incarnation, suspicion.Succeeded, now)
	case Interrupted:
		t.picker.suspicions.Observe(incarnation, suspicion.Interrupted, now)
	case Bad, Unreached:
		t.picker.suspicions.Observe(incarnation, suspicion.Failed, now)
	case Rejected, Gone, Neutral:
	}
}

// Close ends an attempt.
func (t *Placement) Close(r Result, now time.Time) {
	t.recordOutcome(r, now)
	t.CloseUnreported(r, now)
}

// CloseUnreported ends an attempt whose result is not reported to other nodes: it is probably the
// fault of this node's own path.
func (t *Placement) CloseUnreported(r Result, now time.Time) {
	t.picker.mu.Lock()
	defer t.picker.mu.Unlock()
	e, ok := t.current()
	if ok && !t.waitOver {
		for _, part := range t.request.Call.Parts {
			e.cache.unread(part.ID)
		}
	}
	t.endWaiting()
	if !ok {
		return
	}
	e.inFlight--
	suspect := t.picker.tuning.Suspect
	switch r {
	case Good:
		e.failures = 0
		t.picker.zones.reached(t.Engine.Zone)
		if !t.request.Trial {
			t.model.duration = t.model.duration.with(now.Sub(t.request.Now).Seconds())
		}
	case Rejected:
		e.suspectedUntil, e.rejected = now.Add(suspect/rejectedDivisor), now
	case Bad, Interrupted, Unreached:
		e.failures++
		e.suspectedUntil = now.Add(suspect * time.Duration(min(e.failures, maxFailures)))
		if r == Unreached {
			t.picker.zones.unreached(t.Engine, now, suspect)
		}
	case Gone:
		e.markGone(t.Engine.Address)
	case Neutral:
	}
}
