package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// minExcessBad is the excess over the old version's share of bad answers that the test looks
	// for: half of the smallest excess that operators' bad versions show, so that those are found
	// fast and smaller differences are still found.
	minExcessBad = 0.2
	// startWeight is the prior weight of a version that is bad from its first answer. The rest is
	// spread over the order's duration, for versions that turn bad later.
	startWeight = 0.5
	// maxSuspectBad is how many bad answers a suspected target may give before it counts as bad if
	// nothing clears it in time: slightly fewer than operators count.
	maxSuspectBad = 40
	// clearedScore is the score below which the other cohorts count as healthy: a dozen good
	// answers.
	clearedScore = -2.0
	// unhealthyPrior is the logarithm of five: one rollout in five is assumed to sample an unhealthy
	// endpoint, which is cautious, as fewer do.
	unhealthyPrior = 1.6
	// minRecent is the number of recent answers needed to tell which cohorts answer, and
	// singleCohortPart the part of them that one cohort must give to count as the only one.
	minRecent        = 8.0
	singleCohortPart = 0.95
	// minScore bounds how far good answers lower a score, so that the evidence against a version
	// that turns bad later does not start from far below.
	minScore = -40.0
	// doubtPart is the part of the verdict limit above which a target is in doubt.
	doubtPart = 0.45
)

// Judge compares a target with the old version, per route and for all routes together, as answers
// come in. It is an immutable value. It is a sequential test: the evidence that the target has been
// worse since some moment is the likelihood ratio of a worse version to an equal one, summed over
// all moments by weight. For a good version, the probability that this sum ever exceeds 1/FalseRate
// is at most FalseRate, no matter how often it is checked.
type Judge struct {
	rule         Rule
	duration     time.Duration
	observed     Evidence
	at           time.Time
	test         evidenceTest
	routes       []routeJudge
	recentOld    decayingCount    // recent answers of the old version
	service      scores           // all routes together: finds what is bad on each of them sooner
	unhealthy    [Cohorts]bool    // cohorts that look bad while the others don't
	references   []Reference      // what others observed of the old version
	recentTarget [Cohorts]float64 // recent answers of the target
}

// routeJudge is the state of one route.
type routeJudge struct {
	route    string
	baseline baseline
	expected expectation
	target   decayingCount // recent answers of the target
	scores   scores
}

// NewJudge returns a judge without evidence, for an order of the given duration.
func NewJudge(rule Rule, duration time.Duration) Judge {
	return Judge{rule: rule, duration: duration, test: likelihood, service: newScores()}
}

// WithSingleCohort sets whether all endpoints of the target fall into one cohort. If so, that cohort
// alone makes a verdict, since no other cohort can clear it or be cleared.
func (j Judge) WithSingleCohort(single bool) Judge {
	j.service.singleCohort = single
	j.routes = slices.Clone(j.routes)
	for i := range j.routes {
		j.routes[i].scores.singleCohort = single
	}
	return j
}

// WithReferences returns a judge that starts with what others observed of the old version.
func (j Judge) WithReferences(references []Reference) Judge {
	if len(references) == 0 || !j.at.IsZero() {
		return j
	}
	j.references, j.recentOld = lo.Map(references[:min(len(references), maxRoutes)], func(r Reference, _ int) Reference { return r.capped() }), decayingCount{}
	for _, r := range j.references {
		j.recentOld = j.recentOld.plus(Count{r.Answers, r.Bad}, 1)
	}
	return j
}

// HasBaseline reports whether enough was observed of the old version, by any node, to compare with
// it.
func (j Judge) HasBaseline() bool {
	all, target := j.observed.Answers()
	return referenceAnswers(j.references)+all.Answers-target.Answers >= minReferenceAnswers
}

// With returns the judge updated with the evidence observed until now.
func (j Judge) With(e Evidence, now time.Time) Judge {
	e = e.Max(j.observed)
	weight := j.changeWeight(now)
	routes := make([]routeJudge, 0, len(e.Routes))
	for _, r := range e.Routes {
		route := j.routeState(r.Route)
		route.baseline = route.baseline.with(r.Old.Minus(j.observed.Route(r.Route).Old), j.elapsed(now))
		routes = append(routes, route)
	}
	j.recentOld = recentService(routes, j.recentOld)
	j.recentTarget = j.recentTargetWith(e, now)
	j.service = j.service.withChangeWeight(weight)
	for i, r := range e.Routes {
		target := r.Target.Minus(j.observed.Route(r.Route).Target)
		routes[i].expected = routes[i].baseline.expected(j.recentOld)
		routes[i].target = routes[i].target.plus(target.Sum(), retention(j.elapsed(now), baselineShort))
		certainty := routes[i].expected.answers / (routes[i].expected.answers + routes[i].target.answers)
		routes[i].scores = routes[i].scores.withChangeWeight(weight).with(target, routes[i].expected, certainty, j.test)
		j.service = j.service.with(target, routes[i].expected, certainty, j.test)
	}
	j.routes, j.observed, j.at = routes, e, now
	return j.withSuspicions()
}

// recentTargetWith returns the target's recent answers by cohort, including the new ones.
func (j Judge) recentTargetWith(e Evidence, now time.Time) [Cohorts]float64 {
	recent, retained := j.recentTarget, retention(j.elapsed(now), baselineShort)
	for c := range recent {
		recent[c] *= retained
	}
	for _, r := range e.Routes {
		for c, count := range r.Target.Minus(j.observed.Route(r.Route).Target) {
			recent[c] += float64(count.Answers)
		}
	}
	return recent
}

