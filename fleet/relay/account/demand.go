package account

import (
	"math"
	"time"
)

// Tuning says how much a node holds of each budget.
type Tuning struct {
	Horizon  time.Duration // holdings last this long at the present demand
	Exposure float64       // of what is left of a budget beyond the reserve, the part that all nodes together hold at most
	Reserve  float64       // horizons of demand that nobody holds, so that they are there after a loss of all nodes
	Least    float64       // of what is left, the part that may be held in any case
	Margin   float64       // holdings last this many times the longest outage seen lately
	First    float64       // of what is left of a budget, the part that all nodes together draw before any demand is known
	Step     float64       // least draw worth a write, as a part of the target
	Surplus  float64       // a holding this many times its target is given back
	Report   float64       // spending that is worth a report, as a part of the budget
}

// DefaultTuning is what measurements led to; docs/design/07-platform.md.
func DefaultTuning() Tuning {
	return Tuning{Horizon: 10 * time.Second, Exposure: 0.4, Reserve: 1, Least: 0.07, Margin: 1.25, First: 0.2, Step: 0.2, Surplus: 1.5, Report: 0.02}
}

// target is how many free tokens a node should hold of a budget: what its own
// demand takes for the horizon, or for an outage of the store that was seen lately,
// within this node's part of the exposure.
func (t Tuning) target(k *quota, nodes int, outage time.Duration, now time.Time) int64 {
	if !k.demand.known && k.others <= 0 {
		return int64(t.First * float64(max(k.estimate, 0)) / float64(max(nodes, 1)))
	}
	steady := k.demand.steady(now)
	all := steady + k.others
	if all <= 0 {
		return 0
	}
	left := float64(max(k.estimate, 0))
	exposed := t.exposed(left, all) * (steady + k.clients) / all
	length := max(t.Horizon.Seconds(), t.Margin*outage.Seconds())
	rising := max(steady+k.clients, k.demand.fast+k.clientsFast)
	return int64(min(rising*length, exposed))
}

// exposed is how much all nodes together hold at most of what is left of a budget that
// all together are asked for at a rate. What is held is lost with the nodes, and what
// is not can't be spent in an outage: far from the end of a budget the first costs
// nothing; near to it the second does not, since it can be spent afterwards.
func (t Tuning) exposed(left, rate float64) float64 {
	reserve := t.Reserve * t.Horizon.Seconds() * rate
	return max(t.Exposure*(left-reserve), t.Least*left)
}

// share is how much of a pool one node may draw: what it wants while much is
// left, a part by its demand as the pool runs low.
func (t Tuning) share(k *quota, pool int64, nodes int, want int64, now time.Time) int64 {
	if pool <= 0 {
		return 0
	}
	if want*int64(max(nodes, 1)) <= pool {
		return want
	}
	part := 1 / float64(max(nodes, 1))
	if own := k.demand.steady(now) + k.clients; own > 0 {
		part = max(part, own/(own-k.clients+k.others))
	}
	return min(want, max(int64(part*float64(pool)), 1))
}

// demand follows how many tokens a second are asked for: the greater of a fast
// and a slow average, so that a sudden rise shows within a second.
type demand struct {
	known      bool
	since      time.Time
	bucket     float64
	fast, slow float64
	weight     float64 // of the slow average that real buckets have filled
	mean       float64 // tokens of a call
}

const (
	demandBucket = 500 * time.Millisecond
	fastKeep     = 0.5 // of the fast average for each bucket
	slowKeep     = 0.95
	meanWeight   = 0.1
)

func (d *demand) add(tokens int64, now time.Time) {
	if !d.known {
		d.known, d.since = true, now
	}
	d.roll(now)
	d.bucket += float64(tokens)
	d.mean += (float64(tokens) - d.mean) * meanWeight
}

// typical is the size of a call.
func (d *demand) typical() int64 { return int64(d.mean) }

func (d *demand) refund(tokens int64) { d.bucket -= float64(tokens) }

func (d *demand) roll(now time.Time) {
	n := int(now.Sub(d.since) / demandBucket)
	if n <= 0 {
		return
	}
	perSecond := d.bucket / demandBucket.Seconds()
	d.fast = d.fast*fastKeep + perSecond*(1-fastKeep)
	d.slow = d.slow*slowKeep + perSecond*(1-slowKeep)
	d.weight = 1 - (1-d.weight)*math.Pow(slowKeep, float64(n))
	if n > 1 {
		d.fast *= math.Pow(fastKeep, float64(n-1))
		d.slow *= math.Pow(slowKeep, float64(n-1))
	}
	d.bucket = 0
	d.since = d.since.Add(time.Duration(n) * demandBucket)
}

// steady is tokens a second over some seconds.
func (d *demand) steady(now time.Time) float64 {
	d.roll(now)
	if d.weight == 0 {
		return 0
	}
	return max(d.slow/d.weight, 0)
}

// rate is tokens a second, with a sudden rise in it at once.
func (d *demand) rate(now time.Time) float64 {
	return max(d.steady(now), d.fast)
}
