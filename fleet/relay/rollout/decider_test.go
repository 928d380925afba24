package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// A decider that found calls moving, with all who had watched before it lost, completes
// the move only by what it has seen of the target, held against the old version.
func TestNothingKnownIsNoWordForATarget(t *testing.T) {
	known := []rollout.Reference{{Route: "r", Usual: 50 * time.Millisecond, Answers: 100, Bad: 1}}
	for _, c := range []struct {
		name   string
		usual  []rollout.Reference
		target rollout.Count // in each fifth of a second
		want   rollout.State
	}{
		{"sound", known, rollout.Count{Answers: 12}, rollout.Completed},
		{"nothing is known of the old version", nil, rollout.Count{Answers: 12}, rollout.Reverted},
		{"no answers of the target", known, rollout.Count{}, rollout.Reverted},
		{"bad", known, rollout.Count{Answers: 12, Bad: 6}, rollout.Reverted},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			status := rollout.Status{
				State: rollout.InProgress, Stage: rollout.Moving, Target: "v2", Made: 7, Share: 0.05, Used: 6 * time.Second,
				Left: 2 * time.Second, Full: 1300 * time.Millisecond, Writes: 3, Usual: c.usual,
			}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{
				Order: rollout.Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now, Found: true,
			}})
			decided := rollout.Status{State: rollout.InProgress}
			for i := 0; decided.State == rollout.InProgress && i < 60; i++ {
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				seen := rollout.RouteEvidence{Route: "r"}
				for cohort := range 3 {
					seen.Target[cohort] = rollout.Count{Answers: c.target.Answers * i / 3, Bad: c.target.Bad * i / 3}
				}
				d = asked(t, d, rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{seen}}, Now: at}, &decided)
				d = asked(t, d, rollout.Tick{Now: at, Old: 10, Target: 10, Cohorts: 3, Decides: true}, &decided)
			}
			assert.Equal(t, c.want, decided.State)
		})
	}
}

// While one cohort is suspect, and nothing has cleared it, a move waits, and is taken back
// at its end; once others have answered well it is one ill endpoint, and the move goes on.
func TestAMoveIsNotCompletedWhileOneCohortIsSuspect(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int // answers of other cohorts, in each fifth of a second, from the second one on
		want   rollout.State
	}{
		{"nothing clears it", 0, rollout.Reverted},
		{"others clear it", 12, rollout.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			status := rollout.Status{
				State: rollout.InProgress, Stage: rollout.Moving, Target: "v2", Made: 7, Share: 0.05, Used: 8 * time.Second,
				Left: time.Second, Full: time.Second, Writes: 3,
			}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{
				Order: rollout.Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now,
			}})
			decided := rollout.Status{State: rollout.InProgress}
			for i := 0; decided.State == rollout.InProgress && i < 25; i++ {
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				seen := rollout.RouteEvidence{Route: "r"}
				seen.Old[0] = rollout.Count{Answers: 400}
				seen.Target[1] = rollout.Count{Answers: 10, Bad: 10}
				seen.Target[2] = rollout.Count{Answers: 2 + c.others*max(i-1, 0)}
				seen.Target[3] = rollout.Count{Answers: 2 + c.others*max(i-1, 0)}
				d = asked(t, d, rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{seen}}, Now: at}, &decided)
				d = asked(t, d, rollout.Tick{Now: at, Old: 10, Target: 10, Cohorts: 3, Decides: true}, &decided)
			}
			assert.Equal(t, c.want, decided.State)
		})
	}
}

// asked hands a message to a decider and notes the status that it asks for.
func asked(t *testing.T, d rollout.Decider, m rollout.Message, status *rollout.Status) rollout.Decider {
	t.Helper()
	next, effects := d.Handle(m)
	for _, e := range effects {
		if w, ok := e.(rollout.Write); ok {
			t.Log(w.Why)
			*status = w.Status
		}
	}
	return next
}

