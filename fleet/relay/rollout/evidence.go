package rollout

import (
	"slices"
	"time"
)

// Sample is how one answer went, for the comparison of two versions on one route.
type Sample struct {
	Service   string
	Route     string
	Once      bool   // calls of the route may run at most once
	Target    bool   // it ran at an endpoint of the target
	Endpoint  uint64 // hash of the endpoint's id
	Failed    bool
	Unreached bool          // no answer came: no connection, a reset, silence; Failed goes with it
	Cold      bool          // the endpoint says that it is slow from its start: its slowness isn't counted
	Now       time.Time     // by the node's steady clock
	Sent      bool          // Recorder.Sent counted the call when it was sent
	Slowness  float64       // time taken over time expected for its prompt and the load; 0 is not known
	Took      time.Duration // until the first event, or all of a plain call; 0 is not known
	Since     time.Time     // when the attempt was sent; zero is not known
	AtLeast   bool          // it may have taken longer than Slowness and Took say: it may be slow, and teaches nothing
}

// Cohorts is how many groups the endpoints of a version are counted in, by the hash of
// their ids: one endpoint that is ill spoils one of them.
const Cohorts = 16

// CohortOf is the group of an endpoint, by the hash of its id.
func CohortOf(endpoint uint64) int { return int(mix(endpoint) % Cohorts) }

// Count is answers of one version on one route, with those that are still to come:
// failures come sooner than answers, and late answers later, so that a version that has
// just got more calls would else look worse or better than it is.
type Count struct {
	Answers int `json:"n,omitempty"`
	Bad     int `json:"b,omitempty"` // failed, or several times slower than the old version's usual
}

// Plus adds two counts.
func (c Count) Plus(o Count) Count { return Count{c.Answers + o.Answers, c.Bad + o.Bad} }

// Minus is what a count has more than an earlier one.
func (c Count) Minus(o Count) Count { return Count{c.Answers - o.Answers, c.Bad - o.Bad} }

// Counts is answers of one version on one route, by cohort.
type Counts [Cohorts]Count

// Plus adds two counts.
func (c Counts) Plus(o Counts) Counts {
	for i := range c {
		c[i] = c[i].Plus(o[i])
	}
	return c
}

// Minus is what counts have more than earlier ones.
func (c Counts) Minus(o Counts) Counts {
	for i := range c {
		c[i] = c[i].Minus(o[i])
	}
	return c
}

// Sum is all cohorts together.
func (c Counts) Sum() Count {
	var sum Count
	for _, one := range c {
		sum = sum.Plus(one)
	}
	return sum
}

// RouteEvidence is what was seen on one route.
type RouteEvidence struct {
	Route  string `json:"r"`
	Once   bool   `json:"x,omitempty"` // its calls may run at most once
	Old    Counts `json:"o"`
	Target Counts `json:"t"`
	// UsualMs is how long the old version usually takes until the first event, or for all of
	// a plain call; 0 is not known.
	UsualMs float64 `json:"u,omitempty"`
}

// Evidence is what was seen of an order's two versions, by one node since it knows of
// the order, or by several nodes together. It only grows.
type Evidence struct {
	Service string          `json:"s"`
	Made    int64           `json:"m"` // of the order
	Routes  []RouteEvidence `json:"e,omitempty"`
}

// AtLeast returns evidence that falls below an earlier one nowhere: one who has just begun
// to gather may not have heard of a life that others knew.
func (e Evidence) AtLeast(earlier Evidence) Evidence { return e.joined(earlier, Counts.atLeast) }

// Plus adds what others have seen of the same order.
func (e Evidence) Plus(o Evidence) Evidence { return e.joined(o, Counts.Plus) }

// add adds what others have seen of the same order to evidence that nobody else holds.
func (e *Evidence) add(o Evidence) {
	for i := range o.Routes {
		r := &o.Routes[i]
		at := slices.IndexFunc(e.Routes, func(own RouteEvidence) bool { return own.Route == r.Route })
		if at < 0 {
			e.Routes = append(e.Routes, *r)
			continue
		}
		e.Routes[at].UsualMs = e.Routes[at].usualWith(*r)
		e.Routes[at].Old.add(&r.Old)
		e.Routes[at].Target.add(&r.Target)
	}
}

// usualWith is what both know of the old version's usual time, by how many answers each
// knows it from.
func (r RouteEvidence) usualWith(o RouteEvidence) float64 {
	own, other := float64(r.Old.Sum().Answers), float64(o.Old.Sum().Answers)
	switch {
	case o.UsualMs <= 0 || other == 0:
		return r.UsualMs
	case r.UsualMs <= 0 || own == 0:
		return o.UsualMs
	}
	return (own*r.UsualMs + other*o.UsualMs) / (own + other)
}

func (c *Counts) add(o *Counts) {
	for i := range c {
		c[i] = c[i].Plus(o[i])
	}
}

// joined returns the evidence with another one's counts joined to its own, route by route.
func (e Evidence) joined(o Evidence, join func(own, other Counts) Counts) Evidence {
	e.Routes = slices.Clone(e.Routes)
	for _, r := range o.Routes {
		i := slices.IndexFunc(e.Routes, func(own RouteEvidence) bool { return own.Route == r.Route })
		if i < 0 {
			e.Routes = append(e.Routes, r)
			continue
		}
		e.Routes[i].UsualMs = e.Routes[i].usualWith(r)
		e.Routes[i].Old = join(e.Routes[i].Old, r.Old)
		e.Routes[i].Target = join(e.Routes[i].Target, r.Target)
	}
	return e
}

func (c Counts) atLeast(earlier Counts) Counts {
	for i := range c {
		c[i] = Count{max(c[i].Answers, earlier[i].Answers), max(c[i].Bad, earlier[i].Bad)}
	}
	return c
}

// Route finds what was seen on a route.
func (e Evidence) Route(name string) RouteEvidence {
	for _, r := range e.Routes {
		if r.Route == name {
			return r
		}
	}
	return RouteEvidence{Route: name}
}

// counts is the answers of both versions on a route; "" is all routes.
func (e Evidence) counts(route string) (target, old Count) {
	for _, r := range e.Routes {
		if route == "" || r.Route == route {
			target = target.Plus(r.Target.Sum())
			old = old.Plus(r.Old.Sum())
		}
	}
	return target, old
}

// Answers is how many answers there are, of both versions and of the target.
func (e Evidence) Answers() (all, target Count) {
	target, old := e.counts("")
	return target.Plus(old), target
}

// Verdict is what evidence says of a target.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)
