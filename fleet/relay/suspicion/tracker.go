package suspicion

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Tracker tracks the failures that this node observed or received from others. It is safe for
// concurrent use.
type Tracker struct {
	rule         Rule
	self         string
	zone         string
	avoided      func(Avoided)
	urgent       chan struct{}
	avoidedUntil atomic.Pointer[time.Time] // end of the last suspicion period at every node, so that a choice costs nothing while no endpoint is suspected

	mu          sync.Mutex
	fleet       fleet
	own         map[engine.Incarnation]outcomes
	received    map[engine.Incarnation]map[string]observation // by the node that observed the failures
	periods     map[engine.Incarnation]period
	failed      bool      // this node observed a failure since its last announcement
	last        time.Time // last failure observed by this node
	started     bool      // a suspicion period began since the last announcement to all
	extended    bool      // a suspicion period was extended since then
	announcedAt time.Time // time of the last announcement to all
}

// observation is a node's report of failures at an endpoint, and the nodes that sent it here.
type observation struct {
	last        time.Time // last failure
	interrupted bool
	senders     map[string]time.Time
}

// period is a suspicion period: the endpoint is avoided during it.
type period struct {
	last        time.Time // latest failure behind it
	until       time.Time
	hold        time.Duration
	interrupted bool      // interrupted calls were reported, not only failed ones
	probe       time.Time // last call of this node there
	recovered   bool      // ended early by own successes, or in favor of another endpoint
}

// NewTracker returns the tracker of a node. It calls avoided at the start of each suspicion period.
func NewTracker(self, zone string, r Rule, avoided func(Avoided)) *Tracker {
	t := &Tracker{
		rule: r, self: self, zone: zone, avoided: avoided, urgent: make(chan struct{}, 1), fleet: newFleet(),
		own: map[engine.Incarnation]outcomes{}, received: map[engine.Incarnation]map[string]observation{}, periods: map[engine.Incarnation]period{},
	}
	t.avoidedUntil.Store(&time.Time{})
	return t
}

// noneAvoided reports whether no endpoint is avoided.
func (t *Tracker) noneAvoided(now time.Time) bool { return !now.Before(*t.avoidedUntil.Load()) }

// Engines sets the known endpoints. The state of other incarnations is dropped.
func (t *Tracker) Engines(all []engine.Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = t.fleet.withEngines(all)
	dropGone(t.own, t.fleet)
	dropGone(t.received, t.fleet)
	dropGone(t.periods, t.fleet)
}

func dropGone[T any](of map[engine.Incarnation]T, f fleet) {
	for incarnation := range of {
		if _, listed := f.engines[incarnation]; !listed {
			delete(of, incarnation)
		}
	}
}

// Nodes sets the known nodes and their zones.
func (t *Tracker) Nodes(zones map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = t.fleet.withNodes(zones)
}

// Observe records the outcome of a call of this node.
func (t *Tracker) Observe(incarnation engine.Incarnation, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, listed := t.fleet.engines[incarnation]; !listed {
		return
	}
	_, suspected := t.ownSuspicion(incarnation, now)
	t.own[incarnation] = t.own[incarnation].with(result{now, o}, t.rule.Window)
	if s, ok := t.periods[incarnation]; ok {
		s.probe = now
		t.periods[incarnation] = s
	}
	if o != Succeeded {
		t.failed, t.last = true, now
		if !suspected {
			t.signalUrgent()
		}
		t.evaluate(incarnation, now)
		return
	}
	if s, ok := t.periods[incarnation]; ok && !s.recovered && t.healthyHere(incarnation, now) {
		s.until, s.recovered = now, true
		t.periods[incarnation] = s
	}
}

