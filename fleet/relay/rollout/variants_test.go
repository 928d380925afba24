package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// allCohorts is a test in which an unhealthy endpoint counts like any other.
var allCohorts = evidenceTest{increment, func(s scores) float64 { return s.all }}

// betting is a test by betting against a version that is no worse: each answer stakes half of the
// capital.
var betting = evidenceTest{func(c Count, expect float64) float64 {
	const stake = 0.5
	return float64(c.Bad)*math.Log(1+stake*(1-expect)/expect) + float64(c.Answers-c.Bad)*math.Log(1-stake)
}, scores.score}

// neverBad is a test that finds nothing.
var neverBad = evidenceTest{func(Count, float64) float64 { return 0 }, scores.score}

// windows judges each time window on its own: by the difference of the two shares on a route in
// standard errors, without the worst cohorts.
type windows struct {
	start    time.Duration
	observed Evidence
}

const (
	windowLength     = 3 * time.Second
	windowDeviations = 4.5 // few good rollouts of a hundred windows exceed it
)

func (w *windows) bad(e Evidence, now time.Duration) bool {
	if now-w.start < windowLength {
		return false
	}
	e = e.Max(w.observed)
	bad := false
	for _, r := range e.Routes {
		before := w.observed.Route(r.Route)
		bad = bad || differs(sumWithoutWorst(r.Old.Minus(before.Old)), sumWithoutWorst(r.Target.Minus(before.Target)))
	}
	w.start, w.observed = now, e
	return bad
}

func sumWithoutWorst(c Counts) decayingCount {
	var all [Cohorts]decayingCount
	for i, one := range c {
		all[i] = decayingCount{float64(one.Answers), float64(one.Bad)}
	}
	return withoutWorst(all)
}

func differs(old, target decayingCount) bool {
	if old.answers < 1 || target.answers < 5 {
		return false
	}
	p := (old.bad + target.bad + 0.5) / (old.answers + target.answers + 1)
	deviation := math.Sqrt(p * (1 - p) * (1/old.answers + 1/target.answers))
	return target.bad/target.answers-old.bad/old.answers > windowDeviations*deviation
}

// TestDrawnVariants plays the same rollouts with one condition changed or with other tests, to show
// the effect of each.
func TestDrawnVariants(t *testing.T) {
	n := max(rollouts()/3, 30)
	unchanged := summarize(playAll(n, modelRule, nil), modelRule)
	t.Log("unchanged:", unchanged)
	for _, c := range []struct {
		name  string
		vary  func(*play)
		found func(summary) bool
	}{
		{"the worst cohort is kept", func(p *play) { p.test = allCohorts }, func(a summary) bool { return a.completed < unchanged.completed }},
		{"the move begins at once", func(p *play) { p.early = true }, func(a summary) bool { return a.exposed > unchanged.exposed }},
		{"nobody judges", func(p *play) { p.test = neverBad }, func(a summary) bool { return a.reverted < unchanged.reverted }},
		{"by bets", func(p *play) { p.test = betting }, nil},
		{"by windows", func(p *play) { p.test, p.windows = neverBad, &windows{} }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.found == nil && n < 100 {
				t.Skip("too few plays to compare tests")
			}
			a := summarize(playAll(n, modelRule, c.vary), modelRule)
			t.Log(a)
			if c.found != nil {
				assert.True(t, c.found(a), "the variant is detected")
			}
		})
	}
}
