package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// A decider that starts anew in the midst of an order, late as far as it knows, moves no
// calls to a target of which it has seen nothing.
func TestADeciderThatStartsAnewWatchesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	status := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 7, Share: 0.03, Used: 200 * time.Millisecond, Writes: 1}
	found := rollout.Rollout{Order: rollout.Order{Service: "s", Target: "v2", Duration: 8 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now, Found: true}
	d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
	d, _ = d.Handle(rollout.Learned{Rollout: found, Now: now})
	for i := range 5 { // a second
		at := now.Add(time.Duration(i) * 200 * time.Millisecond)
		var effects []rollout.Effect
		d, effects = d.Handle(rollout.Tick{Now: at, Old: 10, Target: 10, OldInFlight: 5, Decides: true})
		assert.Empty(t, effects)
		seen := rollout.RouteEvidence{Route: "r"}
		seen.Old[0] = rollout.Count{Answers: 20 * (i + 1)}
		seen.Target[0] = rollout.Count{Answers: i}
		d, effects = d.Handle(rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{seen}}, Now: at})
		assert.Empty(t, effects)
	}
}

// A target whose endpoints all count in one cohort, as one endpoint alone does, is found
// bad by that cohort; where there are others, they are heard first.
func TestATargetInOneCohortIsJudgedByIt(t *testing.T) {
	for _, c := range []struct {
		name    string
		cohorts int
		bad     bool
	}{{"alone", 1, true}, {"one of three", 3, false}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			status := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 7, Share: 0.05, Used: time.Second, Writes: 2}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{
				Order: rollout.Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now,
			}})
			found := false
			for i := range 5 {
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				d, _ = d.Handle(rollout.Tick{Now: at, Old: 2, Target: 2, Cohorts: c.cohorts, OldInFlight: 5})
				seen := rollout.RouteEvidence{Route: "r"}
				seen.Old[0] = rollout.Count{Answers: 40 * (i + 1), Bad: i}
				seen.Target[3] = rollout.Count{Answers: 6 * i, Bad: 3 * i}
				var effects []rollout.Effect
				d, effects = d.Handle(rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{seen}}, Now: at})
				found = found || len(effects) > 0
			}
			assert.Equal(t, c.bad, found)
		})
	}
}
