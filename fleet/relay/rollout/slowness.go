package rollout

import "math"

// slowness is what one node knows of how slow a route's answers of the old version
// usually are, against what was expected of them.
type slowness struct {
	usual   float64 // median of its logarithm
	answers int     // that it is known from
}

// slow is whether an answer took several times what is usual. The first answer tells
// what that is, whatever was expected, and the next ones move it by ever smaller steps:
// where expectations were ten times too low, a start from them had a node's first 80
// answers of the old version count as slow, which hid any target that was bad.
func (k *slowness) slow(times float64, target bool) bool {
	lies := math.Log(times) - k.usual
	switch {
	case k.answers == 0 && target:
		return false
	case k.answers == 0:
		k.usual, lies = k.usual+lies, 0
	case !target:
		step := max(usualStep, 1/float64(k.answers+1))
		k.usual += max(min(lies, step), -step)
	}
	if !target {
		k.answers++
	}
	return lies > math.Log(slowTimes)
}
