package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is the factor of the old version's baseline slowness from which an answer is slow.
	// Versions that are bad by slowness are several times slower, and one in thirty healthy answers
	// is that slow; this base rate cancels out, as both versions show it.
	slowFactor = 2.8
	// commonStep and routeStep are how far one answer moves the median logarithm of slowness of the
	// service and of its route: twice the time shows within some 25 answers of any route, also on
	// routes that the old version no longer receives.
	commonStep = 0.03
	routeStep  = 0.01
	// maxRoutes bounds the evidence: a service with more is judged by the first ones.
	maxRoutes = 24
	// maxUnreached is how many consecutive attempts without an answer still count as failures, and
	// unreachedWindow how long. Beyond these the endpoint counts as unreachable from this node,
	// which a network partition causes, too.
	maxUnreached    = 2
	unreachedWindow = 1500 * time.Millisecond
	// referenceSlack is added to both sides of a comparison of times, so that the delay of a packet
	// or of a busy node has little effect on short calls.
	referenceSlack = time.Millisecond
	// maxPending bounds the endpoints for which attempts without an answer are kept.
	maxPending = 256
)

// Recorder counts one node's own evidence for an order since it learned of the order. It changes in
// place, once per answer, and isn't safe for concurrent use.
type Recorder struct {
	evidence       Evidence
	commonSlowness float64         // median logarithm of the old version's slowness on all routes
	routeSlowness  []routeSlowness // by route: deviation from commonSlowness
	hasBaseline    bool            // an answer of the old version was observed
	references     []Reference     // what others observed of the old version
	pending        map[uint64][]Sample
}

// NewRecorder returns a recorder without evidence for an order.
func NewRecorder(o Order) *Recorder {
	return &Recorder{evidence: Evidence{Service: o.Service, Made: o.Made}, pending: map[uint64][]Sample{}}
}

// SetReferences sets what others observed of the old version. Where the recorder has few answers of that
// version itself, it compares the target's answers with the references.
func (r *Recorder) SetReferences(references []Reference) {
	if len(references) > 0 {
		r.references = references[:min(len(references), maxRoutes)]
	}
}

// Evidence returns a copy of what the node has observed so far.
func (r *Recorder) Evidence() Evidence {
	return Evidence{Service: r.evidence.Service, Made: r.evidence.Made}.Plus(r.evidence)
}

// RecordSent counts a call when it is sent; its answer follows in samples that have Sent set. A call to a
// cold endpoint counts only if it fails: its answer doesn't show whether the version is slow.
func (r *Recorder) RecordSent(s Sample) {
	if i := r.route(s); i >= 0 && s.Service == r.evidence.Service && !s.Cold {
		r.add(i, s, Count{Answers: 1})
	}
}

// Add records an answer and reports whether it counts as bad. A call that was counted by RecordSent may be
// added twice, by its first event and by its end, unless the first counted as bad; any other call
// once. Attempts without an answer count as failures once the endpoint answers this node again soon,
// and not at all if more than a few come in a row.
func (r *Recorder) Add(s Sample) bool {
	if s.Service != r.evidence.Service {
		return false
	}
	if s.Unreachable {
		r.hold(s)
		return true
	}
	for _, earlier := range r.pending[s.Endpoint] {
		if s.Now.Sub(earlier.Now) < unreachedWindow {
			r.count(earlier)
		}
	}
	delete(r.pending, s.Endpoint)
	return r.count(s)
}

// SlowThreshold returns the multiple of the expected time from which an answer of a route counts as slow;
// 0 if unknown. Where only references of others are known, it returns the time after which an answer
// is slow.
func (r *Recorder) SlowThreshold(route string) (times float64, after time.Duration) {
	i := slices.IndexFunc(r.evidence.Routes, func(e RouteEvidence) bool { return e.Route == route })
	known := 0
	if i >= 0 {
		known = r.routeSlowness[i].answers
	}
	switch limit := r.referenceLimit(route); {
	case known < priorAnswers && limit > 0:
		return 0, limit
	case known > 0:
		return slowFactor * math.Exp(r.routeSlowness[i].median+r.commonSlowness), 0
	}
	return 0, 0
}

// referenceLimit returns the time from which an answer is slow by the references of others; 0 if
// unknown.
func (r *Recorder) referenceLimit(route string) time.Duration {
	for _, known := range r.references {
		if known.Route == route && known.MedianTime > 0 {
			return time.Duration(slowFactor*float64(known.MedianTime+referenceSlack)) - referenceSlack
		}
	}
	return 0
}

func (r *Recorder) hold(s Sample) {
	pending, known := r.pending[s.Endpoint]
	switch {
	case !known && len(r.pending) >= maxPending:
	case known && len(pending) == 0: // already unreachable
	case len(pending) >= maxUnreached:
		r.pending[s.Endpoint] = nil
	default:
		r.pending[s.Endpoint] = append(pending, s)
	}
}

func (r *Recorder) count(s Sample) bool {
	i := r.route(s)
	if i < 0 {
		return false
	}
	if s.Cold && !s.Failed {
		return false
	}
	var count Count
	if !s.Sent || s.Cold {
		count.Answers = 1
	}
	if s.Failed || r.isSlow(i, s) {
		count.Bad = 1
	}
	r.add(i, s, count)
	return count.Bad > 0
}

func (r *Recorder) add(i int, s Sample, count Count) {
	counts := &r.evidence.Routes[i].Old
	if s.Target {
		counts = &r.evidence.Routes[i].Target
	}
	c := CohortOf(s.Endpoint)
	counts[c] = counts[c].Plus(count)
	counts[c].Answers = max(counts[c].Answers, counts[c].Bad) // the call was sent before the order was known
}

// route returns the index of a sample's route and adds the route if needed; -1 if there are too
// many.
func (r *Recorder) route(s Sample) int {
	for i := range r.evidence.Routes {
		if r.evidence.Routes[i].Route == s.Route {
			return i
		}
	}
	if len(r.routeSlowness) == maxRoutes {
		return -1
	}
	r.evidence.Routes = append(r.evidence.Routes, RouteEvidence{Route: s.Route, Once: s.Once})
	r.routeSlowness = append(r.routeSlowness, routeSlowness{})
	return len(r.routeSlowness) - 1
}

// isSlow reports whether an answer took several times the old version's baseline on the route.
// Without an expectation it returns false.
func (r *Recorder) isSlow(route int, s Sample) bool {
	if limit := r.referenceLimit(s.Route); s.Target && r.routeSlowness[route].answers < priorAnswers && limit > 0 {
		return s.Took >= limit
	}
	if s.Slowness <= 0 || s.Target && !r.hasBaseline {
		return false // no baseline to compare with
	}
	updatesBaseline := !s.Target && !s.LowerBound
	if s.LowerBound && r.routeSlowness[route].answers == 0 {
		return false
	}
	excess := r.routeSlowness[route].excess(math.Log(s.Slowness)-r.commonSlowness, !updatesBaseline)
	if updatesBaseline {
		r.hasBaseline = true
		r.commonSlowness += max(min(excess, commonStep), -commonStep)
		r.evidence.Routes[route].MedianMs = r.routeSlowness[route].nextMedianMs(r.evidence.Routes[route].MedianMs, s.Took)
	}
	return excess > math.Log(slowFactor)
}
