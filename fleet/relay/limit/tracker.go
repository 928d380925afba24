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
func (t *Tracker) Engines(all []engine.Engine) {
	listed := make(map[engine.Incarnation]engine.Engine, len(all))
	for _, e := range all {
		listed[e.Incarnation()] = e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = listed
	for incarnation := range t.known {
		if _, ok := listed[incarnation]; !ok {
			delete(t.known, incarnation)
		}
	}
	t.count.Store(int64(len(t.known)))
}

// Named records that an answer to this node named a limit.
func (t *Tracker) Named(incarnation engine.Incarnation, perSecond float64, now time.Time) {
	t.record(incarnation, signal{at: now, named: true, perSecond: perSecond}, now)
}

// Unnamed records that an answer named no limit. It ends a limit only if the call was sent after
// this node knew of the limit: otherwise the answer may be older than the limit.
func (t *Tracker) Unnamed(incarnation engine.Incarnation, sent, now time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	k, ok := t.known[incarnation]
	before := ok && k.named && sent.Before(k.since)
	t.mu.Unlock()
	if ok && !before {
		t.record(incarnation, signal{at: now}, now)
	}
}

// record stores the signal of the latest answer, to this node or another one.
func (t *Tracker) record(incarnation engine.Incarnation, s signal, now time.Time) {
	t.mu.Lock()
	c, changed := t.update(incarnation, s, now)
	t.mu.Unlock()
	if !changed {
		return
	}
	t.urgent.Notify()
	t.changed(c)
}

func (t *Tracker) update(incarnation engine.Incarnation, s signal, now time.Time) (Change, bool) {
	e, listed := t.listed[incarnation]
	k, ok := t.known[incarnation]
	if !listed || !ok && !s.named || ok && !s.at.After(k.observed) {
		return Change{}, false
	}
	if !ok {
		k = &known{}
		t.known[incarnation] = k
		t.count.Store(int64(len(t.known)))
	}
	c := Change{Engine: e, Named: s.named, PerSecond: s.perSecond, Before: k.perSecond, WasNamed: k.named, From: s.by, Age: now.Sub(s.at)}
	changed := c.Named != c.WasNamed || c.PerSecond != c.Before
	if c.Named != c.WasNamed {
		k.since = now
	} else if !c.Named && now.Sub(k.since) > maxAge {
		delete(t.known, incarnation) // no report of the limit can arrive any more
		t.count.Store(int64(len(t.known)))
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
func (t *Tracker) Of(incarnation engine.Incarnation) (perSecond float64, named bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.known[incarnation]
	if !ok || !k.named {
		return 0, false
	}
	return k.perSecond, true
}

// confirmInterval is how long after the last answer from a limited endpoint this node sends it a
// call to confirm the limit, if it has a share left.
const confirmInterval = 3 * time.Second

// Unconfirmed returns the endpoints whose limit needs confirmation.
func (t *Tracker) Unconfirmed(now time.Time) []engine.Incarnation {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var incarnations []engine.Incarnation
	for incarnation, k := range t.known {
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

// MayProbe reports whether a node without a share may send one call to an endpoint, as no report
// of its limit arrived for long. The node may be partitioned from those with a share, and the
// limit may be over. The more nodes there are, the less often each probes.
func (t *Tracker) MayProbe(incarnation engine.Incarnation, nodes int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.known[incarnation]
	if !ok || !k.named {
		return true
	}
	perNode := time.Duration(probeOneIn * float64(nodes) / max(k.perSecond, 1/maxCallInterval.Seconds()) * float64(time.Second))
	wait := max(silenceTimeout, perNode)
	return now.Sub(k.observed) >= wait && now.Sub(k.placed) >= wait
}

// Placed records a call to an endpoint, for MayProbe and Unconfirmed.
func (t *Tracker) Placed(incarnation engine.Incarnation, now time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.known[incarnation]; ok {
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
func (t *Tracker) List(now time.Time) []Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Listed{}
	for incarnation, k := range t.known {
		if k.named {
			e := t.listed[incarnation]
			all = append(all, Listed{
				Endpoint: incarnation.ID, Service: e.Service, Zone: e.Zone, PerSecond: k.perSecond,
				SinceMs: now.Sub(k.since).Milliseconds(), AgeMs: now.Sub(k.observed).Milliseconds(), From: k.by, engine: e,
			})
		}
	}
	slices.SortFunc(all, func(a, b Listed) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
