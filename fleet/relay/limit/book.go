package limit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/telling"
)

// Book is what a node knows of limits. It is safe for concurrent use.
type Book struct {
	Rule
	changed func(Change)
	urgent  telling.Urgent
	count   atomic.Int64 // of what is known, so that nothing is asked where nothing is

	mu     sync.Mutex
	listed map[engine.Life]engine.Engine
	known  map[engine.Life]*known
}

// Change is a limit that this node learned of, or of its end.
type Change struct {
	Engine    engine.Engine
	Named     bool
	PerSecond float64 // where it is named
	Before    float64 // where it was named before
	WasNamed  bool
	From      string // the node by whose word; "" by its own answer
	Age       time.Duration
}

// known is what is known of one life of an endpoint that named a limit.
type known struct {
	named     bool // false: it names none any more
	perSecond float64
	since     time.Time // it is so: a call that was sent before says nothing of a limit's end
	observed  time.Time // the latest answer, of any node
	by        string
	own       bool // this node's answer was the latest
	tried     time.Time
	due       telling.Due
}

// said is what an answer says of a limit.
type said struct {
	by        string // "" is this node
	at        time.Time
	named     bool
	perSecond float64
}

// NewBook returns a book that knows of no limit; changed is told of each change.
func NewBook(r Rule, changed func(Change)) *Book {
	return &Book{Rule: r, changed: changed, urgent: telling.NewUrgent(), listed: map[engine.Life]engine.Engine{}, known: map[engine.Life]*known{}}
}

// Engines sets which endpoints there are; what is known of others, and of lives that have
// ended, is dropped.
func (b *Book) Engines(all []engine.Engine) {
	listed := make(map[engine.Life]engine.Engine, len(all))
	for _, e := range all {
		listed[e.Life()] = e
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = listed
	for life := range b.known {
		if _, ok := listed[life]; !ok {
			delete(b.known, life)
		}
	}
	b.count.Store(int64(len(b.known)))
}

// Named takes in that an answer to this node named a limit.
func (b *Book) Named(life engine.Life, perSecond float64, now time.Time) {
	b.take(life, said{at: now, named: true, perSecond: perSecond}, now)
}

// Unnamed takes in that an answer named none. It ends a limit where the call was sent by a
// node that knew of it: another one's answer may be from before the limit.
func (b *Book) Unnamed(life engine.Life, sent, now time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	k, ok := b.known[life]
	before := ok && k.named && sent.Before(k.since)
	b.mu.Unlock()
	if ok && !before {
		b.take(life, said{at: now}, now)
	}
}

// take takes in what the latest answer says, this node's or another one's.
func (b *Book) take(life engine.Life, s said, now time.Time) {
	b.mu.Lock()
	c, news := b.learn(life, s, now)
	b.mu.Unlock()
	if !news {
		return
	}
	b.urgent.Hurry()
	b.changed(c)
}

func (b *Book) learn(life engine.Life, s said, now time.Time) (Change, bool) {
	e, listed := b.listed[life]
	k, ok := b.known[life]
	if !listed || !ok && !s.named || ok && !s.at.After(k.observed) {
		return Change{}, false
	}
	if !ok {
		k = &known{}
		b.known[life] = k
		b.count.Store(int64(len(b.known)))
	}
	c := Change{Engine: e, Named: s.named, PerSecond: s.perSecond, Before: k.perSecond, WasNamed: k.named, From: s.by, Age: now.Sub(s.at)}
	news := c.Named != c.WasNamed || c.PerSecond != c.Before
	if c.Named != c.WasNamed {
		k.since = now
	} else if !c.Named && now.Sub(k.since) > oldest {
		delete(b.known, life) // no word that it was named can be left
		b.count.Store(int64(len(b.known)))
		return Change{}, false
	}
	k.named, k.perSecond, k.observed, k.by, k.own = s.named, s.perSecond, s.at, s.by, s.by == ""
	if news {
		k.due.News(now)
	} else {
		k.due.Renew(now)
	}
	return c, news
}

// Of is the limit that an endpoint names; false where it names none.
func (b *Book) Of(life engine.Life) (perSecond float64, named bool) {
	if b.count.Load() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[life]
	if !ok || !k.named {
		return 0, false
	}
	return k.perSecond, true
}

// unheardFor is after how long without an answer from an endpoint under a limit this node
// asks it by a call, where it has a part left.
const unheardFor = 3 * time.Second

// Unheard lists the endpoints under a limit that is to be heard of again.
func (b *Book) Unheard(now time.Time) []engine.Life {
	if b.count.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var lives []engine.Life
	for life, k := range b.known {
		if k.named && now.Sub(k.observed) >= unheardFor && now.Sub(k.tried) >= unheardFor {
			lives = append(lives, life)
		}
	}
	return lives
}

const (
	silent  = 30 * time.Second // without a word on a limit
	triesOf = 2                // calls in so many that a limit allows, by all nodes that try together
)

// MayTry is whether a node without a part may send one call to an endpoint of whose limit it
// has heard nothing for long: it may be cut off from those that have one, and the limit
// be over. It tries the more seldom the more nodes there are.
func (b *Book) MayTry(life engine.Life, nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[life]
	if !ok || !k.named {
		return true
	}
	perNode := time.Duration(triesOf * float64(nodes) / max(k.perSecond, 1/rarest.Seconds()) * float64(time.Second))
	wait := max(silent, perNode)
	return now.Sub(k.observed) >= wait && now.Sub(k.tried) >= wait
}

// Tried notes a call to an endpoint, for MayTry.
func (b *Book) Tried(life engine.Life, now time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.known[life]; ok {
		k.tried = now
	}
}

// Listed is a limit as an operator sees it.
type Listed struct {
	Endpoint  string  `json:"endpoint"`
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	PerSecond float64 `json:"perSecond"`
	SinceMs   int64   `json:"sinceMs"` // that this node knows of it
	AgeMs     int64   `json:"ageMs"`   // of the latest answer
	From      string  `json:"from"`    // the node that got it
	Part      int     `json:"part"`    // calls that this node may send in a window
	Sent      int     `json:"sent"`    // of them, in the last window
	WindowMs  int64   `json:"windowMs"`
	engine    engine.Engine
}

// Engine is the endpoint of the limit.
func (l Listed) Engine() engine.Engine { return l.engine }

// List lists the limits that are named now, in the order of the endpoints' ids.
func (b *Book) List(now time.Time) []Listed {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := []Listed{}
	for life, k := range b.known {
		if k.named {
			e := b.listed[life]
			all = append(all, Listed{
				Endpoint: life.ID, Service: e.Service, Zone: e.Zone, PerSecond: k.perSecond,
				SinceMs: now.Sub(k.since).Milliseconds(), AgeMs: now.Sub(k.observed).Milliseconds(), From: k.by, engine: e,
			})
		}
	}
	slices.SortFunc(all, func(a, b Listed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
