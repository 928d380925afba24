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
}

// DefaultRule returns the defaults; see docs/design/09-scale.md.
func DefaultRule() Rule {
	return Rule{
		MaxWait: 8 * time.Millisecond, MaxBodyTime: 50 * time.Millisecond, MaxSlowShare: 0.5,
		Readings: 2, Decrease: 0.75, Increase: 0.03, MinKept: 0.15, HeavyShare: 0.25,
	}
}

// Minimum samples for a reading to count.
const (
	minBodies = 8 // for the link
	minCalls  = 4 // for the processor: with fewer calls, other work of the node causes the waits
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
}

// census counts calls by customer.
type census struct {
	total      int
	byCustomer map[string]int
}

// NewGate returns a gate that keeps every call.
func NewGate(r Rule) *Gate {
	return &Gate{rule: r, kept: 1, calls: census{byCustomer: map[string]int{}}}
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
	if g.kept >= 1 {
		return true
	}
	const unit = 1 << 53
	draw := float64(ident.Mix(key)>>11) / unit
	return draw >= g.refusedShare(customer)
}

// Heaviest returns the customer that sent the most calls between the last two readings, and its
// share of them. It returns none if there were too few calls.
func (g *Gate) Heaviest() (customer string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.previous.total < minCalls {
		return "", 0
	}
	for name, calls := range g.previous.byCustomer {
		if name == "" {
			continue // calls without a customer
		}
		if of := float64(calls) / float64(g.previous.total); of > share {
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
}

// Read processes a reading of the mean wait for the processor and begins the next interval.
func (g *Gate) Read(wait time.Duration) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Wait: wait, SlowBodies: g.slowBodies, Bodies: g.bodies, Calls: g.calls.total}
	before := g.kept
	longWaits := wait > g.rule.MaxWait && g.calls.total >= minCalls
	slowLink := g.bodies >= minBodies && float64(g.slowBodies) > g.rule.MaxSlowShare*float64(g.bodies)
	g.adjust(longWaits || slowLink)
	g.previous, g.calls = g.calls, census{byCustomer: map[string]int{}}
	g.bodies, g.slowBodies = 0, 0
	s.Kept, s.Changed = g.kept, (before < 1) != (g.kept < 1)
	return s
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
