package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// trials holds the evidence on open orders, from this node and from others, and on delegates the
// deciders that judge them. It is safe for concurrent use; its lock is never held during a call of
// the table of endpoints.
type trials struct {
	*Node
	incarnation string
	fleet       delegation

	mu               sync.Mutex
	open             map[string]*trial     // by service
	bad              []rollout.AnnounceBad // received, also about orders that this node does not know yet
	lastTick         time.Time
	receivesUntil    time.Time // reports of others are collected until then, before anything is decided
	recentStalls     []span    // around the latest stalls: answers that were read in one may have waited in a socket
	storeFailedUntil time.Time // this node counts as out of reach of the store until then
}

// delegation is the role of this node among the delegates, and its way to warn all nodes.
type delegation interface {
	Writes() bool        // this node is a delegate
	FirstDelegate() bool // this node is the delegate that writes statuses
	AnnounceBad(rollout.AnnounceBad)
}

// trial holds the evidence and the decider of one open order.
type trial struct {
	name           string // name of its object
	rollout        rollout.Rollout
	bad            bool // some node found the target bad
	ids            []string
	counts         endpointCounts
	recorder       *rollout.Recorder
	zoneEvidence   *rollout.EvidenceTracker // of the nodes of this zone, by incarnation
	fleetEvidence  *rollout.EvidenceTracker // of all zones, by zone
	reports        map[string]report        // by node of this zone and by other zone
	durations      durationWindow
	decider        rollout.Decider
	judgedRevision store.Revision // of the order as last passed to the decider; 0: this node does not judge
	elapsedUnknown bool           // the decider started without knowing how much of the order's duration has elapsed
	writing        bool
	backoff        time.Duration
	lastLogged     time.Time
	learnedAt      time.Time // when this node learned of the order, or its VM resumed
}

// endpointCounts counts the endpoints of each version that take new work.
type endpointCounts struct {
	cohorts     int // that the endpoints of the target belong to
	old, target int
	coldUntil   []time.Time // of the endpoints of the target that signaled a cold start
}

// report is the latest state of calls at old endpoints that another node or zone sent.
type report struct {
	old     int
	longest time.Duration
	at      time.Time
}

// Bounds of the reports and warnings that are kept.
const (
	reportTTL   = 3 * time.Second // after which a report of calls in flight expires: its sender has ended, or is partitioned and bound by the same status
	maxWarnings = 32              // about targets found bad
)

func newTrials(n *Node, incarnation string) *trials {
	return &trials{Node: n, incarnation: incarnation, open: map[string]*trial{}}
}

// learn updates the open orders from the store.
func (t *trials) learn(s rollout.Set, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := map[string]*trial{}
	for _, name := range s.Names() {
		r, _ := s.Name(name)
		newest, ok := s.Of(r.Service)
		state := r.State()
		if !ok || newest.Made != r.Made || newest.Revision != r.Revision || state != rollout.Ordered && state != rollout.InProgress {
			continue
		}
		open[r.Service] = t.trialOf(name, r, now)
		open[r.Service].recorder.SetReferences(r.Status.References)
	}
	t.open = open
}

// trialOf returns the trial of an order: the existing one, or a new one.
func (t *trials) trialOf(name string, r rollout.Rollout, now time.Time) *trial {
	if known, ok := t.open[r.Service]; ok && known.rollout.Made == r.Made && known.rollout.Target == r.Target {
		if known.rollout.Revision != r.Revision {
			known.rollout = r // otherwise the elapsed time that others reported is kept
		}
		known.name = name
		return known
	}
	created := &trial{
		name: name, rollout: r, learnedAt: now, recorder: rollout.NewRecorder(r.Order), reports: map[string]report{},
		zoneEvidence: rollout.NewEvidenceTracker(r.Service, r.Made), fleetEvidence: rollout.NewEvidenceTracker(r.Service, r.Made),
	}
	created.bad = slices.ContainsFunc(t.bad, created.matches)
	return created
}

// rekeyWarnings makes the warnings about an order apply to the same order that was written again.
func (t *trials) rekeyWarnings(before, now rollout.Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before.Made == now.Made {
		return
	}
	for _, w := range t.bad {
		if w.Service == before.Service && w.Target == before.Target && w.Made == before.Made {
			w.Made = now.Made
			t.bad = append(t.bad, w)
			return
		}
	}
}

// afterSuspension has the deciders of open orders collect reports of others, and how much time has
// elapsed, before they decide anything: the VM of this node was suspended.
func (t *trials) afterSuspension(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.open {
		o.rollout.AgeUnknown, o.learnedAt, o.judgedRevision = true, now, 0
	}
}

func (o *trial) matches(w rollout.AnnounceBad) bool {
	return w.Service == o.rollout.Service && w.Target == o.rollout.Target && w.Made == o.rollout.Made
}

