// Package overload detects that a node receives more calls than its processor and link can
// handle, and selects the calls to redirect to other nodes: those of the customers with the
// most calls, early enough for another node to serve them in time.
package overload

import (
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Rule defines when a node is overloaded and how it adjusts the share of calls it keeps.
type Rule struct {
	MaxWait      time.Duration // maximum mean wait of runnable goroutines for the processor
	MaxBodyTime  time.Duration // maximum time to receive a call's body
	MaxSlowShare float64       // maximum share of bodies that exceed MaxBodyTime
	Readings     int           // overloaded readings in a row before calls are redirected; ignores a single burst
	Decrease     float64       // factor on the kept share at each overloaded reading
	Increase     float64       // added to the kept share at each other reading
	MinKept      float64       // minimum share of calls that is kept
	HeavyShare   float64       // minimum share of the calls of a heavy customer

	FloodFactor    float64 // new connections of a reading, as a multiple of the usual ones, from which they are a flood
	FloodMinimum   int     // new connections of a reading below which they are none
	FloodCustomer  float64 // share of the calls of one customer from which it is that customer's and no flood
	UsualSmoothing float64 // weight of a reading in the usual number of new connections
	OverSmoothing  float64 // the same while the node is overloaded: a flood must not become usual
}

// DefaultRule returns the defaults; see docs/design/09-scale.md.
func DefaultRule() Rule {
	return Rule{
		MaxWait: 8 * time.Millisecond, MaxBodyTime: 50 * time.Millisecond, MaxSlowShare: 0.5,
		Readings: 2, Decrease: 0.75, Increase: 0.03, MinKept: 0.15, HeavyShare: 0.25,
		FloodFactor: 2, FloodMinimum: 4, FloodCustomer: 0.6, UsualSmoothing: 0.05, OverSmoothing: 0.005,
	}
}

// Minimum samples for a reading to count.
const (
	minBodies = 8 // for the link
	minCalls  = 4 // for the processor: with fewer calls, other work of the node causes the waits

	minFloodCalls = 16 // to tell whether most calls are of one customer: a node that closes connections gets few
)

// Gate decides which calls a node keeps. It is safe for concurrent use.
type Gate struct {
	rule Rule

	mu         sync.Mutex
	kept       float64 // share of the calls that is kept
	overloaded int     // overloaded readings in a row
	calls      census  // since the last reading
	previous   census  // of the previous reading
	bodies     int
	slowBodies int

	accepted int     // new connections since the last reading
	closed   int     // of these, those that were closed unread
	usual    float64 // smoothed new connections of a reading; below 0: none was read yet
	flooded  bool    // the balancer hands this node far more new connections than usual

	oneCustomer bool // most calls are of one customer
}

// census counts calls by customer.
type census struct {
	total      int
	byCustomer map[string]int
}

// NewGate returns a gate that keeps every call.
func NewGate(r Rule) *Gate {
	return &Gate{rule: r, kept: 1, calls: census{byCustomer: map[string]int{}}, usual: -1}
}

// RecordBody records how long it took to receive the body of a call.
func (g *Gate) RecordBody(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies++
	if took > g.rule.MaxBodyTime {
		g.slowBodies++
	}
}

// Admit counts a call of a customer and reports whether this node keeps it. The key, a hash of
// the call's id, selects among the calls of one customer.
func (g *Gate) Admit(customer string, key uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls.total++
	g.calls.byCustomer[customer]++
	if g.kept >= 1 || g.closesConnections() && g.kept > g.rule.MinKept {
		return true
	}
	return draw(key) >= g.refusedShare(customer)
}

// draw returns a number from 0 to 1 by a key.
func draw(key uint64) float64 {
	const unit = 1 << 53
	return float64(ident.Mix(key)>>11) / unit
}

// TakeConnection counts a new connection and reports whether this node takes it. One that is closed
// before anything of a call is read costs its caller less than a refusal: the balancer hands the
// next one to another node, and the call may be sent again whatever it is. The key selects among
// the connections.
func (g *Gate) TakeConnection(key uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepted++
	if !g.closesConnections() || draw(key) < g.kept {
		return true
	}
	g.closed++
	return false
}

// closesConnections reports whether the excess is taken from new connections, before calls.
func (g *Gate) closesConnections() bool { return g.flooded && g.kept < 1 }

// Heaviest returns the customer that sent the most calls between the last two readings, and its
// share of them. It returns none if there were too few calls.
func (g *Gate) Heaviest() (customer string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.previous.heaviest()
}

// heaviest returns the customer with the most calls, and its share of them; none if there were too few.
func (c census) heaviest() (customer string, share float64) {
	if c.total < minCalls {
		return "", 0
	}
	for name, calls := range c.byCustomer {
		if name == "" {
			continue // calls without a customer
		}
		if of := float64(calls) / float64(c.total); of > share {
			customer, share = name, of
		}
	}
	return customer, share
}

// refusedShare returns the share of a customer's calls that go to other nodes. If there are heavy
// customers, the whole excess is taken from them.
func (g *Gate) refusedShare(customer string) float64 {
	heavy := 0.0
	for _, calls := range g.previous.byCustomer {
		if share := float64(calls) / float64(g.previous.total); share >= g.rule.HeavyShare {
			heavy += share
		}
	}
	excess := 1 - g.kept
	switch {
	case heavy == 0:
		return excess
	case float64(g.previous.byCustomer[customer]) < g.rule.HeavyShare*float64(g.previous.total):
		return 0
	default:
		return min(excess/heavy, 1-g.rule.MinKept)
	}
}

// State is the result of a reading, for the log.
type State struct {
	Kept       float64       // share of the calls that is kept
	Changed    bool          // the gate began or ceased to redirect calls
	Wait       time.Duration // mean wait for the processor
	SlowBodies int           // bodies received slowly
	Bodies     int           // all bodies received
	Calls      int
	Accepted   int  // new connections
	Closed     int  // of these, those that were closed unread
	Flooded    bool // the node gets far more new connections than usual
}

// Read processes a reading of the mean wait for the processor and begins the next interval.
func (g *Gate) Read(wait time.Duration) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Wait: wait, SlowBodies: g.slowBodies, Bodies: g.bodies, Calls: g.calls.total}
	before := g.kept
	longWaits := wait > g.rule.MaxWait && g.calls.total >= minCalls
	slowLink := g.bodies >= minBodies && float64(g.slowBodies) > g.rule.MaxSlowShare*float64(g.bodies)
	s.Accepted, s.Closed = g.accepted, g.closed
	g.adjust(longWaits || slowLink)
	g.detectFlood()
	s.Flooded = g.flooded
	g.previous, g.calls = g.calls, census{byCustomer: map[string]int{}}
	g.bodies, g.slowBodies = 0, 0
	s.Kept, s.Changed = g.kept, (before < 1) != (g.kept < 1)
	return s
}

// detectFlood compares the new connections since the last reading with the usual ones. One customer's
// are no flood: the balancer hands them to this node again.
func (g *Gate) detectFlood() {
	accepted := g.accepted
	g.accepted, g.closed = 0, 0
	if g.usual < 0 {
		g.usual = float64(accepted)
	}
	if g.calls.total >= minFloodCalls {
		_, heaviest := g.calls.heaviest()
		g.oneCustomer = heaviest >= g.rule.FloodCustomer
	}
	g.flooded = accepted >= g.rule.FloodMinimum && float64(accepted) > g.rule.FloodFactor*g.usual && !g.oneCustomer
	weight := g.rule.UsualSmoothing
	if g.kept < 1 {
		weight = g.rule.OverSmoothing
	}
	g.usual += weight * (float64(accepted) - g.usual)
}

func (g *Gate) adjust(overloaded bool) {
	if !overloaded {
		g.overloaded = 0
		g.kept = min(g.kept+g.rule.Increase, 1)
		return
	}
	g.overloaded++
	if g.overloaded >= g.rule.Readings {
		g.kept = max(g.kept*g.rule.Decrease, g.rule.MinKept)
	}
}
