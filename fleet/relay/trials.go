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

// trials is what this node sees, hears and, as a delegate, judges of the orders that are
// open. It is safe for concurrent use; its lock is never held while the table of
// endpoints is asked for anything.
type trials struct {
	*Node
	life  string
	fleet delegation

	mu     sync.Mutex
	open   map[string]*trial // by service
	bad    []rollout.Warn    // that were heard, also of orders that this node does not know yet
	ticked time.Time         // when orders were looked at last
	hears  time.Time         // until then others are heard before anything is decided
	stood  []span            // around the latest standstills: what was read in one may have lain unread
	fail   time.Time         // until then this node counts as one that does not reach the store
}

// delegation is this node's part among the delegates, and how it tells all nodes.
type delegation interface {
	Writes() bool        // it is a delegate
	FirstDelegate() bool // and the one that writes statuses
	TellBad(rollout.Warn)
}

// trial is one open order.
type trial struct {
	name     string // of its object
	rollout  rollout.Rollout
	bad      bool // somebody found the target bad
	ids      []string
	counts   endpoints
	recorder *rollout.Recorder
	near     *rollout.Gathered // of the nodes of this zone, by their lives
	all      *rollout.Gathered // by zone
	words    map[string]word   // by node of this zone, and by other zone
	lasts    lasts
	decider  rollout.Decider
	judged   store.Revision // of the order that the decider was told; 0: this node does not judge
	guessed  bool           // the decider does not know how much of the order's duration is over
	writing  bool
	backoff  time.Duration
	logged   time.Time
	opened   time.Time // when this node learned of the order
}

// endpoints is how many endpoints of each version take new work.
type endpoints struct {
	cohorts     int // in which the target's count
	old, target int
	coldUntil   []time.Time // of the target's that said that they are slow from their start
}

// word is what another node, or a zone, last said of calls at old endpoints.
type word struct {
	old   int
	lasts time.Duration
	at    time.Time
}

// Bounds of what is kept of others' words.
const (
	wordAge = 3 * time.Second // that a word on calls in flight counts: who says nothing for longer has ended, or is cut off and bound by the same status
	mostBad = 32              // warnings
)

func newTrials(n *Node, life string) *trials {
	return &trials{Node: n, life: life, open: map[string]*trial{}}
}

// learn takes in the orders and what the store holds of them.
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
		open[r.Service] = t.opened(name, r, now)
		open[r.Service].recorder.Refer(r.Status.Usual)
	}
	t.open = open
}

// opened is the trial of an order: the one that is open already, or a new one.
func (t *trials) opened(name string, r rollout.Rollout, now time.Time) *trial {
	if known, ok := t.open[r.Service]; ok && known.rollout.Made == r.Made && known.rollout.Target == r.Target {
		if known.rollout.Revision != r.Revision {
			known.rollout = r // or others have told meanwhile how old it is
		}
		known.name = name
		return known
	}
	opened := &trial{
		name: name, rollout: r, opened: now, recorder: rollout.NewRecorder(r.Order), words: map[string]word{},
		near: rollout.NewGathered(r.Service, r.Made), all: rollout.NewGathered(r.Service, r.Made),
	}
	opened.bad = slices.ContainsFunc(t.bad, opened.isAbout)
	return opened
}

// renamed has warnings of an order hold for the same order that was written again.
func (t *trials) renamed(before, now rollout.Order) {
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

// woke has the deciders of open orders hear what others saw, and how much time is over,
// before they decide anything: this node's VM was suspended.
func (t *trials) woke(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.open {
		o.rollout.Found, o.opened, o.judged = true, now, 0
	}
}

func (o *trial) isAbout(w rollout.Warn) bool {
	return w.Service == o.rollout.Service && w.Target == o.rollout.Target && w.Made == o.rollout.Made
}

// endpointsSeen notes which endpoints of an open order there are, whatever they may get,
// and returns whether the target was found bad.
func (t *trials) endpointsSeen(service string, engines []engine.Engine) bool {
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
	o.counts = endpoints{old: lo.CountBy(old, ready), target: lo.CountBy(target, ready), cohorts: len(cohorts), coldUntil: cold}
	o.ids = lo.Map(old, func(e engine.Engine, _ int) string { return e.ID })
	return o.bad
}

var _ forward.Samples = (*trials)(nil)

// Sent implements forward.Samples.
func (t *trials) Sent(s rollout.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.open[s.Service]; ok {
		o.recorder.Sent(s)
	}
}

// Sample implements forward.Samples.
func (t *trials) Sample(s rollout.Sample) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.open[s.Service]
	if ok && !s.Failed {
		s = t.withoutUnread(s, clock.Now())
	}
	return ok && o.recorder.Add(s)
}

