package routing

import "time"

// The parameters of the estimate.
const (
	intervalSmoothing = 0.1    // weight of one stream in the moving averages
	baselineDrift     = 1.0002 // factor by which the baseline grows with each stream, so that an old minimum decays
	minSlowdown       = 1.05   // a mean within this ratio of the baseline gives no estimate
)

// IntervalEstimate estimates how the time between tokens of an endpoint's streams grows
// with the number of calls that run there. It is a line through the smallest observed
// interval, taken as that of a stream that runs alone, and the recent averages. It is
// immutable.
//
// It is not a linear regression: the numbers of calls come from a lagging report, and
// noise in them flattens the slope of a regression.
type IntervalEstimate struct {
	baseline float64 // smallest interval, in seconds
	interval float64 // moving average, in seconds
	calls    float64 // moving average of the calls at the endpoint
}

// With returns the estimate after a stream with a mean time between tokens, observed while
// the given number of calls were at the endpoint.
func (e IntervalEstimate) With(calls float64, interval time.Duration) IntervalEstimate {
	seconds := interval.Seconds()
	if seconds <= 0 || calls < 1 {
		return e
	}
	if e.baseline == 0 {
		return IntervalEstimate{baseline: seconds, interval: seconds, calls: calls}
	}
	e.baseline = min(e.baseline*baselineDrift, seconds)
	e.interval += (seconds - e.interval) * intervalSmoothing
	e.calls += (calls - e.calls) * intervalSmoothing
	return e
}

// Calls returns how many calls may run at the endpoint so that a stream is slower than
// alone by at most a factor. It returns false while there is too little evidence.
func (e IntervalEstimate) Calls(factor float64) (float64, bool) {
	if e.baseline == 0 || e.interval <= e.baseline*minSlowdown || e.calls <= 1 {
		return 0, false
	}
	slope := (e.interval - e.baseline) / (e.calls - 1)
	return 1 + (factor-1)*e.baseline/slope, true
}
