package rollout

import "time"

const (
	// tolerancePlanned is the part of the tolerance that sampling uses: the rest is for the
	// draw, for calls that reach the service less often than was planned, and for the move.
	tolerancePlanned = 0.5
	// mostShare bounds the share where the tolerance alone would allow more.
	mostShare = 0.4
	// mostPart bounds a route's share against the service's: its calls may come to be more.
	mostPart = 2.5
	// onceWeight is how many samples a route gets whose calls may run only once, where
	// another gets one.
	onceWeight = 0.5
)

// Rates is calls a second by route, and which may run only once.
type Rates []Rate

// Rate is the calls a second of a route.
type Rate struct {
	Route     string
	Once      bool
	PerSecond float64
}

// rates is how often calls were answered since a moment.
func rates(e Evidence, since Evidence, passed time.Duration) Rates {
	all := make(Rates, 0, len(e.Routes))
	for _, r := range e.Routes {
		before := since.Route(r.Route)
		answers := r.Old.Plus(r.Target).Sum().Answers - before.Old.Plus(before.Target).Sum().Answers
		all = append(all, Rate{r.Route, r.Once, float64(answers) / max(passed.Seconds(), 0.1)})
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

// share is the part of a service's calls to sample: of the bound, and of what the
// tolerance allows beyond it over the order's duration where few calls come.
func (r Rule) share(perSecond float64, duration time.Duration) float64 {
	share := r.Planned * r.Share
	if calls := perSecond * duration.Seconds(); calls > 0 {
		share += tolerancePlanned * float64(r.Tolerance) / calls
	}
	return min(share, max(mostShare, r.Planned*r.Share))
}

// parts divides a share of the service's calls by routes, such that each gets about as
// many samples as another, however often it is called.
func parts(share float64, rates Rates) []Part {
	left := share * rates.sum()
	open := make(map[string]bool, len(rates))
	chosen := make(map[string]float64, len(rates))
	for _, r := range rates {
		open[r.Route] = r.PerSecond > 0
	}
	for capped := true; capped && left > 0; {
		capped = false
		weights := 0.0
		for _, r := range rates {
			if open[r.Route] {
				weights += r.weight()
			}
		}
		each := left / max(weights, onceWeight)
		for _, r := range rates {
			if !open[r.Route] {
				continue
			}
			chosen[r.Route] = each * r.weight() / r.PerSecond
			if most := mostPart * share; chosen[r.Route] > most {
				chosen[r.Route], open[r.Route], capped = most, false, true
				left -= most * r.PerSecond
			}
		}
	}
	all := make([]Part, 0, len(rates))
	for _, r := range rates {
		part, known := chosen[r.Route]
		if !known {
			part = share
		}
		all = append(all, Part{r.Route, min(part, 1)})
	}
	return all
}

func (r Rate) weight() float64 {
	if r.Once {
		return onceWeight
	}
	return 1
}
