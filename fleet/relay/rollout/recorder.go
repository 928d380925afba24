package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// slowTimes is from how many times the old version's usual slowness on an answer is
	// slow: versions that are bad by it are several times slower, and a usual answer is
	// one in thirty times that slow; what both versions show of it cancels out.
	slowTimes = 2.8
	// commonStep and usualStep are how far one answer moves the usual logarithm of slowness,
	// of the service and of its route: a change to twice the time shows within some 25
	// answers of any route, also on those that the old version gets no more.
	commonStep = 0.03
	usualStep  = 0.01
	// mostRoutes bounds the evidence: a service with more is judged by the first ones.
	mostRoutes = 24
	// mostUnreached is how many attempts in a row without any answer may still be failed
	// answers, and unreachedFor how long: after that the endpoint is out of this node's
	// reach, which a cut does too.
	mostUnreached = 2
	unreachedFor  = 1500 * time.Millisecond
	// referredBaseline is added to both sides of a comparison of times, so that what a packet
	// or a busy node adds to a short call says little.
	referredBaseline = time.Millisecond
	// mostPending bounds the endpoints of which an attempt without answer is kept.
	mostPending = 256
)

// Recorder counts one node's own evidence for an order since it knows of the order. It
// changes in place, once an answer, and isn't safe for concurrent use.
type Recorder struct {
	evidence Evidence
	common   float64     // median of the logarithm of the old version's slowness, on all routes
	usual    []slowness  // by route: how far it lies from that
	compared bool        // an answer of the old version was seen
	referred []Reference // what others saw of the old version
	pending  map[uint64][]Sample
}

// NewRecorder returns a recorder for an order that has seen nothing.
func NewRecorder(o Order) *Recorder {
	return &Recorder{evidence: Evidence{Service: o.Service, Made: o.Made}, pending: map[uint64][]Sample{}}
}

// Refer tells the recorder what others saw of the old version: where it has seen little of
// it itself, it holds the target's answers against that.
func (r *Recorder) Refer(to []Reference) {
	if len(to) > 0 {
		r.referred = to[:min(len(to), mostRoutes)]
	}
}

// Evidence is what the node has seen so far.
func (r *Recorder) Evidence() Evidence {
	return Evidence{Service: r.evidence.Service, Made: r.evidence.Made}.Plus(r.evidence)
}

// Sent counts a call that is sent: its answer is told later, by samples that say Sent. One
// to a cold endpoint counts only if it fails: its answer shows neither that the version is
// slow nor that it is not.
func (r *Recorder) Sent(s Sample) {
	if i := r.route(s); i >= 0 && s.Service == r.evidence.Service && !s.Cold {
		r.add(i, s, Count{Answers: 1})
	}
}

// Add takes an answer in, and says whether it counts as bad. A call that was counted when
// it was sent may be told of twice, by its first event and by its end, unless the first
// counted as bad; another one once. Attempts without any answer count as failed ones once
// the endpoint answers this node again soon, and not at all where more than a few come in
// a row.
func (r *Recorder) Add(s Sample) bool {
	if s.Service != r.evidence.Service {
		return false
	}
	if s.Unreached {
		r.keep(s)
		return true
	}
	for _, earlier := range r.pending[s.Endpoint] {
		if s.Now.Sub(earlier.Now) < unreachedFor {
			r.count(earlier)
		}
	}
	delete(r.pending, s.Endpoint)
	return r.count(s)
}

// SlowFrom is from how many times what was expected an answer of a route counts as slow;
// 0 is not known. Where others' word on the old version is all that is known, it is the
// time after which an answer is slow.
func (r *Recorder) SlowFrom(route string) (times float64, after time.Duration) {
	i := slices.IndexFunc(r.evidence.Routes, func(e RouteEvidence) bool { return e.Route == route })
	known := 0
	if i >= 0 {
		known = r.usual[i].answers
	}
	switch limit := r.referredLimit(route); {
	case known < expected && limit > 0:
		return 0, limit
	case known > 0:
		return slowTimes * math.Exp(r.usual[i].usual+r.common), 0
	}
	return 0, 0
}

// referredLimit is from when on an answer is slow by what others saw of the old version; 0
// is not known.
func (r *Recorder) referredLimit(route string) time.Duration {
	for _, known := range r.referred {
		if known.Route == route && known.Usual > 0 {
			return time.Duration(slowTimes*float64(known.Usual+referredBaseline)) - referredBaseline
		}
	}
	return 0
}

func (r *Recorder) keep(s Sample) {
	held, known := r.pending[s.Endpoint]
	switch {
	case !known && len(r.pending) >= mostPending:
	case known && len(held) == 0: // out of reach already
	case len(held) >= mostUnreached:
		r.pending[s.Endpoint] = nil
	default:
		r.pending[s.Endpoint] = append(held, s)
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
	var one Count
	if !s.Sent || s.Cold {
		one.Answers = 1
	}
	if s.Failed || r.slow(i, s) {
		one.Bad = 1
	}
	r.add(i, s, one)
	return one.Bad > 0
}

func (r *Recorder) add(i int, s Sample, one Count) {
	counts := &r.evidence.Routes[i].Old
	if s.Target {
		counts = &r.evidence.Routes[i].Target
	}
	c := CohortOf(s.Endpoint)
	counts[c] = counts[c].Plus(one)
	counts[c].Answers = max(counts[c].Answers, counts[c].Bad) // of a call that was sent before the order was known
}

// route finds the place of a sample's route, or makes one; -1 where there are too many.
func (r *Recorder) route(s Sample) int {
	for i := range r.evidence.Routes {
		if r.evidence.Routes[i].Route == s.Route {
			return i
		}
	}
	if len(r.usual) == mostRoutes {
		return -1
	}
	r.evidence.Routes = append(r.evidence.Routes, RouteEvidence{Route: s.Route, Once: s.Once})
	r.usual = append(r.usual, slowness{})
	return len(r.usual) - 1
}

// slow is whether an answer took several times what the old version usually takes on
// the route; where nothing was expected it is not known.
func (r *Recorder) slow(route int, s Sample) bool {
	if limit := r.referredLimit(s.Route); s.Target && r.usual[route].answers < expected && limit > 0 {
		return s.Took >= limit
	}
	if s.Slowness <= 0 || s.Target && !r.compared {
		return false // with nothing to hold it against
	}
	teaches := !s.Target && !s.AtLeast
	if s.AtLeast && r.usual[route].answers == 0 {
		return false
	}
	lies := r.usual[route].lies(math.Log(s.Slowness)-r.common, !teaches)
	if teaches {
		r.compared = true
		r.common += max(min(lies, commonStep), -commonStep)
		r.evidence.Routes[route].UsualMs = r.usual[route].took(r.evidence.Routes[route].UsualMs, s.Took)
	}
	return lies > math.Log(slowTimes)
}
