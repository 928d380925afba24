package bound

import (
	"slices"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// settleTime is how long the list of nodes must be known before a node takes a share: a node
// that has just started may see only itself. If the window is longer, the node waits for that, since an
// earlier incarnation of the node may have sent calls in it.
const settleTime = 2 * time.Second

// restartGrace is how long calls meant for an endpoint's earlier incarnation may still reach its
// new one.
const restartGrace = 1200 * time.Millisecond

// Gate keeps one node's share at each endpoint. It is safe for concurrent use.
type Gate struct {
	self string

	mu          sync.Mutex
	partitioned func() bool   // reports whether the node might miss a new list
	noticed     time.Duration // after which a node that might miss a new list knows that
	names       []string
	fleet       Fleet
	left        bool                   // the node is about to end, and the others no longer count on it
	since       time.Time              // when a list was first known; zero: not yet
	changed     time.Time              // when the list last changed
	sent        map[string][]time.Time // calls within MaxWindow by endpoint id, oldest first
	restarted   map[string]time.Time   // by endpoint id: its new incarnation gets nothing until then
}

// NewGate returns the gate of a node that has no list of nodes yet.
func NewGate(self string) *Gate {
	return &Gate{self: self, partitioned: func() bool { return false }, noticed: settleTime, sent: map[string][]time.Time{}, restarted: map[string]time.Time{}}
}

// WithPartitioned makes the node use the smaller share while partitioned reports that it might
// miss a new list. On all nodes it reports that within a time after the last list that they might miss.
func (g *Gate) WithPartitioned(partitioned func() bool, within time.Duration) *Gate {
	g.partitioned, g.noticed = partitioned, max(within, settleTime)
	return g
}

// Nodes sets the names of all nodes.
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

// Settle withholds the node's share until the list of nodes can be known again: others may have
// joined while its VM was suspended, and its share may be smaller.
func (g *Gate) Settle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.since.IsZero() {
		g.since = now
	}
}

// Leave gives up this node's shares for good.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = true
}

// Count returns the number of listed nodes.
func (g *Gate) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.names)
}

// Restarted records that an endpoint has restarted under its id, and when this node last sent a call
// to the earlier incarnation. Such calls may reach the new one outside its bound, so this node
// sends it none until they can no longer arrive.
func (g *Gate) Restarted(id string, sent, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for known, until := range g.restarted {
		if !now.Before(until) {
			delete(g.restarted, known)
		}
	}
	if until := sent.Add(restartGrace); now.Before(until) {
		g.restarted[id] = until
	}
}

// Allows reports whether this node may send one more call now to an endpoint under a bound.
func (g *Gate) Allows(e engine.Engine, b Bound, now time.Time) bool {
	partitioned := g.partitioned()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left || g.since.IsZero() || now.Before(g.since.Add(max(settleTime, b.Window))) || now.Before(g.restarted[e.ID]) {
		return false
	}
	return g.sentWithin(e.ID, b.Window, now) < g.share(e, b, partitioned, now)
}

// Slots returns how many of an endpoint's slots this node may use at a time: the shares of all nodes
// add up to them.
func (g *Gate) Slots(e engine.Engine) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left {
		return 0
	}
	return g.fleet.Share(e.Hash, e.Slots)
}

// Share returns how many calls in any window this node may send to an endpoint, and how many it
// sent in the last one.
func (g *Gate) Share(e engine.Engine, b Bound, now time.Time) (share, sent int) {
	partitioned := g.partitioned()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.share(e, b, partitioned, now), g.sentWithin(e.ID, b.Window, now)
}

// share returns how many calls in any window this node may send. It uses the smaller sum until
// every reachable node has received a new list, every other one has noticed that it might miss it, and
// none has sent the larger share of an older list for a window.
func (g *Gate) share(e engine.Engine, b Bound, partitioned bool, now time.Time) int {
	calls := b.Calls
	if partitioned || now.Before(g.changed.Add(g.noticed+b.Window)) {
		calls = b.Unsure
	}
	return g.fleet.Share(e.Hash, calls)
}

// Sent records a call to an endpoint.
func (g *Gate) Sent(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.sent[id]
	for len(calls) > 0 && now.Sub(calls[0]) >= MaxWindow {
		calls = calls[1:]
	}
	g.sent[id] = append(calls, now)
}

// Unsent withdraws a call that was recorded at a time and of which nothing reached the endpoint.
func (g *Gate) Unsent(id string, recorded time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.IndexFunc(g.sent[id], recorded.Equal); i >= 0 {
		g.sent[id] = slices.Delete(g.sent[id], i, i+1)
	}
}

// Forget drops the state of endpoints that are gone.
func (g *Gate) Forget(known func(id string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if !known(id) {
			delete(g.sent, id)
		}
	}
}

// sentWithin counts the calls of the last window.
func (g *Gate) sentWithin(id string, window time.Duration, now time.Time) int {
	calls := g.sent[id]
	for i, at := range calls {
		if now.Sub(at) < window {
			return len(calls) - i
		}
	}
	return 0
}
