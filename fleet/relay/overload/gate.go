// Package overload tells when a node takes more calls than its processor and link
// carry, and which calls are to go to other nodes then: those of the customers that
// send most, early, while another node can still serve them in time.
package overload

import (
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Rule says when a node is overloaded and how it goes back to what it carries.
type Rule struct {
	Wait      time.Duration // mean wait of runnable goroutines for the processor that is too long
	Body      time.Duration // time for a call's body to come in that is too long
	BodyShare float64       // share of the bodies that took so long which is too many
	Steps     int           // overloaded readings in a row before calls are handed on, so that one burst changes nothing
	Cut       float64       // of the kept share, at each overloaded reading
	Grow      float64       // added to the kept share at each other reading
	Least     float64       // share of the calls that is kept in any case
	Heavy     float64       // share of the calls from which a customer counts as heavy
}

// DefaultRule is what measurements led to; docs/design/09-scale.md.
func DefaultRule() Rule {
	return Rule{
		Wait: 8 * time.Millisecond, Body: 50 * time.Millisecond, BodyShare: 0.5,
		Steps: 2, Cut: 0.75, Grow: 0.03, Least: 0.15, Heavy: 0.25,
	}
}

// Bounds below which a reading says nothing.
const (
	leastBodies = 8 // of the link
	leastCalls  = 4 // of the calls: what else the node does makes it wait
)

// Gate decides which calls a node keeps. It is safe for concurrent use.
type Gate struct {
	rule Rule

	mu         sync.Mutex
	kept       float64 // share of the calls that is kept
	over       int     // overloaded readings in a row
	calls      census  // since the last reading
	before     census  // of the reading before
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

// Body notes how long the body of a call took to come in.
func (g *Gate) Body(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies++
	if took > g.rule.Body {
		g.slowBodies++
	}
}

// Keep counts a call of a customer and is whether this node keeps it. The key, a
// hash of the call's id, draws among the calls of one customer.
func (g *Gate) Keep(customer string, key uint64) bool {
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

// Heaviest names the customer that sent most calls between the last two readings, and
// its share of them; none where too few came to tell.
func (g *Gate) Heaviest() (customer string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.before.total < leastCalls {
		return "", 0
	}
	for name, calls := range g.before.byCustomer {
		if name == "" {
			continue // of no customer
		}
		if of := float64(calls) / float64(g.before.total); of > share {
			customer, share = name, of
		}
	}
	return customer, share
}

// refusedShare is the share of a customer's calls that go to other nodes: the whole
// excess is taken from the heavy customers, where there are any.
func (g *Gate) refusedShare(customer string) float64 {
	heavy := 0.0
	for _, calls := range g.before.byCustomer {
		if share := float64(calls) / float64(g.before.total); share >= g.rule.Heavy {
			heavy += share
		}
	}
	excess := 1 - g.kept
	switch {
	case heavy == 0:
		return excess
	case float64(g.before.byCustomer[customer]) < g.rule.Heavy*float64(g.before.total):
		return 0
	default:
		return min(excess/heavy, 1-g.rule.Least)
	}
}

// State is what a gate does after a reading, for the log.
type State struct {
	Kept    float64       // share of the calls that is kept
	Changed bool          // it began or ceased to hand calls on
	Wait    time.Duration // for the processor, as read
	Slow    int           // bodies that came in slowly
	Bodies  int           // of so many
	Calls   int
}

// Read takes in a reading of the waits for the processor, and begins the next one.
func (g *Gate) Read(wait time.Duration) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Wait: wait, Slow: g.slowBodies, Bodies: g.bodies, Calls: g.calls.total}
	full := g.kept
	busy := wait > g.rule.Wait && g.calls.total >= leastCalls
	choked := g.bodies >= leastBodies && float64(g.slowBodies) > g.rule.BodyShare*float64(g.bodies)
	g.adjust(busy || choked)
	g.before, g.calls = g.calls, census{byCustomer: map[string]int{}}
	g.bodies, g.slowBodies = 0, 0
	s.Kept, s.Changed = g.kept, (full < 1) != (g.kept < 1)
	return s
}

func (g *Gate) adjust(overloaded bool) {
	if !overloaded {
		g.over = 0
		g.kept = min(g.kept+g.rule.Grow, 1)
		return
	}
	g.over++
	if g.over >= g.rule.Steps {
		g.kept = max(g.kept*g.rule.Cut, g.rule.Least)
	}
}
