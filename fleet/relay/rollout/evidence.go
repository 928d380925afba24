package rollout

import (
	"slices"
	"time"
)

// Sample is the result of one call, for the comparison of two versions on one route.
type Sample struct {
	Service     string
	Route       string
	Once        bool   // calls of the route may run at most once
	Target      bool   // it ran at an endpoint of the target
	Endpoint    uint64 // hash of the endpoint's id
	Failed      bool
	Unreachable bool          // no answer came: no connection, a reset or silence; implies Failed
	Cold        bool          // the endpoint signals a cold start: its slowness isn't counted
	Now         time.Time     // by the node's monotonic clock
	Sent        bool          // Recorder.RecordSent counted the call when it was sent
	Slowness    float64       // time taken over time expected for its prompt and the load; 0 if unknown
	Took        time.Duration // until the first event, or all of a plain call; 0 if unknown
	Since       time.Time     // when the attempt was sent; zero if unknown
	LowerBound  bool          // Slowness and Took are lower bounds, which don't update the baseline
}

// Cohorts is the number of groups in which the endpoints of a version are counted, by the hash of
// their ids: one unhealthy endpoint affects one of them.
const Cohorts = 16

// CohortOf returns the cohort of an endpoint, by the hash of its id.
func CohortOf(endpoint uint64) int { return int(mix(endpoint) % Cohorts) }

// Count is the answers of one version on one route, including those that are still to come: failures
// arrive sooner than answers and slow answers later, so that a version that just started to receive
// more calls would otherwise look worse or better than it is.
type Count struct {
	Answers int `json:"n,omitempty"`
	Bad     int `json:"b,omitempty"` // failed, or several times slower than the old version's baseline
}

// Plus adds two counts.
func (c Count) Plus(o Count) Count { return Count{c.Answers + o.Answers, c.Bad + o.Bad} }

// Minus returns the difference to an earlier count.
func (c Count) Minus(o Count) Count { return Count{c.Answers - o.Answers, c.Bad - o.Bad} }

// Counts is the answers of one version on one route, by cohort.
type Counts [Cohorts]Count

// Plus adds two sets of counts.
func (c Counts) Plus(o Counts) Counts {
	for i := range c {
		c[i] = c[i].Plus(o[i])
	}
	return c
}

// Minus returns the difference to earlier counts.
func (c Counts) Minus(o Counts) Counts {
	for i := range c {
		c[i] = c[i].Minus(o[i])
	}
	return c
}

// Sum returns the total of all cohorts.
func (c Counts) Sum() Count {
	var sum Count
	for _, one := range c {
		sum = sum.Plus(one)
	}
	return sum
}

// RouteEvidence is what was observed on one route.
type RouteEvidence struct {
	Route  string `json:"r"`
	Once   bool   `json:"x,omitempty"` // its calls may run at most once
	Old    Counts `json:"o"`
	Target Counts `json:"t"`
	// MedianMs is the old version's median time until the first event, or for all of a plain call; 0
	// if unknown.
	MedianMs float64 `json:"u,omitempty"`
}

// Evidence is what was observed of an order's two versions, by one node since it learned of the order,
// or by several nodes together. Its counts only grow.
type Evidence struct {
	Service string          `json:"s"`
	Made    int64           `json:"m"` // of the order
	Routes  []RouteEvidence `json:"e,omitempty"`
}

// Max returns the elementwise maximum with earlier evidence, so that no count falls: a node that has
// just started to gather may not have received the counts of an incarnation that others knew.
func (e Evidence) Max(earlier Evidence) Evidence { return e.merged(earlier, Counts.elementwiseMax) }

// Plus adds what others observed of the same order.
func (e Evidence) Plus(o Evidence) Evidence { return e.merged(o, Counts.Plus) }

// add adds what others observed of the same order, in place. The receiver must not be shared.
func (e *Evidence) add(o Evidence) {
	for i := range o.Routes {
		r := &o.Routes[i]
		at := slices.IndexFunc(e.Routes, func(own RouteEvidence) bool { return own.Route == r.Route })
		if at < 0 {
			e.Routes = append(e.Routes, *r)
			continue
		}
		e.Routes[at].MedianMs = e.Routes[at].mergedMedianMs(*r)
		e.Routes[at].Old.add(&r.Old)
		e.Routes[at].Target.add(&r.Target)
	}
}

// mergedMedianMs combines both medians of the old version, weighted by the number of answers behind
// each.
func (r RouteEvidence) mergedMedianMs(o RouteEvidence) float64 {
	own, other := float64(r.Old.Sum().Answers), float64(o.Old.Sum().Answers)
	switch {
	case o.MedianMs <= 0 || other == 0:
		return r.MedianMs
	case r.MedianMs <= 0 || own == 0:
		return o.MedianMs
	}
	return (own*r.MedianMs + other*o.MedianMs) / (own + other)
}

func (c *Counts) add(o *Counts) {
	for i := range c {
		c[i] = c[i].Plus(o[i])
	}
}

// merged returns the evidence with the counts of another one merged into it, route by route.
func (e Evidence) merged(o Evidence, join func(own, other Counts) Counts) Evidence {
	e.Routes = slices.Clone(e.Routes)
	for _, r := range o.Routes {
		i := slices.IndexFunc(e.Routes, func(own RouteEvidence) bool { return own.Route == r.Route })
		if i < 0 {
			e.Routes = append(e.Routes, r)
			continue
		}
		e.Routes[i].MedianMs = e.Routes[i].mergedMedianMs(r)
		e.Routes[i].Old = join(e.Routes[i].Old, r.Old)
		e.Routes[i].Target = join(e.Routes[i].Target, r.Target)
	}
	return e
}

func (c Counts) elementwiseMax(earlier Counts) Counts {
	for i := range c {
		c[i] = Count{max(c[i].Answers, earlier[i].Answers), max(c[i].Bad, earlier[i].Bad)}
	}
	return c
}

// Route returns what was observed on a route.
func (e Evidence) Route(name string) RouteEvidence {
	for _, r := range e.Routes {
		if r.Route == name {
			return r
		}
	}
	return RouteEvidence{Route: name}
}

// counts returns the answers of both versions on a route; "" selects all routes.
func (e Evidence) counts(route string) (target, old Count) {
	for _, r := range e.Routes {
		if route == "" || r.Route == route {
			target = target.Plus(r.Target.Sum())
			old = old.Plus(r.Old.Sum())
		}
	}
	return target, old
}

// Answers returns the number of answers of both versions together, and of the target.
func (e Evidence) Answers() (all, target Count) {
	target, old := e.counts("")
	return target.Plus(old), target
}

// Verdict is a judgment of a target.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)
