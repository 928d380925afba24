package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against nodes that each start a pulse when they find a status: restarted one after the
// other, they would send the target more than its mean share.
func TestRestartedNodeStartsNoPulse(t *testing.T) {
	status := Status{State: InProgress, Share: 0.05, PulseShare: 0.5}
	learned := planOf(status)
	r := Rollout{Order: order("v2", 10), Status: status, Revision: 20, LearnedAt: epoch, AgeUnknown: true}
	r.Status.Target, r.Status.Made = "v2", 10
	found := NewPlan(r)
	inPulse := Call{Route: "r", Now: epoch.Add(pulseDuration / 2)}
	assert.InDelta(t, 0.5, targetShare(learned, inPulse), 0.02)
	assert.Zero(t, targetShare(found, inPulse))
	mean := 0.0
	const steps = 170 // of 0.1 s: one period
	for i := range steps {
		mean += targetShare(found, Call{Route: "r", Now: epoch.Add(time.Duration(i) * 100 * time.Millisecond)}) / steps
	}
	assert.InDelta(t, 0.05, mean, 0.01)
}
