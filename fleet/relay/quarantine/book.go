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

// Observer takes note of what a book finds. It is called under the book's lock.
type Observer interface {
	// Verify asks whether an endpoint has ended, and calls Ended then; it returns at once.
	Verify(e engine.Engine)
	// EndSeen tells that an endpoint ended under calls of this node.
	EndSeen(life engine.Life, under []Suspect)
	// Judged tells that a request is held back, or let go, by this node's own judgement.
	Judged(h Held)
}

// Book is what one node knows of requests under which endpoints end, from its own calls
// and from other nodes. It is safe for concurrent use.
type Book struct {
	rule    Rule
	seen    Observer
	role    func() Role
	watched atomic.Pointer[map[string]bool]
	known   history
	urgent  chan struct{}

	mu      sync.Mutex
	listed  map[engine.Life]bool // endpoints that there are
	pending map[engine.Life]*cut
	ends    []*end              // the oldest first
	near    map[Print]nearly    // suspects that judges named, of which one end more would be enough
	served  map[Print]time.Time // suspects, when each was last served
	lately  map[Print]time.Time // others that were: the word on an end may come after
	held    map[Print]Held
	outbox  outbox
}

// nearly is a suspect of which one end more would be enough.
type nearly struct {
	customer string
	at       time.Time // when it was named last
}

// cut is the calls that were cut at an endpoint of which it is not known yet whether it ended.
type cut struct {
	at       time.Time // when it was asked last whether it did
	suspects []Suspect
}

// Role is what a node does beside noting its own calls.
type Role int

// The roles.
const (
	Witness Role = iota // it tells others of what it saw
	Judge               // it hears of the ends that all nodes see, and judges for those that don't
	Peer                // as a judge, where all nodes judge
)

// NewBook returns a book that knows of nothing; role is the node's, at any time.
func NewBook(r Rule, seen Observer, role func() Role) *Book {
	b := &Book{
		rule: r, seen: seen, role: role, urgent: make(chan struct{}, 1),
		listed: map[engine.Life]bool{}, pending: map[engine.Life]*cut{}, near: map[Print]nearly{}, served: map[Print]time.Time{}, lately: map[Print]time.Time{}, held: map[Print]Held{}, outbox: newOutbox(),
	}
	b.watched.Store(&map[string]bool{})
	return b
}

// Watches is whether requests of a customer may be held back, or are suspects: for all
// others no print is worked out.
func (b *Book) Watches(customer string) bool { return (*b.watched.Load())[customer] }

// Holds is whether a request is sent to no endpoint.
func (b *Book) Holds(p Print, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[p].inForce(now)
}

// Wary is whether a call that was cut is not sent again by the node itself: one end more
// would be one too many. Ends count here that are one occasion, too: tries of one request may follow
// each other closely, and each that is sent again ends two endpoints.
func (b *Book) Wary(p Print, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := lo.Filter(b.ends, func(e *end, _ int) bool {
		_, suspected := e.suspects[p]
		return suspected && b.served[p].Before(e.at)
	})
	return b.held[p].inForce(now) || len(in) >= b.rule.Ends-1
}

// Cut takes in a call of this node that its endpoint ended without its whole answer. It
// counts once the endpoint is known to have ended.
func (b *Book) Cut(e engine.Engine, s Suspect, now time.Time) {
	s.Answered = b.known.has(s.Print)
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := b.endOf(e.Life(), now); at != nil {
		b.joined(at, s, now)
		return
	}
	b.dropPending(now)
	of, known := b.pending[e.Life()]
	if !known && len(b.pending) >= mostPending {
		return
	}
	if !known {
		of = &cut{}
		b.pending[e.Life()] = of
	}
	if len(of.suspects) < mostSuspects {
		of.suspects = append(of.suspects, s)
	}
	asked := known && now.Sub(of.at) < b.rule.Apart
	if !asked {
		of.at = now
	}
	switch {
	case !b.listed[e.Life()]:
		b.ended(e.Life(), now)
	case !asked:
		b.seen.Verify(e)
	}
}

// joined adds a suspect to an end that is known.
func (b *Book) joined(at *end, s Suspect, now time.Time) {
	if at.add(s) {
		b.outbox.add(endWord(at.life, at.at, []Suspect{s}))
		b.hurry()
		b.judge(now)
	}
}

// endOf finds the end of a life, of late.
func (b *Book) endOf(life engine.Life, at time.Time) *end {
	e, _ := lo.Find(b.ends, func(e *end) bool { return e.is(life, at) })
	return e
}

// dropPending forgets cut calls whose endpoints live on.
func (b *Book) dropPending(now time.Time) {
	maps.DeleteFunc(b.pending, func(_ engine.Life, c *cut) bool { return now.Sub(c.at) > b.rule.Doubted })
}

