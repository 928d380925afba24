package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// kept is the test in which an ill endpoint counts like any other.
var kept = test{increment, func(s scores) float64 { return s.all }}

// bets is a test by betting against a version that is no worse: half of what is held is
// staked on each answer.
var bets = test{func(c Count, expect float64) float64 {
	const stake = 0.5
	return float64(c.Bad)*math.Log(1+stake*(1-expect)/expect) + float64(c.Answers-c.Bad)*math.Log(1-stake)
}, scores.score}

// never is a test that finds nothing.
var never = test{func(Count, float64) float64 { return 0 }, scores.score}

// windows judges each stretch of time alone: by the difference of two shares on a route,
// in standard errors, without the worst cohorts.
type windows struct {
	from time.Duration
	seen Evidence
}

const (
	windowLasts  = 3 * time.Second
	windowErrors = 4.5 // few good roll-outs of a hundred windows exceed it
)

func (w *windows) bad(e Evidence, now time.Duration) bool {
	if now-w.from < windowLasts {
		return false
	}
	e = e.AtLeast(w.seen)
	bad := false
	for _, r := range e.Routes {
		before := w.seen.Route(r.Route)
		bad = bad || differ(sides(r.Old.Minus(before.Old)), sides(r.Target.Minus(before.Target)))
	}
	w.from, w.seen = now, e
	return bad
}

func sides(c Counts) fading {
	var all [Cohorts]fading
	for i, one := range c {
		all[i] = fading{float64(one.Answers), float64(one.Bad)}
	}
	return withoutWorst(all)
}

func differ(old, target fading) bool {
	if old.answers < 1 || target.answers < 5 {
		return false
	}
	p := (old.bad + target.bad + 0.5) / (old.answers + target.answers + 1)
	deviation := math.Sqrt(p * (1 - p) * (1/old.answers + 1/target.answers))
	return target.bad/target.answers-old.bad/old.answers > windowErrors*deviation
}

// TestDrawnVariants plays the same roll-outs with one condition changed, and with other
// tests, so that it shows what each is for.
func TestDrawnVariants(t *testing.T) {
	n := max(rollouts()/3, 30)
	held := accountOf(playAll(n, sheetRule, nil), sheetRule)
	t.Log("as it is:", held)
	for _, c := range []struct {
		name  string
		vary  func(*play)
		found func(account) bool
	}{
		{"the worst cohort is kept", func(p *play) { p.judging = kept }, func(a account) bool { return a.completed < held.completed }},
		{"the move begins at once", func(p *play) { p.early = true }, func(a account) bool { return a.exposed > held.exposed }},
		{"nobody judges", func(p *play) { p.judging = never }, func(a account) bool { return a.reverted < held.reverted }},
		{"by bets", func(p *play) { p.judging = bets }, nil},
		{"by windows", func(p *play) { p.judging, p.windows = never, &windows{} }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.found == nil && n < 100 {
				t.Skip("few plays tell little of one test beside another")
			}
			a := accountOf(playAll(n, sheetRule, c.vary), sheetRule)
			t.Log(a)
			if c.found != nil {
				assert.True(t, c.found(a), "the variant is found out")
			}
		})
	}
}
