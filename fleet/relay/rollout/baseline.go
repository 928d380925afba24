package rollout

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// baselineLong, baselineShort and baselineNow are the half-lives of what the old version showed:
	// the first also works with few answers, the second follows trouble that both versions have, and
	// the third its beginning where there are many answers.
	baselineLong  = 4 * time.Second
	baselineShort = 700 * time.Millisecond
	baselineNow   = 250 * time.Millisecond
	// maxIdle is for how long a route without calls counts as unchanged.
	maxIdle = 400 * time.Millisecond
	// priorWeight is the number of answers that the prior counts for.
	priorWeight = 10.0
	// floorShare is the assumed share of bad answers of a version that shows none: its own answers
	// that are several times slower by chance.
	floorShare = 0.012
	// baselineMargin is how many standard errors the expected share lies above the observed one.
	baselineMargin = 0.7
)

// decayingCount is a count whose older answers decay.
type decayingCount struct{ answers, bad float64 }

func (d decayingCount) plus(c Count, retained float64) decayingCount {
	return decayingCount{d.answers*retained + float64(c.Answers), d.bad*retained + float64(c.Bad)}
}

func (d decayingCount) minus(o decayingCount) decayingCount {
	return decayingCount{d.answers - o.answers, d.bad - o.bad}
}

// share returns the part of the answers that is bad. Calls count when they are sent, so that more
// may turn out bad at once than were sent recently; it is capped at one, as a greater share has no
// standard deviation.
func (d decayingCount) share(prior float64) float64 {
	return min((d.bad+priorWeight*prior)/(d.answers+priorWeight), 1)
}

// baseline is what the old version showed recently on one route, by cohort.
type baseline struct {
	long, short, now [Cohorts]decayingCount
	idle             time.Duration // time since its last call
}

// with adds the old version's answers of an interval. In an interval without any, as after the move,
// nothing decays: what both versions last showed is still the best estimate.
func (b baseline) with(c Counts, passed time.Duration) baseline {
	b.idle += passed
	if c.Sum().Answers > 0 {
		b.idle = 0
	} else {
		passed = 0
	}
	long, short, now := retention(passed, baselineLong), retention(passed, baselineShort), retention(passed, baselineNow)
	for i := range c {
		b.long[i] = b.long[i].plus(c[i], long)
		b.short[i] = b.short[i].plus(c[i], short)
		b.now[i] = b.now[i].plus(c[i], now)
	}
	return b
}

// retention returns the part of a count that is left after a time, by its half-life.
func retention(passed, half time.Duration) float64 {
	return math.Exp2(-passed.Seconds() / half.Seconds())
}

// active reports whether the old version received calls recently.
func (b baseline) active() bool { return b.idle <= maxIdle }

// expected returns the share of bad answers to expect of a version that is no worse. A route with
// few or no recent calls uses the service's recent share.
func (b baseline) expected(serviceCounts decayingCount) expectation {
	long, short := withoutWorst(b.long), withoutWorst(b.short)
	p, answers := long.share(0), short.answers
	p = max(p, short.share(max(p, serviceCounts.share(0))))
	p = max(p, withoutWorst(b.now).share(p))
	if !b.active() {
		p, answers = max(p, serviceCounts.share(0)), serviceCounts.answers
	}
	deviation := math.Sqrt((p*(1-p) + floorShare/10) / (long.answers + priorWeight))
	return expectation{min(p+floorShare+baselineMargin*deviation, 0.95), answers + priorWeight}
}

// expectation is what a version that is no worse shows now.
type expectation struct {
	share   float64 // of bad answers
	answers float64 // recent answers that this is based on
}

// recentService returns what all active routes of the old version showed recently, without its worst
// cohort; if none is active, what was known before.
func recentService(routes []routeJudge, before decayingCount) decayingCount {
	active := lo.Filter(routes, func(r routeJudge, _ int) bool { return r.baseline.active() })
	if len(active) == 0 {
		return before
	}
	short := sumRoutes(active, func(b baseline) [Cohorts]decayingCount { return b.short })
	now := sumRoutes(active, func(b baseline) [Cohorts]decayingCount { return b.now })
	return decayingCount{short.answers, max(short.bad, now.share(short.share(0))*short.answers)}
}

// sumRoutes sums what routes showed over one half-life, without the worst cohort.
func sumRoutes(routes []routeJudge, of func(baseline) [Cohorts]decayingCount) decayingCount {
	var sum [Cohorts]decayingCount
	for _, r := range routes {
		for c, f := range of(r.baseline) {
			sum[c] = decayingCount{sum[c].answers + f.answers, sum[c].bad + f.bad}
		}
	}
	return withoutWorst(sum)
}

// withoutWorst sums all cohorts but the one with the greatest share of bad answers, unless that one
// holds nearly all answers.
func withoutWorst(cohorts [Cohorts]decayingCount) decayingCount {
	var sum, worst decayingCount
	for _, c := range cohorts {
		sum.answers += c.answers
		sum.bad += c.bad
		if c.bad*(worst.answers+1) > worst.bad*(c.answers+1) {
			worst = c
		}
	}
	if rest := sum.minus(worst); rest.answers > sum.answers/10 {
		return rest
	}
	return sum
}
