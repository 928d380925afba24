package rollout

import (
	"slices"
	"strings"
)

// EvidenceTracker holds what all nodes have reported about an order's versions. A restarted node has another
// incarnation; what its earlier one reported still counts. It changes in place, since each node
// reports several times per second, and isn't safe for concurrent use.
type EvidenceTracker struct {
	service       string
	made          int64
	byIncarnation map[string]Evidence
}

// NewEvidenceTracker returns an empty EvidenceTracker for an order.
func NewEvidenceTracker(service string, made int64) *EvidenceTracker {
	return &EvidenceTracker{service: service, made: made, byIncarnation: map[string]Evidence{}}
}

// Record records what one incarnation of a node has observed so far. Evidence about another order, or
// older than what is known, is ignored.
func (t *EvidenceTracker) Record(incarnation string, e Evidence) {
	if e.Service != t.service || e.Made != t.made {
		return
	}
	before, _ := t.byIncarnation[incarnation].Answers()
	if now, _ := e.Answers(); now.Answers < before.Answers {
		return
	}
	t.byIncarnation[incarnation] = e
}

// Sum returns what all nodes have observed together.
func (t *EvidenceTracker) Sum() Evidence {
	sum := Evidence{Service: t.service, Made: t.made}
	for _, e := range t.byIncarnation {
		sum.add(e)
	}
	slices.SortFunc(sum.Routes, func(a, b RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
	return sum
}
