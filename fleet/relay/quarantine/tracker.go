package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Observer is notified of what a Book finds. It is called with the Book's lock held.
type Observer interface {
	// Verify starts a check whether an endpoint has ended and returns at once. If the
	// endpoint has ended, the check calls Ended.
	Verify(e engine.Engine)
	// EndObserved is called when an endpoint has ended while calls of this node ran on it.
	EndObserved(incarnation engine.Incarnation, under []Suspect)
	// Judged is called when this node itself quarantines or releases a request.
	Judged(h Held)
}

// Tracker tracks the requests under which endpoints end, from this node's own calls and from
// the reports of other nodes. It is safe for concurrent use.
type Tracker struct {
	rule     Rule
	observer Observer
	role     func() Role
	watched  atomic.Pointer[map[string]bool]
	history  answerHistory
	urgent   chan struct{}

	mu           sync.Mutex
	registered   map[engine.Incarnation]bool // registered endpoints
	pending      map[engine.Incarnation]*interruption
	ends         []*end                      // oldest first
	near         map[Fingerprint]nearSuspect // suspects one end short of quarantine, as announced by judges
	served       map[Fingerprint]time.Time   // when each suspect was last served
	servedLately map[Fingerprint]time.Time   // when other requests were last served: an end may be reported after that
	held         map[Fingerprint]Held
	outbox       outbox
}

// nearSuspect is a suspect that one more end would quarantine.
type nearSuspect struct {
	customer    string
	announcedAt time.Time // when it was last announced
}

// interruption holds the calls that were interrupted at an endpoint which may have ended.
type interruption struct {
	checkedAt time.Time // when the endpoint was last checked
	suspects  []Suspect
}

// Role is what a node does besides recording its own calls.
type Role int

// The roles.
const (
	Witness Role = iota // reports its observations to the judges
	Judge               // receives the ends that all nodes observe and decides for the witnesses
	Peer                // decides like a judge, in a fleet where every node does
)

// NewTracker returns an empty Book. It calls role whenever it needs the node's current role.
func NewTracker(r Rule, observer Observer, role func() Role) *Tracker {
	b := &Tracker{
		rule: r, observer: observer, role: role, urgent: make(chan struct{}, 1),
		registered: map[engine.Incarnation]bool{}, pending: map[engine.Incarnation]*interruption{}, near: map[Fingerprint]nearSuspect{}, served: map[Fingerprint]time.Time{}, servedLately: map[Fingerprint]time.Time{}, held: map[Fingerprint]Held{}, outbox: newOutbox(),
	}
	b.watched.Store(&map[string]bool{})
	return b
}

// Watches reports whether requests of a customer may be quarantined or suspects. No
// fingerprint is computed for the requests of other customers.
func (b *Tracker) Watches(customer string) bool { return (*b.watched.Load())[customer] }

// IsQuarantined reports whether a request is quarantined, so that it is sent to no endpoint.
func (b *Tracker) IsQuarantined(p Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[p].inForce(now)
}

// ForbidsRetry reports whether the node must not retry an interrupted call by itself, since one
// more end would be too many. Unlike for the quarantine, ends on the same occasion count
// separately here: attempts of one request may follow each other closely, and each attempt
// that is retried ends two endpoints.
func (b *Tracker) ForbidsRetry(p Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := lo.Filter(b.ends, func(e *end, _ int) bool {
		_, suspected := e.suspects[p]
		return suspected && b.served[p].Before(e.at)
	})
	return b.held[p].inForce(now) || len(ends) >= b.rule.Ends-1
}

// Interrupted records a call of this node that its endpoint ended before the whole answer. The call
// counts once the endpoint is known to have ended.
func (b *Tracker) Interrupted(e engine.Engine, s Suspect, now time.Time) {
	s.Answered = b.history.contains(s.Fingerprint)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ended := b.findEnd(e.Incarnation(), now); ended != nil {
		b.addSuspect(ended, s, now)
		return
	}
	b.expirePending(now)
	interrupted, known := b.pending[e.Incarnation()]
	if !known && len(b.pending) >= maxPending {
		return
	}
	if !known {
		interrupted = &interruption{}
		b.pending[e.Incarnation()] = interrupted
	}
	if len(interrupted.suspects) < maxSuspects {
		interrupted.suspects = append(interrupted.suspects, s)
	}
	checked := known && now.Sub(interrupted.checkedAt) < b.rule.Apart
	if !checked {
		interrupted.checkedAt = now
	}
	switch {
	case !b.registered[e.Incarnation()]:
		b.confirmEnd(e.Incarnation(), now)
	case !checked:
		b.observer.Verify(e)
	}
}

