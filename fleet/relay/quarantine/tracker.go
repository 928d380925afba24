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

// Observer is notified of what a Tracker finds. It is called with the Tracker's lock held.
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
	forgot   func(from, to time.Time) bool // reports whether a node ended, or this one started; nil: none
	watched  atomic.Pointer[map[string]bool]
	history  *answerHistory // of requests
	parts    *answerHistory // of parts of prompts
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

// Role is what a node does besides recording its own calls.
type Role int

// The roles.
const (
	Witness Role = iota // reports its observations to the judges
	Judge               // receives the ends that all nodes observe and decides for the witnesses
	Peer                // decides like a judge, in a fleet where every node does
)

// NewTracker returns an empty Tracker. It calls role whenever it needs the node's current role.
func NewTracker(r Rule, observer Observer, role func() Role) *Tracker {
	t := &Tracker{
		rule: r, observer: observer, role: role, urgent: make(chan struct{}, 1), history: newAnswerHistory(r.Memory), parts: newAnswerHistory(r.Memory),
		registered: map[engine.Incarnation]bool{}, pending: map[engine.Incarnation]*interruption{}, near: map[Fingerprint]nearSuspect{}, served: map[Fingerprint]time.Time{}, servedLately: map[Fingerprint]time.Time{}, held: map[Fingerprint]Held{}, outbox: newOutbox(),
	}
	t.watched.Store(&map[string]bool{})
	return t
}

// Watches reports whether requests of a customer may be quarantined or suspects. No
// fingerprint is computed for the requests of other customers.
func (t *Tracker) Watches(customer string) bool { return (*t.watched.Load())[customer] }

// IsQuarantined reports whether a request is quarantined, so that it is sent to no endpoint.
func (t *Tracker) IsQuarantined(p Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[p].inForce(now)
}

// ForbidsRetry reports whether the node must not retry an interrupted call by itself, since one
// more end would be too many. Unlike for the quarantine, ends on the same occasion count
// separately here: attempts of one request may follow each other closely, and each attempt
// that is retried ends two endpoints.
func (t *Tracker) ForbidsRetry(p Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ends := lo.Filter(t.ends, func(e *end, _ int) bool {
		s, suspected := e.suspects[p]
		return suspected && t.served[p].Before(e.at) && !(s.isPart() && s.Answered)
	})
	return t.held[p].inForce(now) || len(ends) >= t.rule.Ends-1
}