// SingleCohortAnswers reports whether the target's recent answers come from one cohort: its others
// are down or cold, and will not clear it.
func (j Judge) SingleCohortAnswers() bool {
	sum := lo.Sum(j.recentTarget[:])
	return sum >= minRecent && slices.Max(j.recentTarget[:]) >= singleCohortPart*sum
}

func (j Judge) elapsed(now time.Time) time.Duration {
	if j.at.IsZero() {
		return 0
	}
	return max(now.Sub(j.at), 0)
}

// changeWeight returns the prior weight of a version that turned bad since the last update. A
// version that is bad from its start is covered by the initial score.
func (j Judge) changeWeight(now time.Time) float64 {
	return (1 - startWeight) * min(j.elapsed(now).Seconds()/max(j.duration.Seconds(), 1), 1)
}

func (j Judge) routeState(route string) routeJudge {
	i := slices.IndexFunc(j.routes, func(r routeJudge) bool { return r.route == route })
	if i < 0 {
		fresh := routeJudge{route: route, scores: newScores()}
		fresh.scores.singleCohort = j.service.singleCohort
		if known, ok := lo.Find(j.references, func(r Reference) bool { return r.Route == route }); ok {
			observed := known.decayingCounts()
			fresh.baseline = baseline{long: observed, short: observed, now: observed}
		}
		return fresh
	}
	return j.routes[i]
}

// limit returns the score that makes a verdict: the rate of false verdicts is shared by all tests.
func (j Judge) limit() float64 {
	return math.Log(float64(len(j.routes)+1) / j.rule.FalseRate)
}

// worst returns the highest score against the target: that of one route, or of the service.
func (j Judge) worst() (route string, s scores) {
	s = j.service
	for _, r := range j.routes {
		if j.test.score(r.scores) > j.test.score(s) {
			route, s = r.route, r.scores
		}
	}
	return route, s
}

// Verdict returns the current verdict. A target is never finally found good: its stage advances by
// time, and evidence against it may still come.
func (j Judge) Verdict() Verdict {
	if _, s := j.worst(); j.test.score(s) > j.limit() || j.overdue() {
		return Bad
	}
	return Undecided
}

// withSuspicions updates whether one cohort is suspected, and whether that cohort is just an
// unhealthy endpoint.
func (j Judge) withSuspicions() Judge {
	_, target := j.observed.Answers()
	update := func(s scores) scores {
		s, isCleared := s.updateSuspicion(j.limit(), j.unhealthy, target.Bad, j.at)
		if isCleared {
			j.unhealthy[s.suspect.cohort] = true
			s.suspect = suspicion{}
		}
		return s
	}
	j.service = update(j.service)
	for i := range j.routes {
		j.routes[i].scores = update(j.routes[i].scores)
	}
	return j
}

// overdue reports whether a target has been suspected for half of the rollback time and kept
// answering badly: it is reverted instead of waiting for other cohorts to clear it.
func (j Judge) overdue() bool {
	_, target := j.observed.Answers()
	for _, s := range j.suspicions() {
		if target.Bad-s.bad >= maxSuspectBad && j.at.Sub(s.since) >= j.rule.Rollback/2 {
			return true
		}
	}
	return false
}

func (j Judge) suspicions() []suspicion {
	all := []suspicion{j.service.suspect}
	for _, r := range j.routes {
		all = append(all, r.scores.suspect)
	}
	return lo.Reject(all, func(s suspicion, _ int) bool { return s.since.IsZero() })
}

// InDoubt reports whether the evidence against the target exceeds what chance often produces.
func (j Judge) InDoubt() bool { return j.Exceeds(doubtPart) }

// Exceeds reports whether the evidence against the target exceeds a part of the verdict limit.
func (j Judge) Exceeds(part float64) bool {
	_, s := j.worst()
	return j.test.score(s) > part*j.limit()
}

// SpeaksAgainst reports whether the answers of all cohorts together are evidence against the target,
// unless the worst cohort is known to be an unhealthy endpoint.
func (j Judge) SpeaksAgainst() bool {
	against := func(s scores) bool {
		worst, _ := s.worst()
		return j.test.score(s) > 0 || s.all > 0 && !j.unhealthy[worst]
	}
	return against(j.service) || lo.SomeBy(j.routes, func(r routeJudge) bool { return against(r.scores) })
}

// UnhealthyCohorts returns the cohorts that look bad while the others don't, as a bit set.
func (j Judge) UnhealthyCohorts() uint32 {
	var bits uint32
	for c, unhealthy := range j.unhealthy {
		if unhealthy {
			bits |= 1 << c
		}
	}
	return bits
}

// SuspectedSince reports whether a suspicion has arisen after a moment.
func (j Judge) SuspectedSince(moment time.Time) bool {
	return lo.SomeBy(j.suspicions(), func(s suspicion) bool { return s.since.After(moment) })
}

// HasSuspicion reports whether one cohort alone looks bad enough for a verdict, and too little is
// known of the others to attribute it to an unhealthy endpoint.
func (j Judge) HasSuspicion() bool { return len(j.suspicions()) > 0 }

// Why returns one line on the strongest evidence against the target.
func (j Judge) Why() string {
	route, s := j.worst()
	target, old := j.observed.counts(route)
	return fmt.Sprintf("route %q: target %d bad of %d, old %d of %d, evidence %.1f of %.1f",
		route, target.Bad, target.Answers, old.Bad, old.Answers, j.test.score(s), j.limit())
}