// addSuspect adds a suspect to a known end.
func (b *Tracker) addSuspect(e *end, s Suspect, now time.Time) {
	if e.add(s) {
		b.outbox.addEnd(newTimedEnd(e.incarnation, e.at, []Suspect{s}))
		b.signalUrgent()
		b.judge(now)
	}
}

// findEnd returns the recorded end of an incarnation, or nil.
func (b *Tracker) findEnd(incarnation engine.Incarnation, at time.Time) *end {
	e, _ := lo.Find(b.ends, func(e *end) bool { return e.matches(incarnation, at) })
	return e
}

// expirePending removes interrupted calls whose endpoints are still running.
func (b *Tracker) expirePending(now time.Time) {
	maps.DeleteFunc(b.pending, func(_ engine.Incarnation, c *interruption) bool { return now.Sub(c.checkedAt) > b.rule.ConfirmTimeout })
}

// Ended records that an incarnation of an endpoint has ended. It has no effect where no call
// was interrupted there.
func (b *Tracker) Ended(incarnation engine.Incarnation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmEnd(incarnation, now)
}

func (b *Tracker) confirmEnd(incarnation engine.Incarnation, now time.Time) {
	c, ok := b.pending[incarnation]
	if !ok {
		return
	}
	delete(b.pending, incarnation)
	b.observer.EndObserved(incarnation, c.suspects)
	b.recordEnd(incarnation, c.checkedAt, c.suspects, now)
	b.outbox.addEnd(newTimedEnd(incarnation, c.checkedAt, c.suspects))
	b.signalUrgent()
	b.judge(now)
}

// recordEnd records an end, or adds suspects to a known one. It reports whether that changed anything.
func (b *Tracker) recordEnd(incarnation engine.Incarnation, at time.Time, suspects []Suspect, now time.Time) (changed bool) {
	e := b.findEnd(incarnation, at)
	if e == nil {
		e = &end{incarnation: incarnation, at: at, suspects: map[Fingerprint]Suspect{}}
		b.ends = append(b.ends, e)
	}
	if at.Before(e.at) {
		e.at = at
	}
	slices.SortStableFunc(b.ends, func(a, b *end) int { return a.at.Compare(b.at) })
	b.ends = b.ends[max(len(b.ends)-maxEnds, 0):]
	for _, s := range suspects {
		changed = e.add(s) || changed
		b.clearIfServedSince(s.Fingerprint, e.at, now)
	}
	b.ends = lo.Filter(b.ends, func(e *end, _ int) bool { return now.Sub(e.at) < b.rule.Memory })
	maps.DeleteFunc(b.near, func(_ Fingerprint, n nearSuspect) bool { return now.Sub(n.announcedAt) > b.rule.Memory })
	return changed
}

// Engines sets the registered endpoints. An endpoint with interrupted calls that is no longer
// registered has ended.
func (b *Tracker) Engines(all []engine.Engine, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registered = lo.SliceToMap(all, func(e engine.Engine) (engine.Incarnation, bool) { return e.Incarnation(), true })
	b.expirePending(now)
	for _, incarnation := range lo.Keys(b.pending) {
		if !b.registered[incarnation] {
			b.confirmEnd(incarnation, now)
		}
	}
}

// Answered records that a request, suspect or not, was answered completely, in case endpoints
// end under it later.
func (b *Tracker) Answered(p Fingerprint, now time.Time) { b.history.add(p, now, b.rule.Memory) }

