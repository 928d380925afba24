package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// badMore is by how much the share of bad answers of a version to be found lies above
	// the old one's: half of the least that operators' bad versions show, so that those
	// are found fast and smaller differences still are.
	badMore = 0.15
	// fromStart is the weight of a version that is bad from its first answer; the rest is
	// spread over the order's duration, for those that turn bad later.
	fromStart = 0.5
	// doubtPart is the part of the way to a verdict from which a target is in doubt.
	doubtPart = 0.5
)

// Judge compares a target with the old version on each route as answers come in: an
// immutable value. It is a sequential test: the evidence that the target has been worse
// since some moment is the likelihood of a worse one over that of one alike, over all
// moments by weight. Such a sum exceeds one over the stated rate of false verdicts for a
// good version with no more than that rate, whenever one looks.
type Judge struct {
	rule     Rule
	duration time.Duration
	seen     Evidence
	at       time.Time
	routes   []judged
}

// judged is what is held of one route.
type judged struct {
	route  string
	usual  usual
	expect float64          // share of bad answers of a version that is no worse
	met    [Cohorts]bool    // cohorts of the target that answered
	scores [Cohorts]float64 // logarithm of the evidence without one cohort
	all    float64          // and with all
}

// NewJudge returns a judge who has seen nothing of an order of a duration.
func NewJudge(rule Rule, duration time.Duration) Judge {
	return Judge{rule: rule, duration: duration}
}

// With takes in what was seen until a moment.
func (j Judge) With(e Evidence, now time.Time) Judge {
	passed := j.passed(now)
	routes := make([]judged, 0, len(e.Routes))
	for _, r := range e.Routes {
		before := j.seen.Route(r.Route)
		routes = append(routes, j.of(r.Route).with(r.Old.Minus(before.Old), r.Target.Minus(before.Target), passed, j.weight(passed)))
	}
	j.routes, j.seen, j.at = routes, e, now
	return j
}

func (j Judge) passed(now time.Time) time.Duration {
	if j.at.IsZero() {
		return 0
	}
	return max(now.Sub(j.at), 0)
}

// weight is that of a version that turns bad within a time that passed.
func (j Judge) weight(passed time.Duration) float64 {
	if j.at.IsZero() {
		return fromStart
	}
	return (1 - fromStart) * min(passed.Seconds()/max(j.duration.Seconds(), 1), 1)
}

func (j Judge) of(route string) judged {
	i := slices.IndexFunc(j.routes, func(r judged) bool { return r.route == route })
	if i >= 0 {
		return j.routes[i]
	}
	r := judged{route: route, all: math.Log(fromStart)}
	for c := range r.scores {
		r.scores[c] = r.all
	}
	return r
}

func (r judged) with(old, target Counts, passed time.Duration, weight float64) judged {
	r.usual = r.usual.with(old, passed)
	r.expect = r.usual.bad()
	sum := target.Sum()
	r.all = grown(r.all, weight) + increment(sum, r.expect)
	for c := range target {
		r.met[c] = r.met[c] || target[c].Answers > 0
		r.scores[c] = grown(r.scores[c], weight) + increment(sum.Minus(target[c]), r.expect)
	}
	return r
}

// grown adds the weight of a version that turns bad now.
func grown(score, weight float64) float64 {
	return max(score, -40) + math.Log1p(weight*math.Exp(-max(score, -40)))
}

// increment is the logarithm of how much likelier answers are of a version that is worse
// than of one that is alike.
func increment(c Count, expect float64) float64 {
	worse := min(expect+badMore, 0.5+expect/2)
	return float64(c.Bad)*math.Log(worse/expect) + float64(c.Answers-c.Bad)*math.Log((1-worse)/(1-expect))
}

// score is the evidence against the target without its worst cohort, which may be one
// ill endpoint.
func (r judged) score() float64 {
	least, cohorts := math.Inf(1), 0
	for c, met := range r.met {
		if met {
			cohorts++
			least = min(least, r.scores[c])
		}
	}
	if cohorts < 2 {
		return r.all
	}
	return least
}

// worst is the route with the greatest evidence against the target.
func (j Judge) worst() judged {
	if len(j.routes) == 0 {
		return judged{all: math.Inf(-1)}
	}
	return slices.MaxFunc(j.routes, func(a, b judged) int {
		if a.score() < b.score() {
			return -1
		}
		return 1
	})
}

// limit is the evidence that makes a verdict: the rate of false ones is shared by routes.
func (j Judge) limit() float64 {
	return math.Log(float64(max(len(j.routes), 1)) / j.rule.FalseRate)
}

// Verdict is what the evidence says so far. A target is never found good for good: its
// stage moves on by time, and evidence against it may still come.
func (j Judge) Verdict() Verdict {
	if j.worst().score() > j.limit() {
		return Bad
	}
	return Undecided
}

// Doubt is whether the evidence against the target is more than chance often brings.
func (j Judge) Doubt() bool { return j.worst().score() > doubtPart*j.limit() }

// Why says in a line what speaks against the target most.
func (j Judge) Why() string {
	w := j.worst()
	seen := j.seen.Route(w.route)
	target, old := seen.Target.Sum(), seen.Old.Sum()
	return fmt.Sprintf("route %q: target %d bad of %d, old %d of %d, evidence %.1f of %.1f",
		w.route, target.Bad, target.Answers, old.Bad, old.Answers, w.score(), j.limit())
}
