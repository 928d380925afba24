package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// firstWrite runs the decider of an order of 20 s and returns its first write until a time, and when
// it came. The old version receives 100 calls per second on one route, and the target some.
func firstWrite(used, until time.Duration, before rollout.Count, target func(i int) rollout.Count) (*rollout.Write, time.Duration) {
	const every = 200 * time.Millisecond
	now := time.Unix(1000, 0)
	status := rollout.Status{
		State: rollout.InProgress, Target: "v2", Made: 7, Share: 0.05, Used: used, Writes: 2, RouteShares: []rollout.RouteShare{{Route: "r", Share: 0.05}},
	}
	d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
	d, _ = d.Handle(rollout.StatusLearned{Now: now, Rollout: rollout.Rollout{
		Order: rollout.Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Made: 7}, Status: status, Revision: 9, LearnedAt: now,
	}})
	for i := 0; time.Duration(i)*every <= until; i++ {
		at := now.Add(time.Duration(i) * every)
		route := rollout.RouteEvidence{Route: "r"}
		for c := range rollout.Cohorts {
			route.Old[c] = rollout.Count{Answers: 20 * (i + 1) / rollout.Cohorts}
		}
		more := target(i)
		route.Target[1] = rollout.Count{Answers: (before.Answers + more.Answers) / 2, Bad: (before.Bad + more.Bad) / 2}
		route.Target[2] = rollout.Count{Answers: before.Answers + more.Answers - route.Target[1].Answers, Bad: before.Bad + more.Bad - route.Target[1].Bad}
		d, _ = d.Handle(rollout.EvidenceUpdated{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{route}}, Now: at})
		_, effects := d.Handle(rollout.Tick{Now: at, Old: 40, Target: 40, Cohorts: 16, OldInFlight: 5, MaxRemaining: 100 * time.Millisecond, Decides: true})
		for _, e := range effects {
			if w, ok := e.(rollout.Write); ok {
				return &w, at.Sub(now)
			}
		}
	}
	return nil, 0
}

// The target receives what is planned until the move and no more: the share rises where it received
// less, and falls where it received more, as from pulses.
func TestShareCompensatesForEarlierSampling(t *testing.T) {
	share := func(answers int) float64 {
		w, _ := firstWrite(2*time.Second, 8*time.Second, rollout.Count{Answers: answers}, func(int) rollout.Count { return rollout.Count{} })
		require.NotNil(t, w)
		require.Equal(t, rollout.Sampling, w.Status.Stage, w.Why)
		return w.Status.Share
	}
	little, some, much := share(0), share(60), share(400)
	assert.Greater(t, little, some)
	assert.Greater(t, some, much)
	assert.Positive(t, much, "sampling continues")
	assert.Less(t, much, 0.03)
	assert.Less(t, little, 0.2)
}

// Guards against moving all calls to a target that is in doubt when the move would have to start: a
// share of the calls can no longer decide.
func TestATargetInDoubtIsRevertedBeforeTheMove(t *testing.T) {
	cases := []struct {
		name string
		bad  int // of 40 answers
		want rollout.Status
	}{
		{"in no doubt", 0, rollout.Status{State: rollout.InProgress, Stage: rollout.Moving}},
		{"in doubt", 5, rollout.Status{State: rollout.Reverted}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, _ := firstWrite(11*time.Second, 9*time.Second, rollout.Count{}, func(i int) rollout.Count {
				return rollout.Count{Answers: min(2*i, 40), Bad: min(i/4, c.bad)}
			})
			require.NotNil(t, w)
			assert.Equal(t, c.want.State, w.Status.State, w.Why)
			assert.Equal(t, c.want.Stage, w.Status.Stage, w.Why)
		})
	}
}

// Guards against retries of a refused write that load the store: each one is a call to it.
func TestRefusedWriteIsRetriedLessOften(t *testing.T) {
	const step = 50 * time.Millisecond
	start := time.Unix(1000, 0)
	d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
	d, _ = d.Handle(rollout.StatusLearned{Now: start, Rollout: rollout.Rollout{
		Order: rollout.Order{Service: "s", Target: "v2", Duration: 30 * time.Second, Made: 7}, Revision: 9, LearnedAt: start,
	}})
	var delays []time.Duration
	last := start
	for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(step) {
		var effects []rollout.Effect
		d, effects = d.Handle(rollout.Tick{Now: now, Old: 10, Target: 10, Cohorts: 8, Decides: true})
		if len(effects) == 0 {
			continue
		}
		delays, last = append(delays, now.Sub(last)), now
		d, _ = d.Handle(rollout.WriteRefused{Now: now})
	}
	short, long := 500*time.Millisecond, 750*time.Millisecond
	assert.Equal(t, []time.Duration{0, short, short, short, short, long, long, long, long, long}, delays)
}
