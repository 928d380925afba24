package rollout

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// usualLong, usualShort and usualNow are after how long half of what the old version
	// showed has faded: the first bears few answers, the second follows trouble that both
	// versions have, and the third its beginning, where many answers come.
	usualLong  = 4 * time.Second
	usualShort = 700 * time.Millisecond
	usualNow   = 250 * time.Millisecond
	// usualIdle is for how long a route without calls is taken to be as it was.
	usualIdle = 400 * time.Millisecond
	// usualPrior is how many answers what is known before outweighs.
	usualPrior = 10.0
	// usualFloor is the share of bad answers of a version that shows none: its own answers
	// that are several times slower by chance.
	usualFloor = 0.012
	// usualDoubt is how many standard errors the usual share is taken higher than it shows.
	usualDoubt = 0.7
)

// fading is a count whose answers fade.
type fading struct{ answers, bad float64 }

func (f fading) with(c Count, keep float64) fading {
	return fading{f.answers*keep + float64(c.Answers), f.bad*keep + float64(c.Bad)}
}

func (f fading) minus(o fading) fading { return fading{f.answers - o.answers, f.bad - o.bad} }

// share is the part of the answers that is bad. Calls count when they are sent, so that
// more may turn out bad at once than were sent of late: a share over one has no deviation.
func (f fading) share(prior float64) float64 {
	return min((f.bad+usualPrior*prior)/(f.answers+usualPrior), 1)
}

// usual is what the old version shows of late on one route, by cohort.
type usual struct {
	long, short, now [Cohorts]fading
	idle             time.Duration // since it got a call
}

// with takes in what the old version got in a time that passed. Where it got nothing,
// as after the move, nothing fades: what both versions last showed is still the best guess.
func (u usual) with(c Counts, passed time.Duration) usual {
	u.idle += passed
	if c.Sum().Answers > 0 {
		u.idle = 0
	} else {
		passed = 0
	}
	long, short, now := keeps(passed, usualLong), keeps(passed, usualShort), keeps(passed, usualNow)
	for i := range c {
		u.long[i] = u.long[i].with(c[i], long)
		u.short[i] = u.short[i].with(c[i], short)
		u.now[i] = u.now[i].with(c[i], now)
	}
	return u
}

// keeps is the part of what was known that is left after a time, by its half-life.
func keeps(passed, half time.Duration) float64 { return math.Exp2(-passed.Seconds() / half.Seconds()) }

// active is whether the old version got calls of late.
func (u usual) active() bool { return u.idle <= usualIdle }

// bad is the share of bad answers to expect of a version that is no worse. A route with
// few calls of late, or none, takes the service's share of late for its own.
func (u usual) bad(service fading) usually {
	long, short := withoutWorst(u.long), withoutWorst(u.short)
	p, answers := long.share(0), short.answers
	p = max(p, short.share(max(p, service.share(0))))
	p = max(p, withoutWorst(u.now).share(p))
	if !u.active() {
		p, answers = max(p, service.share(0)), service.answers
	}
	deviation := math.Sqrt((p*(1-p) + usualFloor/10) / (long.answers + usualPrior))
	return usually{min(p+usualFloor+usualDoubt*deviation, 0.95), answers + usualPrior}
}

// usually is what a version that is no worse shows now.
type usually struct {
	share   float64 // of bad answers
	answers float64 // of late, that this is known from
}

// lately is what all routes of the old version that got calls showed of late, without its
// worst cohort; where none did, it is what was known before.
func lately(routes []judged, before fading) fading {
	active := lo.Filter(routes, func(r judged, _ int) bool { return r.usual.active() })
	if len(active) == 0 {
		return before
	}
	short := together(active, func(u usual) [Cohorts]fading { return u.short })
	now := together(active, func(u usual) [Cohorts]fading { return u.now })
	return fading{short.answers, max(short.bad, now.share(short.share(0))*short.answers)}
}

// together sums what routes showed over one time, without the worst cohort.
func together(routes []judged, of func(usual) [Cohorts]fading) fading {
	var sum [Cohorts]fading
	for _, r := range routes {
		for c, f := range of(r.usual) {
			sum[c] = fading{sum[c].answers + f.answers, sum[c].bad + f.bad}
		}
	}
	return withoutWorst(sum)
}

// withoutWorst sums cohorts but for the one with the greatest share of bad answers,
// unless it is the only one.
func withoutWorst(cohorts [Cohorts]fading) fading {
	var sum, worst fading
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