// span is the time from one moment until another.
type span struct{ from, until time.Time }

// mostStood bounds the standstills that are remembered.
const mostStood = 16

// withoutUnread is an answer with the least that it took: it may have waited in a socket of
// this process, which stood still meanwhile. What is read first after a standstill comes
// before the next look at the orders. Of a stream that ends it is not known which of its
// events waited.
func (t *trials) withoutUnread(s rollout.Sample, now time.Time) rollout.Sample {
	since := s.Since
	if since.IsZero() {
		since = now.Add(-s.Took)
	}
	unread := t.unread(since, now)
	if unread == 0 {
		return s
	}
	least := max(s.Took-unread, 0)
	if now.Sub(since)-s.Took >= judgeEvery {
		least = 0
	}
	s.Slowness *= least.Seconds() / max(s.Took, time.Nanosecond).Seconds()
	s.Took, s.AtLeast = least, true
	return s
}

// unread is for how much of the time since a moment what arrived may have waited.
func (t *trials) unread(since, now time.Time) time.Duration {
	if len(t.stood) == mostStood && since.Before(t.stood[0].from) {
		return now.Sub(since) // earlier ones are forgotten
	}
	sum := time.Duration(0)
	for _, s := range t.stood {
		sum += s.within(since, now)
	}
	if !t.ticked.IsZero() && now.Sub(t.ticked)-judgeEvery >= heldUp {
		sum += span{t.ticked, now}.within(since, now)
	}
	return sum
}

// within is how much of it lies between two moments.
func (s span) within(since, until time.Time) time.Duration {
	if s.from.After(since) {
		since = s.from
	}
	if s.until.Before(until) {
		until = s.until
	}
	return max(until.Sub(since), 0)
}

// SlowFrom implements forward.Samples.
func (t *trials) SlowFrom(service, route string) (times float64, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.open[service]; ok {
		return o.recorder.SlowFrom(route)
	}
	return 0, 0
}

// Lasts implements forward.Samples.
func (t *trials) Lasts(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.open[service]; ok {
		o.lasts.add(d, clock.Now())
	}
}

var _ peer.RolloutTalk = (*trials)(nil)

// Own implements peer.RolloutTalk.
func (t *trials) Own(now time.Time) []peer.RolloutSeen {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Map(t.services(), func(service string, _ int) peer.RolloutSeen {
		o := t.open[service]
		return o.seen(o.recorder.Evidence(), t.own(o, now), now)
	})
}

// seen is what peers are told of an order.
func (o *trial) seen(e rollout.Evidence, w word, now time.Time) peer.RolloutSeen {
	return peer.RolloutSeen{
		Target: o.rollout.Target, Evidence: e, Old: w.old, LastsMs: w.lasts.Milliseconds(),
		At: o.rollout.Revision.Number(), Era: o.rollout.Revision.Era(), UsedMs: used(o.rollout, now).Milliseconds(), AtLeast: o.rollout.Found,
	}
}

// own is this node's own word on calls at old endpoints.
func (t *trials) own(o *trial, now time.Time) word {
	return word{old: t.picker.InFlight(slices.Values(o.ids)), lasts: o.lasts.most(now), at: now}
}

// Zone implements peer.RolloutTalk.
func (t *trials) Zone(now time.Time) []peer.RolloutSeen {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Map(t.services(), func(service string, _ int) peer.RolloutSeen {
		o := t.open[service]
		o.near.Take(t.life, o.recorder.Evidence())
		sum := o.sum(t.own(o, now), now, func(from string) bool { return from[0] == ofNode })
		seen := o.seen(o.near.Sum(), sum, now)
		seen.Zone = t.settings.Zone
		return seen
	})
}

// anyOpen is whether this node knows of an open order.
func (t *trials) anyOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) > 0
}

// services names those with an open order.
func (t *trials) services() []string { return slices.Sorted(maps.Keys(t.open)) }