// Interrupted records a call of this node that its endpoint ended before the answer was complete: the
// request and the parts of its prompt. They count once the endpoint is known to have ended.
func (t *Tracker) Interrupted(e engine.Engine, suspects []Suspect, now time.Time) {
	suspects = lo.Map(suspects, func(s Suspect, _ int) Suspect {
		s.Answered = t.wasAnswered(s)
		return s
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if ended := t.findEnd(e.Incarnation(), now); ended != nil {
		t.addSuspects(ended, suspects, now)
		return
	}
	t.expirePending(now)
	interrupted, known := t.pending[e.Incarnation()]
	if !known && len(t.pending) >= maxPending {
		return
	}
	if !known {
		interrupted = &interruption{}
		t.pending[e.Incarnation()] = interrupted
	}
	interrupted.add(suspects)
	checked := known && now.Sub(interrupted.checkedAt) < t.rule.Apart
	if !checked {
		interrupted.checkedAt = now
	}
	switch {
	case !t.registered[e.Incarnation()]:
		t.confirmEnd(e.Incarnation(), now)
	case !checked:
		t.observer.Verify(e)
	}
}

// wasAnswered reports whether this node has answered the request, or one with the part.
func (t *Tracker) wasAnswered(s Suspect) bool {
	if s.isPart() {
		return t.parts.contains(s.Fingerprint)
	}
	return t.history.contains(s.Fingerprint)
}

// addSuspects adds the suspects of one call to a known end.
func (t *Tracker) addSuspects(e *end, suspects []Suspect, now time.Time) {
	added := lo.Filter(suspects, func(s Suspect, _ int) bool { return e.add(s) })
	if len(added) > 0 {
		t.outbox.addEnd(newTimedEnd(e.incarnation, e.at, added))
		t.signalUrgent()
		t.judge(now)
	}
}

// findEnd returns the recorded end of an incarnation, or nil.
func (t *Tracker) findEnd(incarnation engine.Incarnation, at time.Time) *end {
	e, _ := lo.Find(t.ends, func(e *end) bool { return e.matches(incarnation, at) })
	return e
}

// expirePending removes interrupted calls whose endpoints are still running.
func (t *Tracker) expirePending(now time.Time) {
	maps.DeleteFunc(t.pending, func(_ engine.Incarnation, c *interruption) bool { return now.Sub(c.checkedAt) > t.rule.ConfirmTimeout })
}

// Ended records that an incarnation of an endpoint has ended. It has no effect where no call
// was interrupted there.
func (t *Tracker) Ended(incarnation engine.Incarnation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmEnd(incarnation, now)
}

func (t *Tracker) confirmEnd(incarnation engine.Incarnation, now time.Time) {
	c, ok := t.pending[incarnation]
	if !ok {
		return
	}
	delete(t.pending, incarnation)
	t.observer.EndObserved(incarnation, c.suspects)
	t.recordEnd(incarnation, c.checkedAt, c.suspects, now)
	t.outbox.addEnd(newTimedEnd(incarnation, c.checkedAt, c.suspects))
	t.signalUrgent()
	t.judge(now)
}

// recordEnd records an end, or adds suspects to a known one. It reports whether that changed anything.
func (t *Tracker) recordEnd(incarnation engine.Incarnation, at time.Time, suspects []Suspect, now time.Time) (changed bool) {
	e := t.findEnd(incarnation, at)
	if e == nil {
		e = &end{incarnation: incarnation, at: at, suspects: map[Fingerprint]Suspect{}}
		t.ends = append(t.ends, e)
	}
	if at.Before(e.at) {
		e.at = at
	}
	slices.SortStableFunc(t.ends, func(a, b *end) int { return a.at.Compare(b.at) })
	t.ends = t.ends[max(len(t.ends)-maxEnds, 0):]
	for _, s := range suspects {
		changed = e.add(s) || changed
		t.clearIfServedSince(s.Fingerprint, e.at, now)
	}
	t.ends = lo.Filter(t.ends, func(e *end, _ int) bool { return now.Sub(e.at) < t.rule.Memory })
	maps.DeleteFunc(t.near, func(_ Fingerprint, n nearSuspect) bool { return now.Sub(n.announcedAt) > t.rule.Memory })
	return changed
}

// Engines sets the registered endpoints. An endpoint with interrupted calls that is no longer
// registered has ended.
func (t *Tracker) Engines(all []engine.Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = lo.SliceToMap(all, func(e engine.Engine) (engine.Incarnation, bool) { return e.Incarnation(), true })
	t.expirePending(now)
	for _, incarnation := range lo.Keys(t.pending) {
		if !t.registered[incarnation] {
			t.confirmEnd(incarnation, now)
		}
	}
}

// Answered records that a request, suspect or not, was answered completely, in case endpoints
// end under it later.
func (t *Tracker) Answered(p Fingerprint, now time.Time) { t.history.add(p, now) }

// PartAnswered records the same of a part of its prompt.
func (t *Tracker) PartAnswered(p Fingerprint, now time.Time) { t.parts.add(p, now) }

// Served records that a request of a watched customer was answered completely. Such a request
// does not end endpoints by itself, whatever ended while it ran.
func (t *Tracker) Served(p Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.markServed(p, now, now) {
		t.outbox.addServed(p, now)
		t.signalUrgent()
	}
}

// markServed records that a request was served and reports whether it was a suspect.
func (t *Tracker) markServed(p Fingerprint, at, now time.Time) bool {
	suspected := lo.ContainsBy(t.ends, func(e *end) bool {
		_, in := e.suspects[p]
		return in && t.served[p].Before(e.at) && !at.Before(e.at)
	})
	h, known := t.held[p]
	// After an expired hold, too: otherwise one more end would quarantine the request.
	releases := known && !h.Released && at.After(h.Since)
	_, near := t.near[p]
	delete(t.near, p)
	if !suspected && !releases && !near {
		t.rememberServed(p, at, now)
		return false
	}
	if !t.hasRoomForServed(p, now) {
		return false
	}
	t.served[p] = at
	if releases {
		t.release(h, "it was served", now)
	}
	t.judge(now)
	return true
}

// rememberServed remembers for a while that a request was served which is not a suspect yet. An
// end becomes known only after it is confirmed, and to other nodes even later.
func (t *Tracker) rememberServed(p Fingerprint, at, now time.Time) {
	if len(t.servedLately) >= maxServed {
		maps.DeleteFunc(t.servedLately, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > t.rule.ConfirmTimeout })
	}
	if _, known := t.servedLately[p]; known || len(t.servedLately) < maxServed {
		t.servedLately[p] = at
	}
}

// clearIfServedSince clears a suspect that was served after an end and announces that.
func (t *Tracker) clearIfServedSince(p Fingerprint, end, now time.Time) {
	at, known := t.servedLately[p]
	if !known || at.Before(end) || !t.served[p].Before(at) || !t.hasRoomForServed(p, now) {
		return
	}
	t.served[p] = at
	t.outbox.addServed(p, at)
	t.signalUrgent()
}

// hasRoomForServed reports whether one more served request can be recorded.
func (t *Tracker) hasRoomForServed(p Fingerprint, now time.Time) bool {
	if _, known := t.served[p]; known || len(t.served) < maxServed {
		return true
	}
	maps.DeleteFunc(t.served, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > t.rule.Memory })
	return len(t.served) < maxServed
}

