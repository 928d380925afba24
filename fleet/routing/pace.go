package routing

import "time"

// The constants of the estimate.
const (
	paceSmoothing = 0.1    // weight of one stream in the means
	paceDrift     = 1.0002 // how fast the least pace is forgotten, for each stream
	paceFlat      = 1.05   // a mean within this ratio of the least says nothing yet
)

// Pace estimates how the time between tokens of an endpoint's streams grows with
// the calls that run there: a line through the least seen, taken for a stream
// that runs alone, and the means of late. It is not changed in place.
//
// A regression was tried first: the totals come from a lagging report, and noise
// in them flattens its slope.
type Pace struct {
	least float64 // seconds
	gap   float64 // smoothed seconds
	total float64 // smoothed calls
}

// With is the estimate after a stream with a mean time between tokens beside so many calls.
func (p Pace) With(total float64, gap time.Duration) Pace {
	g := gap.Seconds()
	if g <= 0 || total < 1 {
		return p
	}
	if p.least == 0 {
		return Pace{least: g, gap: g, total: total}
	}
	p.least = min(p.least*paceDrift, g)
	p.gap += (g - p.gap) * paceSmoothing
	p.total += (total - p.total) * paceSmoothing
	return p
}

// Calls is how many calls may run so that a stream is slower than alone by a
// factor at most; false while too little is known.
func (p Pace) Calls(factor float64) (float64, bool) {
	if p.least == 0 || p.gap <= p.least*paceFlat || p.total <= 1 {
		return 0, false
	}
	slope := (p.gap - p.least) / (p.total - 1)
	return 1 + (factor-1)*p.least/slope, true
}