// Words are kept by who said them: a node of this zone, or another zone.
const (
	ofNode = 'n'
	ofZone = 'z'
)

// sum adds words up, this node's own among them.
func (o *trial) sum(own word, now time.Time, of func(from string) bool) word {
	for from, w := range o.words {
		if now.Sub(w.at) < wordAge && of(from) {
			own.old += w.old
			own.lasts = max(own.lasts, w.lasts)
		}
	}
	return own
}

// Bad implements peer.RolloutTalk.
func (t *trials) Bad() []rollout.Warn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Filter(t.bad, func(w rollout.Warn, _ int) bool {
		o, ok := t.open[w.Service]
		return ok && o.isAbout(w)
	})
}

// Out implements peer.RolloutTalk.
func (t *trials) Out(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.fail)
}

// Blind implements peer.RolloutTalk.
func (t *trials) Blind() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.SomeBy(lo.Values(t.open), func(o *trial) bool { return o.rollout.Found })
}

// Heard implements peer.RolloutTalk.
func (t *trials) Heard(from peer.Teller, w peer.RolloutWord, now time.Time) {
	t.mu.Lock()
	for _, seen := range w.Seen {
		t.heardSeen(from, seen, now)
	}
	t.mu.Unlock()
	for _, bad := range w.Bad {
		t.warned(bad, from.Name)
	}
}

func (t *trials) heardSeen(from peer.Teller, seen peer.RolloutSeen, now time.Time) {
	o, ok := t.open[seen.Evidence.Service]
	if !ok || o.rollout.Made != seen.Evidence.Made || o.rollout.Target != seen.Target {
		return
	}
	o.aged(seen, now)
	said := word{old: max(seen.Old, 0), lasts: time.Duration(max(seen.LastsMs, 0)) * time.Millisecond, at: now}
	switch seen.Zone {
	case "":
		o.near.Take(from.Life, seen.Evidence)
		o.words[string(ofNode)+from.Name] = said
	case t.settings.Zone:
		o.all.Take(seen.Zone, seen.Evidence)
	default:
		o.all.Take(seen.Zone, seen.Evidence)
		o.words[string(ofZone)+seen.Zone] = said
	}
}

// used is how much of an order's duration is over, or more where this node did not see it
// made, nor its status written.
func used(r rollout.Rollout, now time.Time) time.Duration {
	if r.State() == rollout.Ordered {
		return now.Sub(r.Learned)
	}
	return r.Status.Used + now.Sub(r.Learned)
}

// aged takes in how old an order is that this node found as it is: one that starts anew
// takes all of the time for lost that may be, where another node knows it. One that found
// it earlier knows how much is over at least: or nodes that end by turns, sooner than time
// is written down, would let an order stand still.
func (o *trial) aged(seen peer.RolloutSeen, now time.Time) {
	if !o.rollout.Found || seen.UsedMs <= 0 || store.At(seen.Era, seen.At) != o.rollout.Revision {
		return
	}
	learned := now.Add(o.rollout.Status.Used - time.Duration(seen.UsedMs)*time.Millisecond)
	if seen.AtLeast && !learned.Before(o.rollout.Learned.Add(-agedBy)) {
		return
	}
	o.rollout.Learned, o.rollout.Found = learned, seen.AtLeast
	o.judged = 0 // its decider begins anew
}

// agedBy is by how much an order must be older than this node believes to be told anew.
const agedBy = 500 * time.Millisecond

// warned takes in that the target of an order is bad: it gets nothing from now on.
func (t *trials) warned(w rollout.Warn, by string) {
	t.mu.Lock()
	if slices.ContainsFunc(t.bad, func(known rollout.Warn) bool {
		return known.Service == w.Service && known.Target == w.Target && known.Made == w.Made
	}) {
		t.mu.Unlock()
		return
	}
	t.bad = append(t.bad, w)
	t.bad = t.bad[max(len(t.bad)-mostBad, 0):]
	o, ok := t.open[w.Service]
	about := ok && o.isAbout(w)
	if about {
		o.bad = true
	}
	t.mu.Unlock()
	t.log.WithField("service", w.Service).WithField("target", w.Target).WithField("made", w.Made).WithField("by", by).
		WithField("why", w.Why).WithField("known", about).Warn("version found bad: it gets nothing")
	t.engineTable.refresh()
}