// judge quarantines the requests to which enough ends are attributed, and releases those whose
// ends are now attributed to another request.
func (t *Tracker) judge(now time.Time) {
	defer t.updateWatched()
	if t.role() == Witness {
		return
	}
	heldParts := t.heldParts(now)
	required := func(p Fingerprint, ends []*end) int { return t.requiredWeight(p, ends, heldParts) }
	always := func(p Fingerprint, s Suspect) bool {
		_, known := t.held[p]
		return known || s.isKnownBadPart(heldParts)
	}
	attributed := attribute(requests, t.ends, t.served, t.rule, always)
	overLimit := attributed.overLimit(t.rule, required)
	byPart := attribute(parts, t.ends, t.served, t.rule, always).without(overLimit)
	maps.Copy(overLimit, byPart.overLimit(t.rule, required))
	maps.Copy(attributed, byPart)
	t.announceNear(attributed, now)
	for p, ends := range overLimit {
		if h := t.held[p]; !h.inForce(now) && ends[len(ends)-1].at.After(h.holdEnd()) {
			t.quarantine(p, ends, now)
		}
	}
	for p, h := range t.held {
		if h.inForce(now) && t.attributedElsewhere(p, attributed) {
			t.release(h, "the ends are attributed to another request", now)
		}
	}
}

// announceNear announces the suspects that are one end short of quarantine. Nodes that do not
// receive the ends need this to report when they serve one.
func (t *Tracker) announceNear(attributed attribution, now time.Time) {
	if t.role() != Judge {
		return
	}
	for p, ends := range attributed {
		_, announced := t.near[p]
		if n := occasions(ends, t.rule.Apart); !announced && n >= t.rule.Ends-1 && len(t.near) < maxNear {
			customer := ends[len(ends)-1].suspects[p].Customer
			t.near[p] = nearSuspect{customer, now}
			t.outbox.near = append(t.outbox.near, queued[NearReport]{NearReport{p, customer}, now, 1})
			t.signalUrgent()
		}
	}
}

// heldParts returns the names of the parts that are quarantined for any customer.
func (t *Tracker) heldParts(now time.Time) map[string]bool {
	names := map[string]bool{}
	for _, h := range t.held {
		if h.Part != "" && h.inForce(now) {
			names[h.Part] = true
		}
	}
	return names
}

// requiredWeight returns the weight of attributed ends at which a request or part is quarantined. One
// end is enough for those whose hold expired without a release, which are tried once, and for a
// part that is quarantined for another customer.
func (t *Tracker) requiredWeight(p Fingerprint, ends []*end, heldParts map[string]bool) int {
	s := ends[len(ends)-1].suspects[p]
	switch h, known := t.held[p]; {
	case known && !h.Released, !known && s.isKnownBadPart(heldParts):
		return underwayWeight
	case s.isPart():
		answered := lo.SomeBy(ends, func(e *end) bool { return e.suspects[p].Answered })
		return lo.Ternary(answered, t.rule.AnsweredEnds, t.rule.PartEnds) * endWeight
	}
	return t.rule.Ends * endWeight
}