// Ended says that an endpoint's life is over; nothing follows where no call was cut there.
func (b *Book) Ended(life engine.Life, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended(life, now)
}

func (b *Book) ended(life engine.Life, now time.Time) {
	c, ok := b.pending[life]
	if !ok {
		return
	}
	delete(b.pending, life)
	b.seen.EndSeen(life, c.suspects)
	b.take(life, c.at, c.suspects, now)
	b.outbox.add(endWord(life, c.at, c.suspects))
	b.hurry()
	b.judge(now)
}

// take notes an end, or what more is known of one.
func (b *Book) take(life engine.Life, at time.Time, suspects []Suspect, now time.Time) (news bool) {
	e := b.endOf(life, at)
	if e == nil {
		e = &end{life: life, at: at, suspects: map[Print]Suspect{}}
		b.ends = append(b.ends, e)
	}
	if at.Before(e.at) {
		e.at = at
	}
	slices.SortStableFunc(b.ends, func(a, b *end) int { return a.at.Compare(b.at) })
	b.ends = b.ends[max(len(b.ends)-mostEnds, 0):]
	for _, s := range suspects {
		news = e.add(s) || news
		b.clearedBefore(s.Print, e.at, now)
	}
	b.ends = lo.Filter(b.ends, func(e *end, _ int) bool { return now.Sub(e.at) < b.rule.Memory })
	maps.DeleteFunc(b.near, func(_ Print, n nearly) bool { return now.Sub(n.at) > b.rule.Memory })
	return news
}

// Engines sets which endpoints there are: one with cut calls that is not listed any more
// has ended.
func (b *Book) Engines(all []engine.Engine, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = lo.SliceToMap(all, func(e engine.Engine) (engine.Life, bool) { return e.Life(), true })
	b.dropPending(now)
	for _, life := range lo.Keys(b.pending) {
		if !b.listed[life] {
			b.ended(life, now)
		}
	}
}

// Answered takes in that any request was answered whole, for the case that endpoints end under
// it later.
func (b *Book) Answered(p Print, now time.Time) { b.known.add(p, now, b.rule.Memory) }

// Served takes in that a request of a customer that is watched was answered whole: endpoints
// bear it, whatever ended beside it.
func (b *Book) Served(p Print, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleared(p, now, now) {
		b.outbox.addServed(p, now)
		b.hurry()
	}
}

// cleared notes that a request was served; true where it was a suspect.
func (b *Book) cleared(p Print, at, now time.Time) bool {
	suspected := lo.ContainsBy(b.ends, func(e *end) bool {
		_, in := e.suspects[p]
		return in && b.served[p].Before(e.at) && !at.Before(e.at)
	})
	h, known := b.held[p]
	releases := known && !h.Released && at.After(h.Since) // once its time is over, too: else one end more would be enough
	_, near := b.near[p]
	delete(b.near, p)
	if !suspected && !releases && !near {
		b.noteServed(p, at, now)
		return false
	}
	if !b.roomForServed(p, now) {
		return false
	}
	b.served[p] = at
	if releases {
		b.release(h, "it was served", now)
	}
	b.judge(now)
	return true
}

// noteServed keeps for a while that a request was served which is no suspect yet: an end is
// known only once it is sure that the endpoint ended, and to other nodes after that.
func (b *Book) noteServed(p Print, at, now time.Time) {
	if len(b.lately) >= mostServed {
		maps.DeleteFunc(b.lately, func(_ Print, at time.Time) bool { return now.Sub(at) > b.rule.Doubted })
	}
	if _, known := b.lately[p]; known || len(b.lately) < mostServed {
		b.lately[p] = at
	}
}

// clearedBefore takes in that a suspect of an end was served since, and tells it.
func (b *Book) clearedBefore(p Print, end, now time.Time) {
	at, known := b.lately[p]
	if !known || at.Before(end) || !b.served[p].Before(at) || !b.roomForServed(p, now) {
		return
	}
	b.served[p] = at
	b.outbox.addServed(p, at)
	b.hurry()
}

// roomForServed is whether it can be noted that one more request was served.
func (b *Book) roomForServed(p Print, now time.Time) bool {
	if _, known := b.served[p]; known || len(b.served) < mostServed {
		return true
	}
	maps.DeleteFunc(b.served, func(_ Print, at time.Time) bool { return now.Sub(at) > b.rule.Memory })
	return len(b.served) < mostServed
}

