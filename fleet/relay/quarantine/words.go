package quarantine

import (
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Words is what one node tells others of requests under which endpoints end.
type Words struct {
	Ends   []EndWord    `json:"ends,omitempty"`   // that the teller saw: for those who judge
	Served []ServedWord `json:"served,omitempty"` // suspects that it served since: for those who judge
	Near   []NearWord   `json:"near,omitempty"`   // suspects of which one end more would be enough: for all
	Held   []HeldWord   `json:"held,omitempty"`   // requests that are held back, and that were let go: for all
}

// None is whether there is nothing to tell.
func (w Words) None() bool { return len(w.Ends)+len(w.Served)+len(w.Near)+len(w.Held) == 0 }

// EndWord is the end of an endpoint's life, and which of the teller's calls ended with it.
type EndWord struct {
	Endpoint string    `json:"e"`
	Born     int64     `json:"b,omitempty"`
	AgeMs    int64     `json:"ms"`
	Suspects []Suspect `json:"s"`
}

func (w EndWord) life() engine.Life { return engine.Life{ID: w.Endpoint, Born: w.Born} }

// ServedWord is a suspect that the teller served.
type ServedWord struct {
	Print Print `json:"p"`
	AgeMs int64 `json:"ms"`
}

// NearWord is a suspect of which one end more would be enough.
type NearWord struct {
	Print    Print  `json:"p"`
	Customer string `json:"c,omitempty"`
}

// HeldWord is a request that is held back, or was let go.
type HeldWord struct {
	Print    Print    `json:"p"`
	Round    int      `json:"n"`
	Released bool     `json:"free,omitempty"`
	Why      string   `json:"why,omitempty"`
	Stored   bool     `json:"kept,omitempty"`
	Answered bool     `json:"answered,omitempty"` // before endpoints ended under it
	Tried    bool     `json:"tried,omitempty"`    // once its time before was over
	Probes   int      `json:"probes,omitempty"`   // that were claimed in this round
	AgeMs    int64    `json:"ms"`
	ForMs    int64    `json:"for"`
	Customer string   `json:"c,omitempty"`
	Route    string   `json:"r,omitempty"`
	Ends     []string `json:"ends,omitempty"`
}

// WordOf is a request as it is told, and kept by the store.
func WordOf(h Held, now time.Time) HeldWord {
	return HeldWord{
		Print: h.Print, Round: h.Round, Released: h.Released, Why: h.Why, Stored: h.Stored, Answered: h.Answered, Tried: h.Tried, Probes: h.Probes, AgeMs: now.Sub(h.Since).Milliseconds(),
		ForMs: h.For.Milliseconds(), Customer: h.Customer, Route: h.Route, Ends: h.Ends,
	}
}

// Bounds of one message.
const (
	mostEndWords    = 8
	mostWordPrints  = 12 // suspects of one word; the others of an end come in a word of their own
	mostServedWords = 16
	mostNearWords   = 16
	mostHeldWords   = 8
	timesTold       = 3 // beats in which a word is told that no digest repeats, since a datagram may be lost
)

// told is a word that is to be told some more times.
type told[T any] struct {
	word T
	at   time.Time
	left int
}

// outbox is what is still to be told.
type outbox struct {
	ends   []told[EndWord]
	served []told[ServedWord]
	near   []told[NearWord]
	held   map[Print]int // times that each is still to be told to all
	next   int           // of the requests that are told with the digests
	turn   int           // of the digests
}

func newOutbox() outbox { return outbox{held: map[Print]int{}} }

// timedEnd is the end of a life, for the outbox: its age is worked out when it is told.
type timedEnd struct {
	word EndWord
	at   time.Time
}

func endWord(life engine.Life, at time.Time, suspects []Suspect) timedEnd {
	return timedEnd{EndWord{Endpoint: life.ID, Born: life.Born, Suspects: suspects}, at}
}

func (o *outbox) add(e timedEnd) {
	for _, some := range lo.Chunk(e.word.Suspects, mostWordPrints) {
		if len(o.ends) < mostEnds {
			o.ends = append(o.ends, told[EndWord]{EndWord{Endpoint: e.word.Endpoint, Born: e.word.Born, Suspects: some}, e.at, timesTold})
		}
	}
}

func (o *outbox) addServed(p Print, at time.Time) {
	if len(o.served) < mostServed {
		o.served = append(o.served, told[ServedWord]{ServedWord{Print: p}, at, timesTold})
	}
}

// addHeld has a request told of that is held back: the digests repeat it.
func (o *outbox) addHeld(p Print) { o.held[p] = 1 }

// addReleased has a request told of that was let go: no digest does.
func (o *outbox) addReleased(p Print) { o.held[p] = timesTold }

// due takes some words that are due, and keeps those that are to be told again.
func due[T any](of []told[T], most int, fill func(T, time.Time) T) (words []T, rest []told[T]) {
	n := min(len(of), most)
	for _, t := range of[:n] {
		words = append(words, fill(t.word, t.at))
		if t.left--; t.left > 0 {
			rest = append(rest, t)
		}
	}
	return words, append(of[n:], rest...)
}

// News is what is to be told now: to those who judge, and to all.
func (b *Book) News(now time.Time) (judges, all Words) {
	b.mu.Lock()
	defer b.mu.Unlock()
	judges.Ends, b.outbox.ends = due(b.outbox.ends, mostEndWords, func(w EndWord, at time.Time) EndWord {
		w.AgeMs = now.Sub(at).Milliseconds()
		return w
	})
	judges.Served, b.outbox.served = due(b.outbox.served, mostServedWords, func(w ServedWord, at time.Time) ServedWord {
		w.AgeMs = now.Sub(at).Milliseconds()
		return w
	})
	all.Near, b.outbox.near = due(b.outbox.near, mostNearWords, func(w NearWord, _ time.Time) NearWord { return w })
	for p, left := range b.outbox.held {
		if len(all.Held) == mostHeldWords {
			break
		}
		if h, ok := b.held[p]; ok {
			all.Held = append(all.Held, WordOf(h, now))
		}
		if b.outbox.held[p] = left - 1; left <= 1 {
			delete(b.outbox.held, p)
		}
	}
	return judges, all
}

// A request that was held back just now is told with each digest, and later with every
// seventh: a node that joins knows it from the store, or learns of it so. Nodes that draw
// for others tell a fifth of their zone at each beat, and reach all within 35.
const (
	freshFor  = 30 * time.Second
	restTurns = 7
)

// Digest is some of the requests that are held back, by turns, for whatever else is told.
func (b *Book) Digest(now time.Time) Words {
	all := b.List(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outbox.turn++
	if b.outbox.turn%restTurns != 0 {
		all = lo.Filter(all, func(h Held, _ int) bool { return now.Sub(h.Since) < freshFor })
	}
	if len(all) == 0 {
		return Words{}
	}
	n := min(len(all), mostHeldWords)
	words := lo.Map(lo.Range(n), func(i, _ int) HeldWord { return WordOf(all[(b.outbox.next+i)%len(all)], now) })
	b.outbox.next = (b.outbox.next + n) % len(all)
	return Words{Held: words}
}

// Heard takes in what another node tells; it returns the requests of which it knew less.
func (b *Book) Heard(w Words, now time.Time) []Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := false
	if b.role() == Witness {
		w.Ends, w.Served = nil, nil
	}
	for _, n := range w.Near[:min(len(w.Near), mostNearWords)] {
		if _, known := b.near[n.Print]; known || len(b.near) < mostNear {
			b.near[n.Print] = nearly{n.Customer, now}
		}
	}
	if len(w.Near) > 0 {
		b.watch()
	}
	for _, e := range w.Ends[:min(len(w.Ends), mostEndWords)] {
		age := time.Duration(e.AgeMs) * time.Millisecond
		if e.AgeMs >= 0 && age < b.rule.Memory {
			news = b.take(e.life(), now.Add(-age), e.Suspects[:min(len(e.Suspects), mostSuspects)], now) || news
		}
	}
	for _, s := range w.Served[:min(len(w.Served), mostServedWords)] {
		age := time.Duration(s.AgeMs) * time.Millisecond
		if s.AgeMs >= 0 && age < b.rule.Memory {
			b.cleared(s.Print, now.Add(-age), now)
		}
	}
	learned := lo.FilterMap(w.Held[:min(len(w.Held), mostHeldWords)], func(h HeldWord, _ int) (Held, bool) { return b.learn(h, now) })
	if news {
		b.judge(now)
	}
	return learned
}

// Learn takes in what the store keeps of a request.
func (b *Book) Learn(w HeldWord, now time.Time) (Held, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.learn(w, now)
}

func (b *Book) learn(w HeldWord, now time.Time) (Held, bool) {
	known, ok := b.held[w.Print]
	h := Held{
		Print: w.Print, Round: w.Round, Released: w.Released, Why: w.Why, Stored: w.Stored, Answered: w.Answered, Tried: w.Tried, Probes: max(w.Probes, 0), Since: now.Add(-time.Duration(max(w.AgeMs, 0)) * time.Millisecond),
		For: min(time.Duration(w.ForMs)*time.Millisecond, b.rule.MostHold), Customer: w.Customer, Route: w.Route, Ends: w.Ends[:min(len(w.Ends), mostNamed)],
	}
	if w.Round < 1 || w.ForMs < 0 || w.AgeMs > 2*b.rule.MostHold.Milliseconds() {
		return Held{}, false
	}
	if ok && !h.newer(known) {
		if known.says(h) {
			known.Stored, known.Probes = known.Stored || h.Stored, max(known.Probes, h.Probes)
			known.Answered, known.Tried = known.Answered || h.Answered, known.Tried || h.Tried
			b.held[w.Print] = known
		}
		if known.newer(h) && b.role() != Witness {
			b.outbox.addReleased(w.Print) // the teller missed that it was let go
		}
		return Held{}, false
	}
	if h.Released {
		b.served[w.Print] = now
	}
	if h.Released && b.role() == Judge {
		b.outbox.addReleased(w.Print) // its zone may not have heard
	}
	b.keep(h, now)
	b.watch()
	return h, true
}
