package rollout

import (
	"math"
	"time"
)

// evidenceTest defines how answers become evidence, and evidence a score.
type evidenceTest struct {
	increment func(Count, float64) float64
	score     func(scores) float64
}

// likelihood is a sequential likelihood-ratio test that leaves out the worst cohort.
var likelihood = evidenceTest{increment, scores.score}

// scores holds the evidence against a target as logarithms: with all its cohorts, and without each
// one of them.
type scores struct {
	all          float64
	without      [Cohorts]float64
	answered     [Cohorts]bool // cohorts that answered
	singleCohort bool          // no other cohort will answer

	// One cohort is suspected while all together make a verdict and the others alone do not. It
	// counts as an unhealthy endpoint once the others have answered well since then.
	suspect               suspicion
	unweighted            [Cohorts]float64 // like without, from the first answer on and unweighted
	unweightedAtSuspicion [Cohorts]float64 // unweighted at the start of the suspicion
}

func newScores() scores {
	s := scores{all: math.Log(startWeight)}
	for c := range s.without {
		s.without[c] = s.all
	}
	return s
}

// withChangeWeight adds the weight of a version that turns bad now.
func (s scores) withChangeWeight(weight float64) scores {
	s.all = addChangeWeight(s.all, weight)
	for c := range s.without {
		s.without[c] = addChangeWeight(s.without[c], weight)
	}
	return s
}

func addChangeWeight(score, weight float64) float64 {
	score = max(score, minScore)
	return score + math.Log1p(weight*math.Exp(-score))
}

// with adds answers of a target, given the share of bad answers of a version that is no worse. Where
// the target receives more calls than the old version, as in the move, the expected share is based
// on few answers: comparing two shares of n and m answers is as accurate as comparing one of
// n*m/(n+m) answers with a known one.
func (s scores) with(target Counts, expected expectation, weight float64, byTest evidenceTest) scores {
	sum := target.Sum()
	s.all += weight * byTest.increment(sum, expected.share)
	for c, count := range target {
		s.answered[c] = s.answered[c] || count.Answers > 0
		increase := weight * byTest.increment(sum.Minus(count), expected.share)
		s.without[c] += increase
		s.unweighted[c] += increase
	}
	return s
}

// suspicion records that one cohort makes the target look bad.
type suspicion struct {
	cohort int
	bad    int       // bad answers of the target when it began
	since  time.Time // zero if there is none
}

// updateSuspicion starts or ends the suspicion of one cohort, and reports whether the other cohorts
// have been cleared.
func (s scores) updateSuspicion(limit float64, unhealthy [Cohorts]bool, bad int, now time.Time) (scores, bool) {
	worst, cohorts := s.worst()
	switch {
	case cohorts == 0 || unhealthy[worst]:
		s.suspect = suspicion{}
	case s.suspect.since.IsZero() && s.all > limit && s.score() <= limit:
		s.suspect, s.unweightedAtSuspicion = suspicion{worst, bad, now}, s.unweighted
	case !s.suspect.since.IsZero() && cohorts > 1 && s.unweighted[s.suspect.cohort]-s.unweightedAtSuspicion[s.suspect.cohort] <= clearedScore:
		return s, true
	}
	return s, false
}

// score returns the evidence without the worst cohort, which may be one unhealthy endpoint, plus
// unhealthyPrior, as such an endpoint is unlikely; or the evidence of all cohorts if that is less.
// One cohort alone makes no verdict.
func (s scores) score() float64 {
	worst, cohorts := s.worst()
	if s.singleCohort {
		return s.all
	}
	if cohorts < 2 {
		return min(s.all, 0)
	}
	return min(s.without[worst]+unhealthyPrior, s.all)
}

// worst returns the cohort whose omission leaves the least evidence against the target, and the
// number of cohorts that answered.
func (s scores) worst() (worst, cohorts int) {
	for c, answered := range s.answered {
		if !answered {
			continue
		}
		if cohorts == 0 || s.without[c] < s.without[worst] {
			worst = c
		}
		cohorts++
	}
	return worst, cohorts
}

// increment returns the log-likelihood ratio of answers for a worse version to an equal one.
func increment(c Count, expected float64) float64 {
	worseShare := min(expected+minExcessBad, 0.5+expected/2)
	return float64(c.Bad)*math.Log(worseShare/expected) + float64(c.Answers-c.Bad)*math.Log((1-worseShare)/(1-expected))
}
