package limit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/announce"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Tracker tracks the limits that a node knows. It is safe for concurrent use.
type Tracker struct {
	Rule
	changed func(Change)
	urgent  announce.Urgent
	count   atomic.Int64 // of known entries; 0 skips the lock

	mu     sync.Mutex
	listed map[engine.Incarnation]engine.Engine
	known  map[engine.Incarnation]*known
}

// Change is a limit that this node learned of, or its end.
type Change struct {
	Engine    engine.Engine
	Named     bool
	PerSecond float64 // if named
	Before    float64 // the previous limit, if WasNamed
	WasNamed  bool
	From      string // the node that reported it; "" if it was an answer to this node
	Age       time.Duration
}

// known is the state of one incarnation of an endpoint that named a limit.
type known struct {
	named     bool // false: the limit is over
	perSecond float64
	since     time.Time // of the current state; an answer to a call sent before does not end a limit
	observed  time.Time // latest answer to any node
	by        string
	own       bool // the latest answer was to this node
	placed    time.Time
	due       announce.Schedule
}

// signal is what an answer signals about a limit.
type signal struct {
	by        string // the node that reported it; "" is this node
	at        time.Time
	named     bool
	perSecond float64
}

// NewTracker returns an empty tracker. It calls changed on each change.
func NewTracker(r Rule, changed func(Change)) *Tracker {
	return &Tracker{Rule: r, changed: changed, urgent: announce.NewUrgent(), listed: map[engine.Incarnation]engine.Engine{}, known: map[engine.Incarnation]*known{}}
}

// Engines sets the listed endpoints. The state of all others, and of ended incarnations, is
// dropped.
func (b *Tracker) Engines(all []engine.Engine) {
	listed := make(map[engine.Incarnation]engine.Engine, len(all))
	for _, e := range all {
		listed[e.Incarnation()] = e
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = listed
	for incarnation := range b.known {
		if _, ok := listed[incarnation]; !ok {
			delete(b.known, incarnation)
		}
	}
	b.count.Store(int64(len(b.known)))
}

// Named records that an answer to this node named a limit.
func (b *Tracker) Named(incarnation engine.Incarnation, perSecond float64, now time.Time) {
	b.record(incarnation, signal{at: now, named: true, perSecond: perSecond}, now)
}

// Unnamed records that an answer named no limit. It ends a limit only if the call was sent after
// this node knew of the limit: otherwise the answer may be older than the limit.
func (b *Tracker) Unnamed(incarnation engine.Incarnation, sent, now time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	k, ok := b.known[incarnation]
	before := ok && k.named && sent.Before(k.since)
	b.mu.Unlock()
	if ok && !before {
		b.record(incarnation, signal{at: now}, now)
	}
}

// record stores the signal of the latest answer, to this node or another one.
func (b *Tracker) record(incarnation engine.Incarnation, s signal, now time.Time) {
	b.mu.Lock()
	c, changed := b.update(incarnation, s, now)
	b.mu.Unlock()
	if !changed {
		return
	}
	b.urgent.Notify()
	b.changed(c)
}

func (b *Tracker) update(incarnation engine.Incarnation, s signal, now time.Time) (Change, bool) {
	e, listed := b.listed[incarnation]
	k, ok := b.known[incarnation]
	if !listed || !ok && !s.named || ok && !s.at.After(k.observed) {
		return Change{}, false
	}
	if !ok {
		k = &known{}
		b.known[incarnation] = k
		b.count.Store(int64(len(b.known)))
	}
	c := Change{Engine: e, Named: s.named, PerSecond: s.perSecond, Before: k.perSecond, WasNamed: k.named, From: s.by, Age: now.Sub(s.at)}
	changed := c.Named != c.WasNamed || c.PerSecond != c.Before
	if c.Named != c.WasNamed {
		k.since = now
	} else if !c.Named && now.Sub(k.since) > maxAge {
		delete(b.known, incarnation) // no report of the limit can arrive any more
		b.count.Store(int64(len(b.known)))
		return Change{}, false
	}
	k.named, k.perSecond, k.observed, k.by, k.own = s.named, s.perSecond, s.at, s.by, s.by == ""
	if changed {
		k.due.MarkUpdated(now)
	} else {
		k.due.Renew(now)
	}
	return c, changed
}

// Of returns the limit that an endpoint names, and false if it names none.
func (b *Tracker) Of(incarnation engine.Incarnation) (perSecond float64, named bool) {
	if b.count.Load() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[incarnation]
	if !ok || !k.named {
		return 0, false
	}
	return k.perSecond, true
}

// confirmInterval is how long after the last answer from a limited endpoint this node sends it a
// call to confirm the limit, if it has a share left.
const confirmInterval = 3 * time.Second

// Unconfirmed returns the endpoints whose limit needs confirmation.
func (b *Tracker) Unconfirmed(now time.Time) []engine.Incarnation {
	if b.count.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var incarnations []engine.Incarnation
	for incarnation, k := range b.known {
		if k.named && now.Sub(k.observed) >= confirmInterval && now.Sub(k.placed) >= confirmInterval {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

const (
	silenceTimeout = 30 * time.Second // without a report on a limit
	probeOneIn     = 2                // one in so many calls that the limit allows is a probe, over all nodes
)

// MayProbe reports whether a node without a share may send one call to an endpoint whose limit
// it received nothing about for long. The node may be partitioned from those with a share, and
// the limit be over. The more nodes there are, the less often each probes.
func (b *Tracker) MayProbe(incarnation engine.Incarnation, nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.known[incarnation]
	if !ok || !k.named {
		return true
	}
	perNode := time.Duration(probeOneIn * float64(nodes) / max(k.perSecond, 1/maxCallInterval.Seconds()) * float64(time.Second))
	wait := max(silenceTimeout, perNode)
	return now.Sub(k.observed) >= wait && now.Sub(k.placed) >= wait
}

// Placed records a call to an endpoint, for MayProbe and Unconfirmed.
func (b *Tracker) Placed(incarnation engine.Incarnation, now time.Time) {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, ok := b.known[incarnation]; ok {
		k.placed = now
	}
}

// Listed is a limit as shown to operators.
type Listed struct {
	Endpoint  string  `json:"endpoint"`
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	PerSecond float64 `json:"perSecond"`
	SinceMs   int64   `json:"sinceMs"` // since this node knows of it
	AgeMs     int64   `json:"ageMs"`   // of the latest answer
	From      string  `json:"from"`    // the node that received it
	Part      int     `json:"part"`    // calls per window that this node may send
	Sent      int     `json:"sent"`    // of these, sent in the last window
	WindowMs  int64   `json:"windowMs"`
	engine    engine.Engine
}

// Engine returns the endpoint of the limit.
func (l Listed) Engine() engine.Engine { return l.engine }

// List returns the current limits, ordered by endpoint id.
func (b *Tracker) List(now time.Time) []Listed {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := []Listed{}
	for incarnation, k := range b.known {
		if k.named {
			e := b.listed[incarnation]
			all = append(all, Listed{
				Endpoint: incarnation.ID, Service: e.Service, Zone: e.Zone, PerSecond: k.perSecond,
				SinceMs: now.Sub(k.since).Milliseconds(), AgeMs: now.Sub(k.observed).Milliseconds(), From: k.by, engine: e,
			})
		}
	}
	slices.SortFunc(all, func(a, b Listed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