// countEndpoints records the endpoints of an open order, whether or not they may get calls, and
// reports whether the target was found bad.
func (t *trials) countEndpoints(service string, engines []engine.Engine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.open[service]
	if !ok {
		return false
	}
	old, target := lo.FilterReject(engines, func(e engine.Engine, _ int) bool { return e.Version != o.rollout.Target })
	barred := o.rollout.Unproven()
	ready := func(e engine.Engine) bool { return e.State == engine.Ready && !slices.Contains(barred, e.Version) }
	cold := lo.FilterMap(target, func(e engine.Engine, _ int) (time.Time, bool) { return e.ColdUntil, ready(e) && !e.ColdUntil.IsZero() })
	cohorts := lo.CountValuesBy(lo.Filter(target, func(e engine.Engine, _ int) bool { return ready(e) }), func(e engine.Engine) int { return rollout.CohortOf(e.Hash) })
	o.counts = endpointCounts{old: lo.CountBy(old, ready), target: lo.CountBy(target, ready), cohorts: len(cohorts), coldUntil: cold}
	o.ids = lo.Map(old, func(e engine.Engine, _ int) string { return e.ID })
	return o.bad
}

var _ forward.Samples = (*trials)(nil)

// Sent implements forward.Samples.
func (t *trials) Sent(s rollout.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.open[s.Service]; ok {
		o.recorder.RecordSent(s)
	}
}

// Sample implements forward.Samples.
func (t *trials) Sample(s rollout.Sample) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.open[s.Service]
	if ok && !s.Failed {
		s = t.withoutBacklog(s, clock.Now())
	}
	return ok && o.recorder.Add(s)
}

// span is the time between two moments.
type span struct{ from, until time.Time }

// maxStalls bounds the stalls that are remembered.
const maxStalls = 16

// withoutBacklog reduces the duration of an answer to the shortest that it may have taken: it may
// have waited in a socket while this process stalled. Answers that are read right after a stall
// come before the next tick. For a stream that ends it is unknown which of its events waited.
func (t *trials) withoutBacklog(s rollout.Sample, now time.Time) rollout.Sample {
	since := s.Since
	if since.IsZero() {
		since = now.Add(-s.Took)
	}
	waited := t.backlog(since, now)
	if waited == 0 {
		return s
	}
	shortest := max(s.Took-waited, 0)
	if now.Sub(since)-s.Took >= judgeInterval {
		shortest = 0
	}
	s.Slowness *= shortest.Seconds() / max(s.Took, time.Nanosecond).Seconds()
	s.Took, s.LowerBound = shortest, true
	return s
}

// backlog returns how long an answer that was awaited since a moment may have waited in a socket.
func (t *trials) backlog(since, now time.Time) time.Duration {
	if len(t.recentStalls) == maxStalls && since.Before(t.recentStalls[0].from) {
		return now.Sub(since) // earlier stalls are no longer known
	}
	sum := time.Duration(0)
	for _, s := range t.recentStalls {
		sum += s.overlap(since, now)
	}
	if !t.lastTick.IsZero() && now.Sub(t.lastTick)-judgeInterval >= stallThreshold {
		sum += span{t.lastTick, now}.overlap(since, now)
	}
	return sum
}

// overlap returns how much of the span lies between two moments.
func (s span) overlap(since, until time.Time) time.Duration {
	if s.from.After(since) {
		since = s.from
	}
	if s.until.Before(until) {
		until = s.until
	}
	return max(until.Sub(since), 0)
}

// SlowThreshold implements forward.Samples.
func (t *trials) SlowThreshold(service, route string) (times float64, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.open[service]; ok {
		return o.recorder.SlowThreshold(route)
	}
	return 0, 0
}

// RecordExpected implements forward.Samples.
func (t *trials) RecordExpected(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.open[service]; ok {
		o.durations.add(d, clock.Now())
	}
}

var _ peer.RolloutExchange = (*trials)(nil)

// Own implements peer.RolloutExchange.
func (t *trials) Own(now time.Time) []peer.RolloutEvidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Map(t.services(), func(service string, _ int) peer.RolloutEvidence {
		o := t.open[service]
		return o.observation(o.recorder.Evidence(), t.ownReport(o, now), now)
	})
}

// observation is the message to peers about an order.
func (o *trial) observation(e rollout.Evidence, r report, now time.Time) peer.RolloutEvidence {
	return peer.RolloutEvidence{
		Target: o.rollout.Target, Evidence: e, Old: r.old, LastsMs: r.longest.Milliseconds(),
		At: o.rollout.Revision.Number(), Era: o.rollout.Revision.Era(), UsedMs: elapsed(o.rollout, now).Milliseconds(), AtLeast: o.rollout.AgeUnknown,
	}
}

// ownReport returns the report of this node on calls at old endpoints.
func (t *trials) ownReport(o *trial, now time.Time) report {
	return report{old: t.picker.InFlight(slices.Values(o.ids)), longest: o.durations.longest(now), at: now}
}

// Zone implements peer.RolloutExchange.
func (t *trials) Zone(now time.Time) []peer.RolloutEvidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Map(t.services(), func(service string, _ int) peer.RolloutEvidence {
		o := t.open[service]
		o.zoneEvidence.Record(t.incarnation, o.recorder.Evidence())
		sum := o.sum(t.ownReport(o, now), now, func(from string) bool { return from[0] == ofNode })
		observed := o.observation(o.zoneEvidence.Sum(), sum, now)
		observed.Zone = t.settings.Zone
		return observed
	})
}

