package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// What others saw before a decider began is not taken for calls that usually come: the order
// would wait for these until its time is over.
func TestADeciderThatTakesOverWaitsForNoMoreThanItsProof(t *testing.T) {
	const every = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		before int           // answers that others have seen when it begins
		heard  time.Duration // after it began
		stood  span          // nobody sees more than a quarter
		least  time.Duration
		latest time.Duration
	}{
		{"nothing was seen before", 0, 0, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"it hears others at once", 8000, 0, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"it hears others a little later", 8000, 200 * time.Millisecond, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"it hears another zone last", 8000, 800 * time.Millisecond, span{}, 2 * time.Second, 3500 * time.Millisecond},
		{"the others stand still later", 8000, 200 * time.Millisecond, span{1200 * time.Millisecond, 3200 * time.Millisecond}, 4300 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			order := rollout.Order{Service: "s", Target: "v2", Duration: 40 * time.Second, Made: 7}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			status := rollout.Status{State: rollout.InProgress, Stage: rollout.Moving, Target: "v2", Made: 7, Share: 0.05, Used: 20 * time.Second, Left: 2 * time.Second, Full: 1300 * time.Millisecond, Writes: 3}
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: rollout.Rollout{Order: order, Status: status, Revision: 9, Learned: now}})
			seen := 0
			for at := time.Duration(0); at < 10*time.Second; at += every {
				answers := 80
				if at >= c.stood.from && at < c.stood.until {
					answers /= 4
				}
				seen += answers
				all := rollout.RouteEvidence{Route: "r", UsualMs: 25}
				for cohort := range 8 {
					all.Target[cohort] = rollout.Count{Answers: seen / 8}
					if at >= c.heard {
						all.Old[cohort] = rollout.Count{Answers: c.before / 8}
					}
				}
				d, _ = d.Handle(rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{all}}, Now: now.Add(at)})
				var effects []rollout.Effect
				d, effects = d.Handle(rollout.Tick{Now: now.Add(at), Old: 10, Target: 10, Cohorts: 8, Decides: true})
				for _, e := range effects {
					if w, ok := e.(rollout.Write); ok {
						assert.Equal(t, rollout.Completed, w.Status.State)
						assert.GreaterOrEqual(t, at, c.least)
						assert.LessOrEqual(t, at, c.latest)
						return
					}
				}
			}
			assert.Fail(t, "nothing was decided")
		})
	}
}

// A store that takes long gets the last status early enough, also where nodes stay silent.
func TestASlowStoreGetsTheLastStatusInTime(t *testing.T) {
	const every = 200 * time.Millisecond
	for _, c := range []struct {
		name  string
		takes time.Duration // a write
	}{
		{"fast", 100 * time.Millisecond},
		{"slow", 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			order := rollout.Order{Service: "s", Target: "v2", Duration: 18 * time.Second, Made: 7}
			d := rollout.NewDecider(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second})
			r := rollout.Rollout{Order: order, Revision: 8, Learned: now}
			d, _ = d.Handle(rollout.Learned{Now: now, Rollout: r})
			var learns time.Time
			seen, began := 0, now
			for at := time.Duration(0); at < 20*time.Second; at += every {
				now = began.Add(at)
				if !learns.IsZero() && !now.Before(learns) {
					r.Learned, learns = now.Add(-c.takes), time.Time{}
					r.Revision++
					d, _ = d.Handle(rollout.Learned{Now: now, Rollout: r})
				}
				moving := r.Status.Stage == rollout.Moving
				if moving {
					seen += 20 // the others are silent for good
				} else {
					seen += 80
				}
				all := rollout.RouteEvidence{Route: "r", UsualMs: 25}
				for cohort := range 8 {
					all.Target[cohort].Answers, all.Old[cohort].Answers = seen/80, (seen-seen/10)/8
				}
				d, _ = d.Handle(rollout.Told{Evidence: rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{all}}, Now: now})
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
					r.Status, learns = w.Status, now.Add(c.takes)
				}
			}
			assert.Fail(t, "nothing was decided")
		})
	}
}
