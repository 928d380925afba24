// Package cold decides which endpoints are slow after their start, and how many calls such an
// endpoint gets: well above that it fails.
package cold

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Rule defines how far the calls in one second may exceed what a cold endpoint takes.
type Rule struct {
	Overrun   float64 // factor on what it takes
	Tolerance float64 // calls on top of that
}

// window is the time in which a share may be sent once: a second, plus the time that may pass
// between the choice of an endpoint and the arrival there, so that delayed calls don't coincide
// with the next ones.
const window = 1200 * time.Millisecond

// maxViews is how many lists of nodes may be in use at once.
const maxViews = 2

// MaxCalls returns how many calls all nodes together may send within any second to an endpoint with
// the given rate.
func (r Rule) MaxCalls(perSecond float64) int {
	return int(math.Floor(perSecond*r.Overrun + r.Tolerance))
}

// Target returns the number of calls in one second that the shares of all nodes add up to: the
// endpoint's rate, but at most the bound divided by the lists of nodes in use, and at least one.
func (r Rule) Target(perSecond float64) int {
	return max(min(int(math.Floor(perSecond)), r.MaxCalls(perSecond)/maxViews), 1)
}

// Bound returns the bound that the nodes keep at a cold endpoint with the given rate.
func (r Rule) Bound(perSecond float64) bound.Bound {
	target := r.Target(perSecond)
	return bound.Bound{Window: window, Calls: target, Unsure: target}
}

// IsCold reports whether an endpoint is slow now, as far as this node knows: the endpoint
// reports it itself, or it restarted or its zone was given back less than one start time ago.
func IsCold(e engine.Engine, start time.Duration, now time.Time) bool {
	return now.Before(e.ColdUntil) || isWithin(e.RestartedAt, start, now) || isWithin(e.ReturnedAt, start, now)
}

// isWithin reports whether a time lies less than the given length in the past; the zero time
// never does.
func isWithin(at time.Time, length time.Duration, now time.Time) bool {
	return !at.IsZero() && now.Before(at.Add(length))
}