// anyOpen reports whether this node knows of an open order.
func (t *trials) anyOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) > 0
}

// services lists the services with an open order.
func (t *trials) services() []string { return slices.Sorted(maps.Keys(t.open)) }

// Reports are keyed by sender: a node of this zone, or another zone.
const (
	ofNode = 'n'
	ofZone = 'z'
)

// sum adds up the reports of the selected senders and that of this node.
func (o *trial) sum(own report, now time.Time, of func(from string) bool) report {
	for from, r := range o.reports {
		if now.Sub(r.at) < reportTTL && of(from) {
			own.old += r.old
			own.longest = max(own.longest, r.longest)
		}
	}
	return own
}

// Bad implements peer.RolloutExchange.
func (t *trials) Bad() []rollout.AnnounceBad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Filter(t.bad, func(w rollout.AnnounceBad, _ int) bool {
		o, ok := t.open[w.Service]
		return ok && o.matches(w)
	})
}

// WriteFailed implements peer.RolloutExchange.
func (t *trials) WriteFailed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.storeFailedUntil)
}

// AgeUnknown implements peer.RolloutExchange.
func (t *trials) AgeUnknown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.SomeBy(lo.Values(t.open), func(o *trial) bool { return o.rollout.AgeUnknown })
}

// Receive implements peer.RolloutExchange.
func (t *trials) Receive(from peer.Sender, r peer.RolloutReport, now time.Time) {
	t.mu.Lock()
	for _, observed := range r.Evidence {
		t.receiveObservation(from, observed, now)
	}
	t.mu.Unlock()
	for _, bad := range r.Bad {
		t.markBad(bad, from.Name)
	}
}

func (t *trials) receiveObservation(from peer.Sender, observed peer.RolloutEvidence, now time.Time) {
	o, ok := t.open[observed.Evidence.Service]
	if !ok || o.rollout.Made != observed.Evidence.Made || o.rollout.Target != observed.Target {
		return
	}
	o.adoptElapsed(observed, now)
	received := report{old: max(observed.Old, 0), longest: clock.Milliseconds(max(observed.LastsMs, 0)), at: now}
	switch observed.Zone {
	case "":
		o.zoneEvidence.Record(from.Incarnation, observed.Evidence)
		o.reports[string(ofNode)+from.Name] = received
	case t.settings.Zone:
		o.fleetEvidence.Record(observed.Zone, observed.Evidence)
	default:
		o.fleetEvidence.Record(observed.Zone, observed.Evidence)
		o.reports[string(ofZone)+observed.Zone] = received
	}
}

// elapsed returns how much of the duration of an order has passed. It is a lower bound if this
// node observed neither the creation of the order nor the write of its status.
func elapsed(r rollout.Rollout, now time.Time) time.Duration {
	if r.State() == rollout.Ordered {
		return now.Sub(r.LearnedAt)
	}
	return r.Status.Used + now.Sub(r.LearnedAt)
}

// adoptElapsed adopts from another node how much of an order has elapsed, if this node found
// the order already under way. A node that has just started assumes the longest elapsed time
// possible, and a node that knows it corrects that. A node that found the status earlier knows a
// lower bound: without it, nodes that restart one after the other, faster than elapsed time is
// written, would keep an order from ever progressing.
func (o *trial) adoptElapsed(observed peer.RolloutEvidence, now time.Time) {
	if !o.rollout.AgeUnknown || observed.UsedMs <= 0 || store.At(observed.Era, observed.At) != o.rollout.Revision {
		return
	}
	learned := now.Add(o.rollout.Status.Used - clock.Milliseconds(observed.UsedMs))
	if observed.AtLeast && !learned.Before(o.rollout.LearnedAt.Add(-minElapsedGain)) {
		return
	}
	o.rollout.LearnedAt, o.rollout.AgeUnknown = learned, observed.AtLeast
	o.judgedRevision = 0 // the decider restarts
}

// minElapsedGain is by how much a lower bound must exceed what this node assumes to be adopted.
const minElapsedGain = 500 * time.Millisecond

// markBad records that the target of an order is bad: it gets no calls from now on.
func (t *trials) markBad(w rollout.AnnounceBad, by string) {
	t.mu.Lock()
	if slices.ContainsFunc(t.bad, func(known rollout.AnnounceBad) bool {
		return known.Service == w.Service && known.Target == w.Target && known.Made == w.Made
	}) {
		t.mu.Unlock()
		return
	}
	t.bad = append(t.bad, w)
	t.bad = t.bad[max(len(t.bad)-maxWarnings, 0):]
	o, ok := t.open[w.Service]
	about := ok && o.matches(w)
	if about {
		o.bad = true
	}
	t.mu.Unlock()
	t.log.WithField("service", w.Service).WithField("target", w.Target).WithField("made", w.Made).WithField("by", by).
		WithField("why", w.Why).WithField("known", about).Warn("version found bad: it gets nothing")
	t.engineTable.refresh()
}