// Served records that a request of a watched customer was answered completely. Such a request
// does not end endpoints by itself, whatever ended while it ran.
func (b *Tracker) Served(p Fingerprint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.markServed(p, now, now) {
		b.outbox.addServed(p, now)
		b.signalUrgent()
	}
}

// markServed records that a request was served and reports whether it was a suspect.
func (b *Tracker) markServed(p Fingerprint, at, now time.Time) bool {
	suspected := lo.ContainsBy(b.ends, func(e *end) bool {
		_, in := e.suspects[p]
		return in && b.served[p].Before(e.at) && !at.Before(e.at)
	})
	h, known := b.held[p]
	// After an expired hold, too: otherwise one more end would quarantine the request.
	releases := known && !h.Released && at.After(h.Since)
	_, near := b.near[p]
	delete(b.near, p)
	if !suspected && !releases && !near {
		b.rememberServed(p, at, now)
		return false
	}
	if !b.hasRoomForServed(p, now) {
		return false
	}
	b.served[p] = at
	if releases {
		b.release(h, "it was served", now)
	}
	b.judge(now)
	return true
}

// rememberServed remembers for a while that a request was served which is not a suspect yet. An
// end becomes known only after it is confirmed, and to other nodes even later.
func (b *Tracker) rememberServed(p Fingerprint, at, now time.Time) {
	if len(b.servedLately) >= maxServed {
		maps.DeleteFunc(b.servedLately, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > b.rule.ConfirmTimeout })
	}
	if _, known := b.servedLately[p]; known || len(b.servedLately) < maxServed {
		b.servedLately[p] = at
	}
}

// clearIfServedSince clears a suspect that was served after an end and announces that.
func (b *Tracker) clearIfServedSince(p Fingerprint, end, now time.Time) {
	at, known := b.servedLately[p]
	if !known || at.Before(end) || !b.served[p].Before(at) || !b.hasRoomForServed(p, now) {
		return
	}
	b.served[p] = at
	b.outbox.addServed(p, at)
	b.signalUrgent()
}

// hasRoomForServed reports whether one more served request can be recorded.
func (b *Tracker) hasRoomForServed(p Fingerprint, now time.Time) bool {
	if _, known := b.served[p]; known || len(b.served) < maxServed {
		return true
	}
	maps.DeleteFunc(b.served, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > b.rule.Memory })
	return len(b.served) < maxServed
}

// judge quarantines the requests to which enough ends are attributed, and releases those whose
// ends are now attributed to another request.
func (b *Tracker) judge(now time.Time) {
	defer b.updateWatched()
	if b.role() == Witness {
		return
	}
	attributed := attribute(b.ends, b.served, b.rule, b.held)
	b.announceNear(attributed, now)
	overLimit := attributed.overLimit(b.rule, b.requiredWeight)
	for p, ends := range overLimit {
		if h := b.held[p]; !h.inForce(now) && ends[len(ends)-1].at.After(h.holdEnd()) {
			b.quarantine(p, ends, now)
		}
	}
	for p, h := range b.held {
		if h.inForce(now) && b.attributedElsewhere(p, attributed) {
			b.release(h, "the ends are attributed to another request", now)
		}
	}
}

// announceNear announces the suspects that are one end short of quarantine. Nodes that do not
// receive the ends need this to report when they serve one.
func (b *Tracker) announceNear(attributed attribution, now time.Time) {
	if b.role() != Judge {
		return
	}
	for p, ends := range attributed {
		_, announced := b.near[p]
		if n := occasions(ends, b.rule.Apart); !announced && n >= b.rule.Ends-1 && len(b.near) < maxNear {
			customer := ends[len(ends)-1].suspects[p].Customer
			b.near[p] = nearSuspect{customer, now}
			b.outbox.near = append(b.outbox.near, queued[NearReport]{NearReport{p, customer}, now, 1})
			b.signalUrgent()
		}
	}
}

// requiredWeight returns the weight of attributed ends at which a request is quarantined. A request
// whose hold expired without a release is tried once: one more end quarantines it again.
func (b *Tracker) requiredWeight(p Fingerprint) int {
	if h, known := b.held[p]; known && !h.Released {
		return underwayWeight
	}
	return b.rule.Ends * endWeight
}

