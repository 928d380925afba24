package rollout

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// plannedTolerancePart is the part of the tolerance that sampling uses: the rest covers sampling
	// variance, calls that reach the service less often than planned, and the move.
	plannedTolerancePart = 0.7
	// moveReserve and moveCalls are the part of the bound that is reserved for the move, as time and
	// as calls: a version that breaks under load in the ramp is dropped within this.
	moveReserve = 1500 * time.Millisecond
	moveCalls   = 15
	// minSampledPart is the minimum part of the bound to sample, where an order is so short that
	// nothing else is left for the move.
	minSampledPart = 0.5
	// maxShare bounds the share where the tolerance alone would allow more.
	maxShare = 0.4
	// maxRouteFactor bounds a route's share as a multiple of the service's: its calls may become
	// more frequent.
	maxRouteFactor = 2.5
	// onceRouteWeight is how many samples a route gets whose calls may run only once, relative to
	// other routes.
	onceRouteWeight = 0.5
)

// Rates is the calls per second by route.
type Rates []Rate

// Rate is the calls per second of a route.
type Rate struct {
	Route     string
	Once      bool
	PerSecond float64
}

// rates returns the answered calls per second between two states of the evidence.
func rates(e Evidence, since Evidence, elapsed time.Duration) Rates {
	if elapsed <= 0 {
		return nil
	}
	all := make(Rates, 0, len(e.Routes))
	for _, r := range e.Routes {
		earlier := since.Route(r.Route)
		answers := r.Old.Plus(r.Target).Sum().Answers - earlier.Old.Plus(earlier.Target).Sum().Answers
		all = append(all, Rate{r.Route, r.Once, float64(answers) / elapsed.Seconds()})
	}
	return all
}

func (r Rates) sum() float64 {
	sum := 0.0
	for _, one := range r {
		sum += one.PerSecond
	}
	return sum
}

// sampledShare returns the share of a service's calls to sample: what the bound leaves beside the
// move, plus what the tolerance allows over the order's duration, which is a large share where there
// are few calls.
func (r Rule) sampledShare(perSecond float64, duration time.Duration) float64 {
	tolerated := 0.0
	if calls := perSecond * duration.Seconds(); calls > 0 {
		tolerated = plannedTolerancePart * float64(r.Tolerance) / calls
	}
	move := (moveReserve.Seconds() + moveCalls/perSecond) / duration.Seconds()
	planned := min(r.Share+tolerated-move, r.Planned*r.Share+tolerated)
	return min(max(planned, minSampledPart*r.Share), max(maxShare, r.Planned*r.Share))
}

// initialShare returns the share to sample before the rate of calls is known.
func (r Rule) initialShare(duration time.Duration) float64 {
	return min(r.sampledShare(math.Inf(1), duration), r.Planned*r.Share)
}

// routeShares divides a share of the service's calls among routes, such that each gets about as many
// samples as another, however often it is called. If the share comes in pulses, it divides a pulse.
func routeShares(share, filled float64, rates Rates) []RouteShare {
	if filled == 0 {
		return divide(share, maxRouteFactor*share, rates)
	}
	return lo.Map(divide(filled, maxPulseShare, rates), func(p RouteShare, _ int) RouteShare {
		return RouteShare{p.Route, p.Share * share / filled}
	})
}

// divide gives routes their parts of a share; what exceeds the maximum of one goes to the others.
func divide(share, maximum float64, rates Rates) []RouteShare {
	left := share * rates.sum()
	chosen := make(map[string]float64, len(rates))
	open := lo.Filter(rates, func(r Rate, _ int) bool { return r.PerSecond > 0 })
	for len(open) > 0 {
		each := left / lo.SumBy(open, Rate.weight)
		capped, rest := lo.FilterReject(open, func(r Rate, _ int) bool { return each*r.weight() > maximum*r.PerSecond })
		for _, r := range capped {
			chosen[r.Route] = maximum
			left -= maximum * r.PerSecond
		}
		if len(capped) == 0 {
			for _, r := range rest {
				chosen[r.Route] = each * r.weight() / r.PerSecond
			}
			break
		}
		open = rest
	}
	return lo.Map(rates, func(r Rate, _ int) RouteShare {
		return RouteShare{r.Route, min(lo.ValueOr(chosen, r.Route, share), 1)}
	})
}

func (r Rate) weight() float64 {
	if r.Once {
		return onceRouteWeight
	}
	return 1
}
