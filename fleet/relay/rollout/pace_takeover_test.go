package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// Guards against a new decider that takes the evidence from before its start for the typical rate of
// calls, and waits for such a rate until the order's time is over.
func TestNewDeciderWaitsOnlyForFullLoad(t *testing.T) {
	const every = 200 * time.Millisecond
	for _, c := range []struct {
		name          string
		before        int           // answers that others observed before it started
		receivedAfter time.Duration // after its start
		stall         span          // only a quarter of the answers is observed
		earliest      time.Duration
		latest        time.Duration
	}{
		{"nothing was observed before", 0, 0, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"it receives others at once", 8000, 0, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"it receives others a little later", 8000, 200 * time.Millisecond, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"it receives another zone last", 8000, 800 * time.Millisecond, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"the others stall later", 8000, 200 * time.Millisecond, span{1200 * time.Millisecond, 3200 * time.Millisecond}, 4300 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			order := rollout.Order{Service: "s", Target: "v2", Duration: 40 * time.Second, Made: 7}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			status := rollout.Status{State: rollout.InProgress, Stage: rollout.Moving, Target: "v2", Made: 7, Share: 0.05, Used: 20 * time.Second, Left: 2 * time.Second, FullLoad: 1300 * time.Millisecond, Writes: 3}
			d, _ = d.Handle(rollout.StatusLearned{Now: now, Rollout: rollout.Rollout{Order: order, Status: status, Revision: 9, LearnedAt: now}})
			total := 0
			for at := time.Duration(0); at < 10*time.Second; at += every {
				answers := 80
				if at >= c.stall.from && at < c.stall.until {
					answers /= 4
				}
				total += answers
				all := rollout.RouteEvidence{Route: "r", MedianMs: 25}
				for cohort := range 8 {
					all.Target[cohort] = rollout.Count{Answers: total / 8}
					if at >= c.receivedAfter {
						all.Old[cohort] = rollout.Count{Answers: c.before / 8}
					}
				}
				d, _ = d.Handle(rollout.EvidenceUpdated{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{all}}, Now: now.Add(at)})
				var effects []rollout.Effect
				d, effects = d.Handle(rollout.Tick{Now: now.Add(at), Old: 10, Target: 10, Cohorts: 8, Decides: true})
				for _, e := range effects {
					if w, ok := e.(rollout.Write); ok {
						assert.Equal(t, rollout.Completed, w.Status.State)
						assert.GreaterOrEqual(t, at, c.earliest)
						assert.LessOrEqual(t, at, c.latest)
						return
					}
				}
			}
			assert.Fail(t, "nothing was decided")
		})
	}
}

// Guards against a last status that a slow store takes only after the deadline, also where nodes
// stay silent.
func TestASlowStoreGetsTheLastStatusInTime(t *testing.T) {
	const every = 200 * time.Millisecond
	for _, c := range []struct {
		name  string
		takes time.Duration // of a write
	}{
		{"fast", 100 * time.Millisecond},
		{"slow", 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			order := rollout.Order{Service: "s", Target: "v2", Duration: 18 * time.Second, Made: 7}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			r := rollout.Rollout{Order: order, Revision: 8, LearnedAt: now}
			d, _ = d.Handle(rollout.StatusLearned{Now: now, Rollout: r})
			var learnedAt time.Time
			total, began := 0, now
			for at := time.Duration(0); at < 20*time.Second; at += every {
				now = began.Add(at)
				if !learnedAt.IsZero() && !now.Before(learnedAt) {
					r.LearnedAt, learnedAt = now.Add(-c.takes), time.Time{}
					r.Revision++
					d, _ = d.Handle(rollout.StatusLearned{Now: now, Rollout: r})
				}
				moving := r.Status.Stage == rollout.Moving
				if moving {
					total += 20 // the others stay silent
				} else {
					total += 80
				}
				all := rollout.RouteEvidence{Route: "r", MedianMs: 25}
				for cohort := range 8 {
					all.Target[cohort].Answers, all.Old[cohort].Answers = total/80, (total-total/10)/8
				}
				d, _ = d.Handle(rollout.EvidenceUpdated{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{all}}, Now: now})
				var effects []rollout.Effect
				d, effects = d.Handle(rollout.Tick{Now: now, Old: 10, Target: 10, Cohorts: 8, Decides: true})
				for _, e := range effects {
					w, ok := e.(rollout.Write)
					if !ok {
						continue
					}
					if w.Status.State == rollout.Completed {
						assert.True(t, moving)
						assert.LessOrEqual(t, at+c.takes, order.Duration)
						return
					}
					r.Status, learnedAt = w.Status, now.Add(c.takes)
				}
			}
			assert.Fail(t, "nothing was decided")
		})
	}
}