// attributedElsewhere reports whether this node knows the ends for which a request is quarantined but
// attributes too few of them to it.
func (b *Tracker) attributedElsewhere(p Fingerprint, attributed attribution) bool {
	present := lo.Filter(b.ends, func(e *end, _ int) bool { _, present := e.suspects[p]; return present })
	return occasions(present, b.rule.Apart) >= b.rule.Ends && weight(p, attributed[p], b.rule.Apart) < b.rule.Ends*endWeight && b.served[p].Before(present[0].at)
}

func (b *Tracker) quarantine(p Fingerprint, ends []*end, now time.Time) {
	s := ends[len(ends)-1].suspects[p]
	before := b.held[p]
	round := before.Round + 1
	h := Held{
		Fingerprint: p, Round: round, Since: now, For: b.rule.holdFor(round), Customer: s.Customer, Route: s.Route,
		Ends:     lo.Map(ends[max(len(ends)-maxNamedEnds, 0):], func(e *end, _ int) string { return e.incarnation.ID }),
		Answered: lo.SomeBy(ends, func(e *end) bool { return e.suspects[p].Answered }),
		Tried:    before.Round > 0 && !before.Released,
	}
	b.put(h, now)
	b.outbox.addHeld(p)
	b.signalUrgent()
	b.observer.Judged(h)
}

// put stores a quarantined or released request. Beyond the bound it drops the oldest entry,
// beginning with those that are not in force.
func (b *Tracker) put(h Held, now time.Time) {
	b.held[h.Fingerprint] = h
	if len(b.held) <= maxHeld {
		return
	}
	all := lo.Values(b.held)
	slices.SortFunc(all, func(a, b Held) int {
		if x, y := a.inForce(now), b.inForce(now); x != y {
			return lo.Ternary(x, 1, -1)
		}
		return a.Since.Compare(b.Since)
	})
	delete(b.held, all[0].Fingerprint)
}

func (b *Tracker) release(h Held, why string, now time.Time) {
	h.Released, h.Why, h.Stored = true, why, false
	b.put(h, now)
	b.outbox.addReleased(h.Fingerprint)
	b.signalUrgent()
	b.observer.Judged(h)
}

// Release releases a request on behalf of an operator. It returns false if the request is not
// quarantined. Earlier ends no longer count.
func (b *Tracker) Release(p Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.held[p]
	if !ok || !h.inForce(now) {
		return false
	}
	b.served[p] = now
	b.release(h, "an operator let it go", now)
	b.updateWatched()
	return true
}

// Stored records that the store holds the current state of a request, quarantined or released.
func (b *Tracker) Stored(h Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.held[h.Fingerprint]; ok && known.sameState(h) {
		known.Stored = true
		b.held[h.Fingerprint] = known
	}
}

// Lookup returns what is known of a request.
func (b *Tracker) Lookup(p Fingerprint) (Held, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.held[p]
	return h, ok
}

// All returns the requests that are or were quarantined, in no particular order.
func (b *Tracker) All() []Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.Values(b.held)
}

// List returns the quarantined requests, latest first.
func (b *Tracker) List(now time.Time) []Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := lo.Filter(lo.Values(b.held), func(h Held, _ int) bool { return h.inForce(now) })
	slices.SortFunc(all, func(a, b Held) int { return b.Since.Compare(a.Since) })
	return all
}

// updateWatched updates the set of customers whose requests need a fingerprint.
func (b *Tracker) updateWatched() {
	customers := map[string]bool{}
	for _, e := range b.ends {
		for _, s := range e.suspects {
			customers[s.Customer] = true
		}
	}
	for _, n := range b.near {
		customers[n.customer] = true
	}
	for _, h := range b.held {
		if !h.Released {
			customers[h.Customer] = true
		}
	}
	b.watched.Store(&customers)
}

// Urgent signals updates that should be sent before the next heartbeat.
func (b *Tracker) Urgent() <-chan struct{} { return b.urgent }

func (b *Tracker) signalUrgent() {
	select {
	case b.urgent <- struct{}{}:
	default: // already signaled
	}
}
