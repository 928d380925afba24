package cold

import (
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// window is the time in which a part may be sent once: a second, and what may lie
// between the choice of an endpoint and the arrival there, so that calls that were
// held up do not meet the next ones.
const window = 1200 * time.Millisecond

// settle is how long the list of nodes must be known before a node takes a part: one
// that has just started may be alone in its view, and its earlier life may have sent.
const settle = 2 * time.Second

// Gate keeps one node's part at each cold endpoint. It is safe for concurrent use.
type Gate struct {
	rule Rule
	self string

	mu      sync.Mutex
	fleet   Fleet
	left    bool                   // it is about to end, and other nodes no longer count on it
	settled time.Time              // from then on it takes its parts; zero: no list yet
	sent    map[string][]time.Time // by the endpoint's id: calls of the last window, the oldest first
	begun   map[string]time.Time   // by the endpoint's id: until then its new life gets nothing
}

// NewGate returns the gate of a node that knows no list of nodes yet.
func NewGate(self string, r Rule) *Gate {
	return &Gate{rule: r, self: self, sent: map[string][]time.Time{}, begun: map[string]time.Time{}}
}

// Nodes sets which nodes there are, by name.
func (g *Gate) Nodes(names []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet = NewFleet(g.self, names)
	if g.settled.IsZero() {
		g.settled = now.Add(settle)
	}
}

// Settle has the node take no part until the list of nodes can be known anew: others may
// have joined while its VM was suspended, and its part be smaller.
func (g *Gate) Settle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.settled.IsZero() {
		g.settled = now.Add(settle)
	}
}

// Leave gives this node's parts up for good.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = true
}

// Begin takes in that an endpoint has started again under its id, and when this node last
// sent a call that was meant for the life before. Such calls may have reached the new one,
// unbounded: it gets none of this node until the last of them is a window old.
func (g *Gate) Begin(id string, sent, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for known, until := range g.begun {
		if !now.Before(until) {
			delete(g.begun, known)
		}
	}
	if until := sent.Add(window); now.Before(until) {
		g.begun[id] = until
	}
}

// Cold is whether an endpoint is slow now, as far as is known: by its own word, or
// since it started again, or its zone was given back, less than a start ago.
func Cold(e engine.Engine, start time.Duration, now time.Time) bool {
	return now.Before(e.ColdUntil) || within(e.RebornAt, start, now) || within(e.ReturnedAt, start, now)
}

// within is whether something came less than a time ago; zero: it never did.
func within(at time.Time, length time.Duration, now time.Time) bool {
	return !at.IsZero() && now.Before(at.Add(length))
}

// May is whether this node may send one more call now to a cold endpoint that bears
// so many a second.
func (g *Gate) May(e engine.Engine, perSecond float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left || g.settled.IsZero() || now.Before(g.settled) || now.Before(g.begun[e.ID]) {
		return false
	}
	return len(g.lately(e.ID, now)) < g.fleet.Part(e.Hash, g.rule.Target(perSecond))
}

// Sent notes a call to a cold endpoint.
func (g *Gate) Sent(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent[id] = append(g.lately(id, now), now)
}

// lately drops what was sent before the window, and returns the rest.
func (g *Gate) lately(id string, now time.Time) []time.Time {
	calls := g.sent[id]
	for len(calls) > 0 && now.Sub(calls[0]) >= window {
		calls = calls[1:]
	}
	if len(calls) == 0 {
		delete(g.sent, id)
		return nil
	}
	g.sent[id] = calls
	return calls
}
