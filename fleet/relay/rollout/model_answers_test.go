package rollout

import (
	"math"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// answer is an answer in transit.
type answer struct {
	node           int
	incarnation    int
	sample         Sample
	old            bool
	first          bool  // the first event, with the end to follow
	fromBadVersion bool  // the version made it bad
	reported       *bool // already reported as bad, when it was late
	timer          bool  // a timer of the node instead of an answer
}

func (p *play) send(i, k int, route *modelRoute, e *engine.Engine) {
	n := &p.nodes[k]
	target := e.Version == "v2"
	a := answer{node: k, incarnation: n.incarnation, old: !target,
		sample: Sample{Service: "svc", Route: route.name, Once: route.once, Target: target, Endpoint: e.Hash}}
	slow := math.Exp(0.35 * p.rand.NormFloat64())
	if p.rand.IntN(300) == 0 {
		slow *= 3
	}
	fails := 0.002
	add := func(f fault, load float64) bool {
		if !f.shows(route.name, p.now, load) {
			return false
		}
		fails = 1 - (1-fails)*(1-f.fails)
		slow *= max(f.slower, 1)
		return true
	}
	if target {
		a.fromBadVersion = add(p.version, p.load(e))
		a.sample.Cold = p.now < p.cold
		if a.sample.Cold {
			slow *= 3
		}
		if p.callsByEndpoint[e.Hash]++; p.empty && p.callsByEndpoint[e.Hash] < 8 {
			slow *= 1.5
		}
		if e.Hash == p.unhealthy[1] {
			add(p.unhealthyTarget, 1)
		}
	} else if e.Hash == p.unhealthy[0] {
		add(p.unhealthyOld, 1)
	}
	if p.bothDuring.holds(p.now) {
		add(p.faultOfBoth, 1)
	}
	n.recorder.RecordSent(a.sample)
	a.sample.Sent = true
	a.sample.Failed = p.rand.Float64() < fails
	if p.separated(n, e) {
		a.sample.Failed, a.sample.Unreachable, a.fromBadVersion = true, true, false
	}
	a.fromBadVersion = a.fromBadVersion && (a.sample.Failed || p.version.slower > 0)
	if a.old {
		p.inFlight++
	}
	p.schedule(i, route, a, slow)
}

// lateMargin is the factor beyond the slow limit after which a node reports a call as late.
const lateMargin = 1.1

// reportLate makes the node report a call as slow once it has taken that long, before its answer
// arrives.
func (p *play) reportLate(i int, route *modelRoute, a answer, slow float64) {
	shows := route.shows()
	times, after := p.nodes[a.node].recorder.SlowThreshold(route.name)
	if times > 0 {
		after = time.Duration(lateMargin * times * float64(shows))
	}
	if after <= 0 || a.sample.Cold || slow*float64(shows) <= float64(after) {
		return
	}
	a.first, a.timer, a.old, a.sample.Slowness, a.sample.Took = true, true, false, lateMargin*times, after
	p.enqueue(i, after, a)
}

// schedule enqueues a call's first event and its end. Its slowness is known from the first of them.
func (p *play) schedule(i int, route *modelRoute, a answer, slow float64) {
	ends := min(time.Duration(slow*float64(route.median)), 12*time.Second)
	a.reported = new(bool)
	if !a.sample.Failed {
		p.reportLate(i, route, a, slow)
	}
	switch {
	case a.sample.Failed:
		ends = route.median / 3
	case route.first > 0:
		first := answer{node: a.node, incarnation: a.incarnation, first: true, sample: a.sample, reported: a.reported}
		first.sample.Slowness, first.sample.Took = slow, time.Duration(slow*float64(route.first))
		p.enqueue(i, min(time.Duration(slow*float64(route.first)), ends), first)
	default:
		a.sample.Slowness, a.sample.Took = slow, time.Duration(slow*float64(route.median))
	}
	p.enqueue(i, ends, a)
}

func (p *play) enqueue(i int, after time.Duration, a answer) {
	at := (i + 1 + int(after/step)) % len(p.ends)
	p.ends[at] = append(p.ends[at], a)
}

func (p *play) deliverAnswers(i int) {
	at := i % len(p.ends)
	for _, a := range p.ends[at] {
		if p.postpone(i, a) {
			continue
		}
		if a.old {
			p.inFlight--
		}
		n := &p.nodes[a.node]
		if n.incarnation == a.incarnation && !*a.reported {
			a.sample.Now = p.time()
			*a.reported = n.recorder.Add(a.sample)
		}
		if a.fromBadVersion && !a.first {
			p.out.badAnswers++
			if p.out.badAnswers == 50 {
				p.fiftieth = p.now
			}
		}
	}
	p.ends[at] = p.ends[at][:0]
}
