package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// minSampledEndpoints is the minimum number of endpoints of the target that are sampled: an
// unhealthy endpoint can be distinguished from a bad version only beside two others.
const minSampledEndpoints = 3

// Lists holds the endpoints of a service that may get work, by version. It is recreated whenever the
// directory or the set of rollouts changes, not per call.
type Lists struct {
	Rollout  Rollout
	HasOrder bool
	Old      []engine.Engine // that may get work beside the target
	Target   []engine.Engine // of the order's version, while it may get work
	Sampled  []engine.Engine // the few of Target that receive the share while sampling
	All      []engine.Engine // that may get work
}

// For returns the endpoints among which an attempt chooses, by the plan.
func (l *Lists) For(p *Plan, c Call) []engine.Engine {
	switch p.Side(c) {
	case Any:
		return l.All
	case Old:
		return l.Old
	}
	if p.state != InProgress || p.rollout.Status.Stage != Sampling {
		return l.Target
	}
	from, to := p.pulseRange(len(l.Sampled), c.Now)
	return l.Sampled[from:to]
}

// Split groups the endpoints of a service by what its order and the order's status allow them to
// receive.
func Split(engines []engine.Engine, s Set, service string) Lists {
	r, ordered := s.Of(service)
	if !ordered {
		return Lists{All: withKnownVersions(engines, s, service)}
	}
	barred := r.Unproven()
	target := lo.Filter(engines, func(e engine.Engine, _ int) bool { return e.Version == r.Target })
	old := lo.Filter(engines, func(e engine.Engine, _ int) bool {
		return e.Version != r.Target && !lo.Contains(barred, e.Version)
	})
	old = withKnownVersions(old, s, service)
	l := Lists{Rollout: r, HasOrder: true}
	switch r.State() {
	case InProgress:
		l.Old, l.Target = old, target
		l.Sampled = sampledEndpoints(withoutUnhealthy(target, r.Status.Unhealthy), old, r.Status.Share)
	case Completed:
		l.Target = target
	case Reverted:
		l.Old = old
	case Ordered:
		l.Old = servable(old, target, r)
	}
	l.All = slices.Concat(l.Old, l.Target)
	return l
}

// servable returns the endpoints that may get work under an order without a status: all but the
// target. If there are no others, endpoints of the target that are older than the order are what the
// service runs on, and stay in use.
func servable(old, target []engine.Engine, r Rollout) []engine.Engine {
	if len(old) > 0 {
		return old
	}
	return lo.Filter(target, func(e engine.Engine, _ int) bool { return e.Seen.Number() < r.Made })
}

// withKnownVersions drops endpoints that may be subject to an order which this node hasn't received
// yet: their entry is newer than the orders it knows, and nothing ran on their version here.
func withKnownVersions(engines []engine.Engine, s Set, service string) []engine.Engine {
	var knownVersions []string
	for _, e := range engines {
		if e.Seen <= s.Revision() && !lo.Contains(knownVersions, e.Version) {
			knownVersions = append(knownVersions, e.Version)
		}
	}
	return lo.Filter(engines, func(e engine.Engine, _ int) bool {
		return lo.Contains(knownVersions, e.Version) || s.Used(service, e.Version)
	})
}

// sampledEndpoints chooses endpoints of the target, the same at all nodes, that bear the share of
// the service's calls at the load at which the old ones bear the rest. They are spread over as many
// zones and cohorts as possible.
func sampledEndpoints(target, old []engine.Engine, share float64) []engine.Engine {
	ready := lo.Filter(target, func(e engine.Engine, _ int) bool { return !e.Ends() })
	need := int(math.Ceil(share * float64(totalSlots(old))))
	var chosen []engine.Engine
	slots := 0
	for _, e := range spreadByZone(ready) {
		if len(chosen) >= minSampledEndpoints && slots >= need {
			break
		}
		chosen = append(chosen, e)
		slots += max(e.Slots, 1)
	}
	return chosen
}

// withoutUnhealthy drops endpoints of cohorts that were found unhealthy, if others are left to
// compare.
func withoutUnhealthy(target []engine.Engine, unhealthy uint32) []engine.Engine {
	healthy := lo.Reject(target, func(e engine.Engine, _ int) bool { return unhealthy&(1<<CohortOf(e.Hash)) != 0 })
	if len(healthy) < minSampledEndpoints-1 {
		return target
	}
	return healthy
}

func totalSlots(engines []engine.Engine) int {
	return lo.SumBy(engines, func(e engine.Engine) int { return max(e.Slots, 1) })
}

// spreadByZone sorts endpoints by hash, such that the first of each zone come before the second
// ones, and among these the first of each cohort.
func spreadByZone(engines []engine.Engine) []engine.Engine {
	type placed struct {
		engine.Engine
		zone, cohort int // how many of its zone and of its cohort come before it
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b engine.Engine) int { return cmp.Compare(a.Hash, b.Hash) })
	zones, cohorts := map[string]int{}, map[int]int{}
	all := make([]placed, 0, len(sorted))
	for _, e := range sorted {
		c := CohortOf(e.Hash)
		all = append(all, placed{e, zones[e.Zone], cohorts[c]})
		zones[e.Zone]++
		cohorts[c]++
	}
	slices.SortStableFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(max(a.zone, a.cohort), max(b.zone, b.cohort)), cmp.Compare(a.Hash, b.Hash))
	})
	return lo.Map(all, func(p placed, _ int) engine.Engine { return p.Engine })
}
