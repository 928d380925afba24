package bound

import (
	"slices"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// settle is how long the list of nodes must be known before a node takes a part: one
// that has just started may be alone in its view. A longer window is waited for as well,
// since an earlier life of the node may have sent in it.
const settle = 2 * time.Second

// renewal is how long calls that were meant for an endpoint's earlier life may reach its
// new one.
const renewal = 1200 * time.Millisecond

// Gate keeps one node's part at each endpoint. It is safe for concurrent use.
type Gate struct {
	self string

	mu      sync.Mutex
	cutOff  func() bool // whether the node may not learn of a new list
	names   []string
	fleet   Fleet
	left    bool                   // it is about to end, and other nodes no longer count on it
	since   time.Time              // from then on a list is known; zero: none yet
	changed time.Time              // when the list last changed
	sent    map[string][]time.Time // by the endpoint's id: calls of the longest window, the oldest first
	begun   map[string]time.Time   // by the endpoint's id: until then its new life gets nothing
}

// NewGate returns the gate of a node that knows no list of nodes yet.
func NewGate(self string) *Gate {
	return &Gate{self: self, cutOff: func() bool { return false }, sent: map[string][]time.Time{}, begun: map[string]time.Time{}}
}

// WithCutOff has the node be unsure of its list while it may not learn of a new one.
func (g *Gate) WithCutOff(cutOff func() bool) *Gate {
	g.cutOff = cutOff
	return g
}

// Nodes sets which nodes there are, by name.
func (g *Gate) Nodes(names []string, now time.Time) {
	names = slices.Sorted(slices.Values(names))
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(names, g.names) {
		return
	}
	g.names, g.fleet, g.changed = names, NewFleet(g.self, names), now
	if g.since.IsZero() {
		g.since = now
	}
}

// Settle has the node take no part until the list of nodes can be known anew: others may
// have joined while its VM was suspended, and its part be smaller.
func (g *Gate) Settle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.since.IsZero() {
		g.since = now
	}
}

// Leave gives this node's parts up for good.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = true
}

// Count is how many nodes the list names.
func (g *Gate) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.names)
}

// Begin takes in that an endpoint has started again under its id, and when this node last
// sent a call that was meant for the life before. Such calls may have reached the new one,
// unbounded: it gets none of this node until they can have no more.
func (g *Gate) Begin(id string, sent, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for known, until := range g.begun {
		if !now.Before(until) {
			delete(g.begun, known)
		}
	}
	if until := sent.Add(renewal); now.Before(until) {
		g.begun[id] = until
	}
}

// May is whether this node may send one more call now to an endpoint under a bound.
func (g *Gate) May(e engine.Engine, b Bound, now time.Time) bool {
	cutOff := g.cutOff()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left || g.since.IsZero() || now.Before(g.since.Add(max(settle, b.Window))) || now.Before(g.begun[e.ID]) {
		return false
	}
	return g.within(e.ID, b.Window, now) < g.part(e, b, cutOff, now)
}

// Part is how many calls of any window this node may send to an endpoint, and how many of
// the last one it did.
func (g *Gate) Part(e engine.Engine, b Bound, now time.Time) (part, sent int) {
	cutOff := g.cutOff()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.part(e, b, cutOff, now), g.within(e.ID, b.Window, now)
}

// part goes by the smaller sum until every node that can has learned of a new list, and has
// sent nothing by an older one for a window.
func (g *Gate) part(e engine.Engine, b Bound, cutOff bool, now time.Time) int {
	calls := b.Calls
	if cutOff || now.Before(g.changed.Add(settle+b.Window)) {
		calls = b.Unsure
	}
	return g.fleet.Part(e.Hash, calls)
}

// Sent notes a call to an endpoint.
func (g *Gate) Sent(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.sent[id]
	for len(calls) > 0 && now.Sub(calls[0]) >= Longest {
		calls = calls[1:]
	}
	g.sent[id] = append(calls, now)
}

// Forget drops what is known of endpoints that are gone.
func (g *Gate) Forget(known func(id string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if !known(id) {
			delete(g.sent, id)
		}
	}
}

// within counts the calls of the last window.
func (g *Gate) within(id string, window time.Duration, now time.Time) int {
	calls := g.sent[id]
	for i, at := range calls {
		if now.Sub(at) < window {
			return len(calls) - i
		}
	}
	return 0
}
