package rollout

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// Reference is the old version's baseline on a route. It is stored in the order's status, so that it
// survives the nodes that observed the old version: others would take what a bad target shows for
// normal.
type Reference struct {
	Route      string
	MedianTime time.Duration // median time until the first event, or of a plain call; 0 if unknown
	Answers    int           // number of answers behind it
	Bad        int           // bad ones among them
}

const (
	// minReferenceAnswers is the number of answers from which the old version counts as known.
	minReferenceAnswers = 6
	// maxReferenceAnswers bounds the weight of a reference: it may be as old as the order.
	maxReferenceAnswers = 200
)

// updatedReferences returns what evidence shows of the old version on each route, or the earlier
// reference where that is based on more answers.
func updatedReferences(e Evidence, before []Reference) []Reference {
	all := slices.Clone(before)
	for _, r := range e.Routes {
		old := r.Old.Sum()
		observed := Reference{Route: r.Route, MedianTime: medianDuration(r.MedianMs), Answers: old.Answers, Bad: old.Bad}.capped()
		i := slices.IndexFunc(all, func(known Reference) bool { return known.Route == r.Route })
		switch {
		case old.Answers == 0:
		case i < 0:
			all = append(all, observed)
		case observed.Answers >= all[i].Answers:
			all[i] = observed
		}
	}
	return all
}

// medianDuration converts a time to the precision of statuses.
func medianDuration(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(time.Duration(ms), 1) * time.Millisecond
}

func (r Reference) capped() Reference {
	if r.Answers > maxReferenceAnswers {
		r.Bad = r.Bad * maxReferenceAnswers / r.Answers
		r.Answers = maxReferenceAnswers
	}
	return r
}

// decayingCounts returns the reference as answers that are spread evenly over all cohorts.
func (r Reference) decayingCounts() [Cohorts]decayingCount {
	var all [Cohorts]decayingCount
	for c := range all {
		all[c] = decayingCount{float64(r.Answers) / Cohorts, float64(r.Bad) / Cohorts}
	}
	return all
}

func referenceAnswers(all []Reference) int {
	return lo.SumBy(all, func(r Reference) int { return r.Answers })
}
