package rollout

import (
	"math"
	"time"
)

// priorAnswers is the number of answers for which an expectation counts.
const priorAnswers = 3

// routeSlowness is what one node knows of the old version's slowness on a route, relative to the
// expected times.
type routeSlowness struct {
	median  float64 // median of its logarithm
	answers int     // number of answers behind it
}

// nextMedianMs returns the median time of answers in ms after one more answer. Later answers move it
// by ever smaller steps.
func (s *routeSlowness) nextMedianMs(medianMs float64, one time.Duration) float64 {
	ms := float64(one) / float64(time.Millisecond)
	switch {
	case ms <= 0:
		return medianMs
	case medianMs <= 0:
		return ms
	}
	step := max(routeStep, 1/float64(s.answers+1))
	return medianMs * math.Exp(max(min(math.Log(ms/medianMs), step), -step))
}

// excess returns how far the logarithm of an answer's slowness lies above the median. It updates the
// median unless fixed is set, as for answers of the target and for lower bounds. A first answer far
// from the expectation sets the median, and later ones move it by ever smaller steps, as if three had
// been as expected. With expectations that are far too low, a slower start would count many answers
// of the old version as slow, which would hide a bad target.
func (s *routeSlowness) excess(logSlowness float64, fixed bool) float64 {
	excess := logSlowness - s.median
	switch {
	case s.answers == 0 && !fixed && math.Abs(excess) > math.Ln2:
		s.median, excess = s.median+excess, 0
	case !fixed:
		step := max(routeStep, 1/float64(s.answers+priorAnswers))
		s.median += max(min(excess, step), -step)
	}
	if !fixed {
		s.answers++
	}
	return excess
}
