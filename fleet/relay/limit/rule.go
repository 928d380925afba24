// Package limit tracks the limits of endpoints that ask for fewer calls. Such an endpoint names
// in its answers how many calls per second it accepts from all nodes together, for as long as that holds.
//
// A node learns of a limit from an answer of its own or from another node's report. It learns of
// the end of a limit from the answer to a call that it sent after it knew of the limit: answers
// can overtake each other, so any other answer may be older than the limit. A node that learns
// of a change announces it at once.
package limit

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
)

// Rule defines how far the calls in a window may exceed what a limit allows.
type Rule struct {
	Overrun   float64       // factor on what it allows
	Tolerance float64       // calls on top of that
	Window    time.Duration // in which calls are counted
}

const (
	// maxTransit is the maximum time between the choice of an endpoint and the arrival there.
	maxTransit = 200 * time.Millisecond
	// maxCallInterval is the time in which an endpoint gets one call however low its limit is: only
	// an answer shows that the limit is over.
	maxCallInterval = bound.MaxWindow
	// maxPerSecond is a rate that no endpoint receives: a higher limit has no effect.
	maxPerSecond = 1e6
)

// MaxCalls returns how many calls in a window all nodes together may send under a limit.
func (r Rule) MaxCalls(perSecond float64) int {
	return int(math.Floor(r.Overrun*min(perSecond, maxPerSecond)*r.Window.Seconds() + r.Tolerance))
}

// Bound returns the bound that the nodes keep under a limit: all that it allows or, while the
// list of nodes changes, as much as they may send in addition to nodes with the old list. The
// window is extended to one in which the limit allows a whole number of calls.
func (r Rule) Bound(perSecond float64) bound.Bound {
	perSecond = min(perSecond, maxPerSecond)
	window := (r.Window + maxTransit).Seconds()
	calls := max(math.Ceil(perSecond*window), 1)
	if calls > perSecond*window {
		window = min(calls/max(perSecond, 1/maxCallInterval.Seconds()), maxCallInterval.Seconds())
	}
	most := r.MaxCalls(perSecond)
	settled := min(int(calls), most)
	return bound.Bound{
		Window: time.Duration(window * float64(time.Second)),
		Calls:  settled,
		Unsure: max(min(settled, most-settled), 1),
	}
}
