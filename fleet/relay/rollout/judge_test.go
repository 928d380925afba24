package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// Guards against a judge that stops judging the target once more calls of the old version turn out
// late at once than it received recently.
func TestTargetIsJudgedAfterLateAnswersOfTheOldVersion(t *testing.T) {
	const every = 200 * time.Millisecond
	cases := []struct {
		name   string
		pause  time.Duration // without answers, before the late ones
		late   int           // bad answers of the old version at once, to earlier calls
		target int           // bad answers of ten that the target gives afterwards
		want   rollout.Verdict
	}{
		{"none, good target", every, 0, 0, rollout.Undecided},
		{"none, bad target", every, 0, 4, rollout.Bad},
		{"many, good target", every, 200, 0, rollout.Undecided},
		{"many, bad target", every, 200, 4, rollout.Bad},
		{"many after a pause, good target", 2 * time.Second, 120, 0, rollout.Undecided},
		{"many after a pause, bad target", 2 * time.Second, 120, 4, rollout.Bad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			judge := rollout.NewJudge(rollout.Rule{Share: 0.1, Tolerance: 50, Rollback: 5 * time.Second}.OrDefaults(), 12*time.Second)
			route := rollout.RouteEvidence{Route: "r"}
			look := func(passed time.Duration, old, target rollout.Count) {
				now = now.Add(passed)
				for cohort := range 4 {
					route.Old[cohort] = route.Old[cohort].Plus(old)
					route.Target[cohort] = route.Target[cohort].Plus(target)
				}
				judge = judge.With(rollout.Evidence{Service: "s", Made: 7, Routes: []rollout.RouteEvidence{route}}, now)
			}
			for range 10 {
				look(every, rollout.Count{Answers: 10}, rollout.Count{Answers: 1})
			}
			look(c.pause, rollout.Count{Answers: 1, Bad: c.late / 4}, rollout.Count{Answers: 1})
			for range 25 { // the time in which a bad version must be gone
				look(every, rollout.Count{Answers: 10}, rollout.Count{Answers: 10, Bad: c.target})
			}
			assert.Equal(t, c.want, judge.Verdict(), judge.Why())
			assert.NotContains(t, judge.Why(), "NaN")
		})
	}
}
