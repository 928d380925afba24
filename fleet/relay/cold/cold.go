// Package cold says which endpoints are slow after their start, and how many calls one
// bears then: it falls over at well above that.
package cold

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Rule says how far the calls of one second may lie above what a cold endpoint bears.
type Rule struct {
	Overrun   float64 // times what it bears
	Tolerance float64 // calls beyond that
}

// window is the time in which a part may be sent once: a second, and what may lie
// between the choice of an endpoint and the arrival there, so that calls that were
// held up do not meet the next ones.
const window = 1200 * time.Millisecond

// views is how many lists of nodes may be in force at once.
const views = 2

// Most is how many calls all nodes together may send within any second to an
// endpoint that bears so many.
func (r Rule) Most(perSecond float64) int {
	return int(math.Floor(perSecond*r.Overrun + r.Tolerance))
}

// Target is how many calls of one second the parts of all nodes add up to: what the
// endpoint bears, within the bound for each view of the fleet, and one at least.
func (r Rule) Target(perSecond float64) int {
	return max(min(int(math.Floor(perSecond)), r.Most(perSecond)/views), 1)
}

// Bound is what the nodes keep to at a cold endpoint that bears so many a second.
func (r Rule) Bound(perSecond float64) bound.Bound {
	target := r.Target(perSecond)
	return bound.Bound{Window: window, Calls: target, Unsure: target}
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
