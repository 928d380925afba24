package rollout_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// Guards against expectations that are far off: slow is relative to the old version's own answers,
// from the first one on.
func TestSlownessBaselineStartsWithFirstAnswer(t *testing.T) {
	for _, typical := range []float64{0.1, 1, 11} {
		r := rollout.NewRecorder(rollout.Order{Service: "s", Made: 1})
		add := func(target bool, slowness float64) {
			r.Add(rollout.Sample{Service: "s", Route: "r", Target: target, Slowness: slowness})
		}
		add(true, 4*typical) // no baseline to compare with yet
		for range 20 {
			add(false, typical)
			add(true, 1.2*typical)
			add(true, 4*typical)
		}
		observed := r.Evidence().Route("r")
		assert.Equal(t, rollout.Count{Answers: 20}, observed.Old.Sum(), typical)
		assert.Equal(t, rollout.Count{Answers: 41, Bad: 20}, observed.Target.Sum(), typical)
	}
}
