package suspicion

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A flapping endpoint costs a fleet of 60 nodes a bounded number of non-repeatable calls: a few
// each time it goes down, not one per node.
func TestFlappingEndpointCostsFewCalls(t *testing.T) {
	const seeds = 10
	alone := total(t, newModel(before, flapping, 0), seeds)
	reported := total(t, newModel(delegates, flapping, 0), seeds)
	t.Logf("non-repeatable calls lost, mean of %d seeds: own failures only %d, with reports %d", seeds, alone.once, reported.once)
	assert.LessOrEqual(t, reported.once, 60)
	assert.LessOrEqual(t, 2*reported.once, alone.once)
}

// Compares the methods by the non-repeatable calls that are lost and by how long healthy endpoints are
// avoided, if these fail three hundredths of their calls.
func TestCompareReportingMethods(t *testing.T) {
	const seeds = 4
	faults := []struct {
		name   string
		behave behavior
	}{{"flap", flapping}, {"grey", grey}, {"healthy", allHealthy}}
	for _, f := range faults {
		for _, w := range []method{before, delegates, direct, rates} {
			l := total(t, newModel(w, f.behave, 0), seeds)
			t.Logf("%s, %s: lost %d, healthy endpoints avoided %.2f%% of the time, %d messages", f.name, w, l.once, 100*l.healthyAvoided, l.messages)
		}
		m := newModel(delegates, f.behave, 0)
		m.rule.ZoneShare = 0
		l := total(t, m, seeds)
		t.Logf("%s, delegates, two reports of any kind: lost %d, healthy endpoints avoided %.2f%% of the time", f.name, l.once, 100*l.healthyAvoided)
	}
	calm := total(t, newModel(delegates, allHealthy, 0), seeds)
	assert.LessOrEqual(t, calm.healthyAvoided, 0.005, "healthy endpoints are hardly ever avoided")
}
