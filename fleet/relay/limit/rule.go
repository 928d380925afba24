// Package limit is what a node knows of endpoints in need: each names in its answers how many
// calls a second it takes from all nodes together, for as long as that holds.
//
// A node learns of a limit by an answer of its own or another node's word, and of its end
// by the answer to a call that it sent knowing of it: answers overtake each other, so that
// any other one may be from before. Whoever learns of a change tells the others at once.
package limit

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
)

// Rule says how far the calls of a window may lie above what a limit allows.
type Rule struct {
	Overrun   float64       // times what it allows
	Tolerance float64       // calls beyond that
	Window    time.Duration // in which they are counted
}

const (
	// heldUp is what may lie between the choice of an endpoint and the arrival there.
	heldUp = 200 * time.Millisecond
	// rarest is the time in which an endpoint gets one call however low its limit is: its
	// answer is the only way to learn that the limit is over.
	rarest = bound.Longest
	// mostPerSecond is a rate that no endpoint can get: a higher limit binds nothing.
	mostPerSecond = 1e6
)

// Most is how many calls of a window all nodes together may send under a limit.
func (r Rule) Most(perSecond float64) int {
	return int(math.Floor(r.Overrun*min(perSecond, mostPerSecond)*r.Window.Seconds() + r.Tolerance))
}

// Bound is what the nodes keep to under a limit: all that it allows, and where nodes come
// and go as much as they can send beside those that don't know of it yet. The window is the
// one in which the limit allows a whole number of calls.
func (r Rule) Bound(perSecond float64) bound.Bound {
	perSecond = min(perSecond, mostPerSecond)
	window := (r.Window + heldUp).Seconds()
	calls := max(math.Ceil(perSecond*window), 1)
	if calls > perSecond*window {
		window = min(calls/max(perSecond, 1/rarest.Seconds()), rarest.Seconds())
	}
	most := r.Most(perSecond)
	sure := min(int(calls), most)
	return bound.Bound{
		Window: time.Duration(window * float64(time.Second)),
		Calls:  sure,
		Unsure: max(min(sure, most-sure), 1),
	}
}