// Avoids reports whether a call is to avoid the endpoint if others can take it. The key is a
// hash of the call. Idempotent calls probe the endpoint before the suspicion period ends.
func (t *Tracker) Avoids(incarnation engine.Incarnation, idempotent bool, key uint64, now time.Time) bool {
	if t.noneAvoided(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.periods[incarnation]
	if !ok || !now.Before(s.until.Add(t.slot(incarnation, s))) {
		return false
	}
	probing := s.until.Sub(now) < time.Duration(t.rule.ProbeShare*float64(s.hold))
	return !idempotent || !probing || key%t.rule.ProbeOneIn != 0 || now.Sub(s.probe) < t.rule.ProbeInterval
}

// slot returns how much later than the first node this one uses the endpoint again.
func (t *Tracker) slot(incarnation engine.Incarnation, s period) time.Duration {
	if s.recovered {
		return 0
	}
	share := float64(ident.Mix(xxhash.Sum64String(t.self)^xxhash.Sum64String(incarnation.ID))>>slotShift) / (1 << (64 - slotShift))
	return time.Duration(share * float64(min(s.hold, t.rule.Spread)))
}

// slotShift leaves as many bits of a hash as a float64 has in its fraction.
const slotShift = 11

// sameFailure is how far two reports of one failure may differ in time. Each carries the
// failure's age at the time it was sent.
const sameFailure = 100 * time.Millisecond

// evaluate starts or extends a suspicion period if enough nodes observed failures.
func (t *Tracker) evaluate(incarnation engine.Incarnation, now time.Time) {
	e := t.fleet.engines[incarnation]
	before, known := t.periods[incarnation]
	running := known && now.Before(before.until)
	from := now.Add(-t.rule.Window)
	if known && !running && before.last.After(from) {
		from = before.last.Add(sameFailure) // failures behind the last period don't start another
	}
	f := t.findings(e, from, now)
	if t.healthyHere(incarnation, now) || !f.sufficient(t.rule, t.fleet.reporters(t.zone, e)) {
		return
	}
	s := period{last: f.last, hold: t.rule.Hold, interrupted: f.interrupted >= t.rule.MinReporters, probe: before.probe}
	repeated := known && now.Sub(before.until) < t.rule.RepeatWindow
	switch {
	case running:
		s.hold, s.interrupted = before.hold, s.interrupted || before.interrupted
	case repeated:
		s.hold = min(2*before.hold, t.rule.MaxHold)
	}
	s.until = s.last.Add(s.hold)
	if !s.until.After(now) || running && s.last.Sub(before.last) < sameFailure || !running && !t.hasRoom(e.Service, s.interrupted, now) {
		return
	}
	t.periods[incarnation], t.extended = s, true
	if over := s.until.Add(min(s.hold, t.rule.Spread)); over.After(*t.avoidedUntil.Load()) {
		t.avoidedUntil.Store(&over)
	}
	if !running {
		t.started = true
		t.signalUrgent()
		t.avoided(Avoided{Engine: e, Reporters: f.reporters, For: s.until.Sub(now), Repeated: repeated})
	}
}

// hasRoom reports whether one more endpoint of a service may be avoided due to reports. If the
// maximum is reached, an endpoint that interrupts calls replaces one that only fails some of
// them.
func (t *Tracker) hasRoom(service string, interrupted bool, now time.Time) bool {
	listed := t.fleet.perService[service]
	if listed < 2 {
		return false
	}
	avoidedCount := 0
	var replaceable *engine.Incarnation
	for incarnation, s := range t.periods {
		if !now.Before(s.until) || t.fleet.engines[incarnation].Service != service {
			continue
		}
		avoidedCount++
		if !s.interrupted {
			replaceable = &incarnation
		}
	}
	if avoidedCount < max(int(t.rule.MaxAvoided*float64(listed)), 1) {
		return true
	}
	if !interrupted || replaceable == nil {
		return false
	}
	s := t.periods[*replaceable]
	s.until, s.recovered = now, true
	t.periods[*replaceable] = s
	return true
}

// Urgent is signaled when something should be sent before the next gossip interval: the first
// recent failure at an endpoint, or the start of a suspicion period.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

func (t *Tracker) signalUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default: // a signal is pending
	}
}

// healthyHere reports whether this node's own recent calls succeeded.
func (t *Tracker) healthyHere(incarnation engine.Incarnation, now time.Time) bool {
	calls, failures, _ := t.own[incarnation].since(now.Add(-t.rule.Window))
	return failures == 0 && calls >= t.rule.OwnSuccesses
}