// attributedElsewhere reports whether this node knows the ends for which a request is quarantined but
// attributes too few of them to it.
func (t *Tracker) attributedElsewhere(p Fingerprint, attributed attribution) bool {
	present := lo.Filter(t.ends, func(e *end, _ int) bool { _, present := e.suspects[p]; return present })
	return occasions(present, t.rule.Apart) >= t.rule.Ends && weight(p, attributed[p], t.rule.Apart) < t.rule.Ends*endWeight && t.served[p].Before(present[0].at)
}

func (t *Tracker) quarantine(p Fingerprint, ends []*end, now time.Time) {
	s := ends[len(ends)-1].suspects[p]
	before := t.held[p]
	round := before.Round + 1
	h := Held{
		Fingerprint: p, Part: s.Part, Round: round, Since: now, For: t.rule.holdFor(round), Customer: s.Customer, Route: s.Route,
		Ends:     lo.Map(ends[max(len(ends)-maxNamedEnds, 0):], func(e *end, _ int) string { return e.incarnation.ID }),
		Answered: t.wasAnswered(s) || lo.SomeBy(ends, func(e *end) bool { return e.suspects[p].Answered }),
		Tried:    before.Round > 0 && !before.Released,
	}
	t.put(h, now)
	t.outbox.addHeld(p)
	t.signalUrgent()
	t.observer.Judged(h)
}

// put stores a quarantined or released request. Beyond the bound it drops the oldest entry,
// beginning with those that are not in force.
func (t *Tracker) put(h Held, now time.Time) {
	t.held[h.Fingerprint] = h
	if len(t.held) <= maxHeld {
		return
	}
	all := lo.Values(t.held)
	slices.SortFunc(all, func(a, b Held) int {
		if x, y := a.inForce(now), b.inForce(now); x != y {
			return lo.Ternary(x, 1, -1)
		}
		return a.Since.Compare(b.Since)
	})
	delete(t.held, all[0].Fingerprint)
}

func (t *Tracker) release(h Held, why string, now time.Time) {
	h.Released, h.Why, h.Stored = true, why, false
	t.put(h, now)
	t.outbox.addReleased(h.Fingerprint)
	t.signalUrgent()
	t.observer.Judged(h)
}

// Release releases a request on behalf of an operator. It returns false if the request is not
// quarantined. Earlier ends no longer count.
func (t *Tracker) Release(p Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.held[p]
	if !ok || !h.inForce(now) {
		return false
	}
	t.served[p] = now
	t.release(h, "an operator let it go", now)
	t.updateWatched()
	return true
}

// Stored records that the store holds the current state of a request, quarantined or released.
func (t *Tracker) Stored(h Held) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.held[h.Fingerprint]; ok && known.sameState(h) {
		known.Stored = true
		t.held[h.Fingerprint] = known
	}
}

// Lookup returns what is known of a request.
func (t *Tracker) Lookup(p Fingerprint) (Held, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.held[p]
	return h, ok
}

// All returns the requests that are or were quarantined, in no particular order.
func (t *Tracker) All() []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Values(t.held)
}

// List returns the quarantined requests, latest first.
func (t *Tracker) List(now time.Time) []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := lo.Filter(lo.Values(t.held), func(h Held, _ int) bool { return h.inForce(now) })
	slices.SortFunc(all, func(a, b Held) int { return b.Since.Compare(a.Since) })
	return all
}

// updateWatched updates the set of customers whose requests need a fingerprint.
func (t *Tracker) updateWatched() {
	customers := map[string]bool{}
	for _, e := range t.ends {
		for _, s := range e.suspects {
			customers[s.Customer] = true
		}
	}
	for _, n := range t.near {
		customers[n.customer] = true
	}
	for _, h := range t.held {
		if !h.Released {
			customers[h.Customer] = true
		}
	}
	t.watched.Store(&customers)
}

// Urgent signals updates that should be sent before the next heartbeat.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

func (t *Tracker) signalUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default: // already signaled
	}
}