// judge holds back the requests to which enough ends are attributed, and lets those go whose
// ends turned out to be another one's.
func (b *Book) judge(now time.Time) {
	defer b.watch()
	if b.role() == Witness {
		return
	}
	on := attribute(b.ends, b.served, b.rule, b.held)
	b.nameNear(on, now)
	over := on.overLimit(b.rule, b.needed)
	for p, ends := range over {
		if h := b.held[p]; !h.inForce(now) && ends[len(ends)-1].at.After(h.until()) {
			b.hold(p, ends, now)
		}
	}
	for p, h := range b.held {
		if h.inForce(now) && b.another(p, on) {
			b.release(h, "the ends are attributed to another request", now)
		}
	}
}

// nameNear names the suspects of which one end more would be enough to those who don't
// hear of the ends, so that they tell if they serve one.
func (b *Book) nameNear(on attribution, now time.Time) {
	if b.role() != Judge {
		return
	}
	for p, ends := range on {
		_, named := b.near[p]
		if n := occasions(ends, b.rule.Apart); !named && n >= b.rule.Ends-1 && len(b.near) < mostNear {
			customer := ends[len(ends)-1].suspects[p].Customer
			b.near[p] = nearly{customer, now}
			b.outbox.near = append(b.outbox.near, told[NearWord]{NearWord{p, customer}, now, 1})
			b.hurry()
		}
	}
}

// needed is how much the ends have to count that are attributed to a request. One that was
// held back before, and not let go, is tried once when its time is over.
func (b *Book) needed(p Print) int {
	if h, ok := b.held[p]; ok && !h.Released {
		return underwayWeight
	}
	return b.rule.Ends * endWeight
}

// another is whether this node knows the ends for which a request is held back, and lays
// too few of them on it.
func (b *Book) another(p Print, on attribution) bool {
	in := lo.Filter(b.ends, func(e *end, _ int) bool { _, in := e.suspects[p]; return in })
	return occasions(in, b.rule.Apart) >= b.rule.Ends && weight(p, on[p], b.rule.Apart) < b.rule.Ends*endWeight && b.served[p].Before(in[0].at)
}

func (b *Book) hold(p Print, ends []*end, now time.Time) {
	s := ends[len(ends)-1].suspects[p]
	before := b.held[p]
	round := before.Round + 1
	h := Held{
		Print: p, Round: round, Since: now, For: b.rule.holdFor(round), Customer: s.Customer, Route: s.Route,
		Ends:     lo.Map(ends[max(len(ends)-mostNamed, 0):], func(e *end, _ int) string { return e.life.ID }),
		Answered: lo.SomeBy(ends, func(e *end) bool { return e.suspects[p].Answered }),
		Tried:    before.Round > 0 && !before.Released,
	}
	b.keep(h, now)
	b.outbox.addHeld(p)
	b.hurry()
	b.seen.Judged(h)
}

// keep notes a request that is held back, or was, within the bound.
func (b *Book) keep(h Held, now time.Time) {
	b.held[h.Print] = h
	if len(b.held) <= mostHeld {
		return
	}
	all := lo.Values(b.held)
	slices.SortFunc(all, func(a, b Held) int {
		if x, y := a.inForce(now), b.inForce(now); x != y {
			return lo.Ternary(x, 1, -1)
		}
		return a.Since.Compare(b.Since)
	})
	delete(b.held, all[0].Print)
}

func (b *Book) release(h Held, why string, now time.Time) {
	h.Released, h.Why, h.Stored = true, why, false
	b.keep(h, now)
	b.outbox.addReleased(h.Print)
	b.hurry()
	b.seen.Judged(h)
}

// Release lets a request go, as an operator asks; false where it is not held back. What
// ended before counts no more.
func (b *Book) Release(p Print, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.held[p]
	if !ok || !h.inForce(now) {
		return false
	}
	b.served[p] = now
	b.release(h, "an operator let it go", now)
	b.watch()
	return true
}

// Stored notes that the store has it as it is: that a request is held back, or was let go.
func (b *Book) Stored(h Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.held[h.Print]; ok && known.says(h) {
		known.Stored = true
		b.held[h.Print] = known
	}
}

// Of finds what is known of a request.
func (b *Book) Of(p Print) (Held, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.held[p]
	return h, ok
}

// All is the requests that are or were held back, in no order.
func (b *Book) All() []Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.Values(b.held)
}

// List is the requests that are held back, the latest first.
func (b *Book) List(now time.Time) []Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := lo.Filter(lo.Values(b.held), func(h Held, _ int) bool { return h.inForce(now) })
	slices.SortFunc(all, func(a, b Held) int { return b.Since.Compare(a.Since) })
	return all
}

// watch names the customers whose requests are worth a print.
func (b *Book) watch() {
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

// Urgent tells that something is worth telling before the next beat.
func (b *Book) Urgent() <-chan struct{} { return b.urgent }

func (b *Book) hurry() {
	select {
	case b.urgent <- struct{}{}:
	default: // it is about to be told
	}
}
