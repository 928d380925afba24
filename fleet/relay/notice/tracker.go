package notice

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/telling"
)

// Book is what a node knows of endpoints by what they say. It is safe for concurrent use.
type Book struct {
	rule    Rule
	self    uint64 // hash of this node's name
	changed func(Change)
	urgent  telling.Urgent
	count   atomic.Int64 // of the lives that are known, so that nothing is asked where none is

	mu     sync.Mutex
	listed map[engine.Life]engine.Engine
	known  map[engine.Life]*known
}

// Change is what changes by what endpoints say: sealed.
type Change interface{ change() }

// Began is a notice that began to hold at this node.
type Began struct {
	Engine engine.Engine
	Notice call.Notice
	From   string // the node by whose word; "" by an answer to this node
	Age    time.Duration
}

// Ended is a rest that a call showed to be over.
type Ended struct{ Engine engine.Engine }

func (Began) change() {}
func (Ended) change() {}

// known is what is known of one life of an endpoint.
type known struct {
	engine  engine.Engine
	gone    time.Time // when its entry went; zero: it is listed
	leaving leaving
	rest    rest
}

// NewBook returns a node's book that knows of nothing; changed is told of each change.
func NewBook(self string, r Rule, changed func(Change)) *Book {
	return &Book{rule: r, self: xxhash.Sum64String(self), changed: changed, urgent: telling.NewUrgent(), listed: map[engine.Life]engine.Engine{}, known: map[engine.Life]*known{}}
}

// Engines sets which endpoints there are. What is known of others is dropped after a while.
func (b *Book) Engines(all []engine.Engine, now time.Time) {
	listed := lo.KeyBy(all, engine.Engine.Life)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = listed
	for life, k := range b.known {
		_, stays := listed[life]
		switch {
		case stays:
			k.gone = time.Time{}
		case k.gone.IsZero():
			k.gone = now
		case now.Sub(k.gone) > kept:
			delete(b.known, life)
		}
	}
	b.count.Store(int64(len(b.known)))
}

// Saw takes in what an endpoint said in an answer to this node.
func (b *Book) Saw(e engine.Engine, n call.Notice, now time.Time) {
	b.mu.Lock()
	k := b.of(e, now)
	var began bool
	switch n := n.(type) {
	case call.Leaving:
		began = k.leaving.told(now)
	case call.Rest:
		began = k.rest.asked(n.For, now)
	}
	b.mu.Unlock()
	if began {
		b.urgent.Hurry()
		b.changed(Began{Engine: e, Notice: n})
	}
}

// of is what is known of an endpoint, nothing as yet where it is new.
func (b *Book) of(e engine.Engine, now time.Time) *known {
	life := e.Life()
	k, ok := b.known[life]
	if !ok {
		k = &known{engine: e}
		if _, listed := b.listed[life]; !listed {
			k.gone = now
		}
		b.known[life] = k
		b.count.Store(int64(len(b.known)))
	}
	return k
}

// forget drops a life of which nothing is known any more.
func (b *Book) forget(life engine.Life, k *known) {
	if k.leaving.observed.IsZero() && k.rest.end().IsZero() {
		delete(b.known, life)
		b.count.Store(int64(len(b.known)))
	}
}

// find is what is known of a life; false where nothing is.
func (b *Book) find(life engine.Life) (*known, bool) {
	if b.count.Load() == 0 {
		return nil, false
	}
	k, ok := b.known[life]
	return k, ok
}

// Listed is what an endpoint says, as an operator sees it.
type Listed struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Says     string `json:"says"`
	SinceMs  int64  `json:"sinceMs"` // that this node knows of it
	LeftMs   int64  `json:"leftMs"`  // for which it still holds; 0: for the endpoint's life
	From     string `json:"from"`    // the node that was told; "" is this one
}

// List lists what endpoints say that have an entry, in the order of their ids.
func (b *Book) List(now time.Time) []Listed {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := []Listed{}
	for life, k := range b.known {
		if !k.gone.IsZero() {
			continue
		}
		one := Listed{Endpoint: life.ID, Service: k.engine.Service, Zone: k.engine.Zone}
		if k.leaving.holds(now) {
			all = append(all, k.leaving.list(one, now))
		}
		if now.Before(k.rest.end()) {
			all = append(all, k.rest.list(one, now))
		}
	}
	slices.SortFunc(all, func(a, b Listed) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Says, b.Says))
	})
	return all
}