// Calls move to a target of which little was seen only where so few come that the bounds
// hold whatever it shows.
func TestCallsDoNotMoveToATargetThatWasHardlySeen(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond int
		target    int  // answers in the end
		unseen    bool // another route gets as many calls, and shows nothing of the target
		late      int  // fifths of a second after which this node has begun to count
		moves     bool
	}{
		{"many calls, few answers", 80, 3, false, 0, false},
		{"many calls, answers enough", 80, 20, false, 0, true},
		{"many calls, answers on one of two routes", 80, 20, true, 0, false},
		{"few calls", 5, 1, false, 0, true},
		{"few calls, as far as one knows who has just begun", 5, 1, false, 15, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			status := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 7, Share: 0.05, Used: 100 * time.Millisecond, Writes: 1}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 3 * time.Second})
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{
				Order: rollout.Order{Service: "s", Target: "v2", Duration: 5 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now,
			}})
			moved := false
			for i := c.late; i < 27; i++ { // beyond the order's end
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				seen := rollout.RouteEvidence{Route: "r"}
				seen.Old[0], seen.Target[1] = rollout.Count{Answers: c.perSecond * i / 5}, rollout.Count{Answers: min(c.target, i)}
				routes := []rollout.RouteEvidence{seen}
				if c.unseen {
					routes = append(routes, rollout.RouteEvidence{Route: "q", Old: seen.Old})
				}
				var decided rollout.Status
				d = asked(t, d, rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: routes}, Now: at}, &decided)
				d = asked(t, d, rollout.Tick{Now: at, Old: 2, Target: 2, Cohorts: 2, OldInFlight: 5, Decides: true}, &decided)
				moved = moved || decided.Stage == rollout.Moving
			}
			assert.Equal(t, c.moves, moved)
		})
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

// While calls move, a target of which one cohort alone answers is judged by it: the others
// are down, or cold, and all calls go to the one.
func TestAMoveToTheOneEndpointThatAnswersIsJudgedByIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		stage  rollout.Stage
		others int // answers of another cohort, in each fifth of a second
		bad    bool
	}{
		{"moving, it alone answers", rollout.Moving, 0, true},
		{"moving, another one answers well", rollout.Moving, 6, false},
		{"sampling, one after the other is tried", rollout.Sampling, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			status := rollout.Status{
				State: rollout.InProgress, Stage: c.stage, Target: "v2", Made: 7, Share: 0.05, Used: 4 * time.Second,
				Left: 3 * time.Second, Full: 1300 * time.Millisecond, Writes: 3,
			}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{
				Order: rollout.Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now,
			}})
			found := false
			for i := range 12 {
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				d, _ = d.Handle(rollout.Tick{Now: at, Old: 2, Target: 2, Cohorts: 2, OldInFlight: 5})
				seen := rollout.RouteEvidence{Route: "r"}
				seen.Old[0] = rollout.Count{Answers: 40 * (i + 1), Bad: i}
				seen.Target[1] = rollout.Count{Answers: 3} // before the move
				seen.Target[1].Answers += c.others * i
				seen.Target[3] = rollout.Count{Answers: 6 * i, Bad: 3 * i}
				var effects []rollout.Effect
				d, effects = d.Handle(rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{seen}}, Now: at})
				found = found || len(effects) > 0
			}
			assert.Equal(t, c.bad, found)
		})
	}
}

// Where a target is tried in pulses no node begins one by a status that it found. If all
// did, it is written anew, or nothing would be seen of the target until the end.
func TestPulsesBeginAgainOnceAllNodesHaveStartedAnew(t *testing.T) {
	cases := []struct {
		name   string
		filled float64
		found  bool
		target int // answers of it
		want   bool
	}{
		{"all started anew", 0.5, true, 0, true},
		{"somebody saw it written", 0.5, false, 0, false},
		{"others have seen answers", 0.5, true, 200, false},
		{"no pulses", 0, true, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			status := rollout.Status{
				State: rollout.InProgress, Target: "v2", Made: 7, Share: 0.03, Filled: c.filled, Used: 500 * time.Millisecond, Writes: 2,
				Parts: []rollout.Part{{Route: "r", Share: 0.03}},
			}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{
				Order: rollout.Order{Service: "s", Target: "v2", Duration: 30 * time.Second, Made: 7}, Status: status, Revision: 9, Learned: now, Found: c.found,
			}})
			var effects []rollout.Effect
			for i := range 12 {
				at := now.Add(time.Duration(i) * 200 * time.Millisecond)
				seen := rollout.RouteEvidence{Route: "r"}
				seen.Old[0], seen.Target[3] = rollout.Count{Answers: 30 * (i + 1)}, rollout.Count{Answers: c.target}
				d, _ = d.Handle(rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{seen}}, Now: at})
				var more []rollout.Effect
				d, more = d.Handle(rollout.Tick{Now: at, Old: 2, Target: 2, Cohorts: 2, OldInFlight: 5, Decides: true})
				effects = append(effects, more...)
			}
			if !c.want {
				for _, e := range effects {
					assert.NotContains(t, e.(rollout.Write).Why, "nothing was observed")
				}
				return
			}
			require.NotEmpty(t, effects)
			assert.Contains(t, effects[0].(rollout.Write).Why, "nothing was observed")
			assert.Equal(t, rollout.Sampling, effects[0].(rollout.Write).Status.Stage)
		})
	}
}
