package notice

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/announce"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Tracker tracks the notices that a node knows. It is safe for concurrent use.
type Tracker struct {
	rule    Rule
	self    uint64 // hash of this node's name
	changed func(Change)
	urgent  announce.Urgent
	count   atomic.Int64 // of known incarnations; 0 skips the lock

	mu     sync.Mutex
	listed map[engine.Incarnation]engine.Engine
	known  map[engine.Incarnation]*known
}

// Change is a change due to a notice: Began or Ended.
type Change interface{ change() }

// Began is a notice that took effect at this node.
type Began struct {
	Engine engine.Engine
	Notice call.Notice
	From   string // the node that reported it; "" if it was an answer to this node
	Age    time.Duration
}

// Ended is a rest that a call showed to be over.
type Ended struct{ Engine engine.Engine }

func (Began) change() {}
func (Ended) change() {}

// known is the state of one incarnation of an endpoint.
type known struct {
	engine  engine.Engine
	gone    time.Time // when its entry was removed; zero: it is listed
	leaving leaving
	rest    rest
}

// NewTracker returns an empty tracker of a node. It calls changed on each change.
func NewTracker(self string, r Rule, changed func(Change)) *Tracker {
	return &Tracker{rule: r, self: xxhash.Sum64String(self), changed: changed, urgent: announce.NewUrgent(), listed: map[engine.Incarnation]engine.Engine{}, known: map[engine.Incarnation]*known{}}
}

// Engines sets the listed endpoints. The state of others is dropped after entryRetention. A rest that
// was requested just before an endpoint is listed in a new incarnation may be that one's request.
func (t *Tracker) Engines(all []engine.Engine, now time.Time) {
	listed := lo.KeyBy(all, engine.Engine.Incarnation)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = listed
	for incarnation, k := range t.known {
		_, stays := listed[incarnation]
		switch {
		case stays:
			k.gone = time.Time{}
		case k.gone.IsZero():
			k.gone = now
			if now.Sub(k.rest.requestedAt) < carryOver {
				t.carryOver(all, incarnation.ID, k.rest)
			}
		case now.Sub(k.gone) > entryRetention:
			delete(t.known, incarnation)
		}
	}
	t.count.Store(int64(len(t.known)))
}

// carryOver hands a rest on to the next incarnation of an endpoint, if one is listed.
func (t *Tracker) carryOver(listed []engine.Engine, id string, r rest) {
	next, ok := lo.Find(listed, func(e engine.Engine) bool { return e.ID == id })
	if _, exists := t.known[next.Incarnation()]; ok && !exists {
		t.known[next.Incarnation()] = &known{engine: next, rest: r}
	}
}

// Observe records a notice in an answer to this node.
func (t *Tracker) Observe(e engine.Engine, n call.Notice, now time.Time) {
	t.mu.Lock()
	k := t.get(e, now)
	var began bool
	switch n := n.(type) {
	case call.Leaving:
		began = k.leaving.answered(now)
	case call.Rest:
		began = k.rest.requested(n.For, now)
	}
	t.mu.Unlock()
	if began {
		t.urgent.Notify()
		t.changed(Began{Engine: e, Notice: n})
	}
}

// get returns the state of an endpoint, creating it if necessary.
func (t *Tracker) get(e engine.Engine, now time.Time) *known {
	incarnation := e.Incarnation()
	k, ok := t.known[incarnation]
	if !ok {
		k = &known{engine: e}
		if _, listed := t.listed[incarnation]; !listed {
			k.gone = now
		}
		t.known[incarnation] = k
		t.count.Store(int64(len(t.known)))
	}
	return k
}

// dropEmpty drops an incarnation without any notice.
func (t *Tracker) dropEmpty(incarnation engine.Incarnation, k *known) {
	if k.leaving.observed.IsZero() && k.rest.end().IsZero() {
		delete(t.known, incarnation)
		t.count.Store(int64(len(t.known)))
	}
}

// find returns the state of an incarnation, and false if there is none.
func (t *Tracker) find(incarnation engine.Incarnation) (*known, bool) {
	if t.count.Load() == 0 {
		return nil, false
	}
	k, ok := t.known[incarnation]
	return k, ok
}

// Listed is a notice as shown to operators.
type Listed struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Notice   string `json:"says"`
	SinceMs  int64  `json:"sinceMs"` // since this node knows of it
	LeftMs   int64  `json:"leftMs"`  // how long it still holds; 0: for the endpoint's incarnation
	From     string `json:"from"`    // the node that reported it; "" is this one
}

// List returns the notices of listed endpoints, ordered by id.
func (t *Tracker) List(now time.Time) []Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Listed{}
	for incarnation, k := range t.known {
		if !k.gone.IsZero() {
			continue
		}
		one := Listed{Endpoint: incarnation.ID, Service: k.engine.Service, Zone: k.engine.Zone}
		if k.leaving.holds(now) {
			all = append(all, k.leaving.list(one, now))
		}
		if now.Before(k.rest.end()) {
			all = append(all, k.rest.list(one, now))
		}
	}
	slices.SortFunc(all, func(a, b Listed) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Notice, b.Notice))
	})
	return all
}
