package account

import (
	"math"
	"time"
)

// Tuning determines how much a node holds of each budget.
type Tuning struct {
	Horizon   time.Duration // how long holdings last at the present demand
	Exposure  float64       // maximum share of the remainder beyond the reserve that all nodes hold together
	Reserve   float64       // horizons of demand that no node holds, so that they outlast a loss of all nodes
	MinShare  float64       // share of the remainder that may be held in any case
	Margin    float64       // holdings last this many times the longest recent outage
	First     float64       // share of a budget's remainder that all nodes draw together before demand is known
	MinDraw   float64       // minimum draw that is worth a write, as a share of the target
	Surplus   float64       // a holding of this many times its target is given back
	MinReport float64       // spending that is worth a report, as a share of the budget
}

// DefaultTuning returns the defaults; see docs/design/07-platform.md.
func DefaultTuning() Tuning {
	return Tuning{Horizon: 10 * time.Second, Exposure: 0.4, Reserve: 1, MinShare: 0.07, Margin: 1.25, First: 0.2, MinDraw: 0.2, Surplus: 1.5, MinReport: 0.02}
}

// target returns how many free tokens a node should hold of a budget: its own demand over the
// horizon, or over a recent outage of the store, within this node's share of the exposure.
func (t Tuning) target(q *quota, nodes int, outage time.Duration, now time.Time) int64 {
	if !q.demand.known && q.others <= 0 {
		return int64(t.First * float64(max(q.estimate, 0)) / float64(max(nodes, 1)))
	}
	steady := q.demand.steady(now)
	all := steady + q.others
	if all <= 0 {
		return 0
	}
	left := float64(max(q.estimate, 0))
	maxHeld := t.maxHeld(left, all) * (steady + q.dependents) / all
	length := max(t.Horizon.Seconds(), t.Margin*outage.Seconds())
	rising := max(steady+q.dependents, q.demand.fast+q.dependentsFast)
	return int64(min(rising*length, maxHeld))
}

// maxHeld returns the maximum that all nodes together hold of a budget's remainder at a given
// total demand. What is held is lost with the nodes; what is not held can't be spent in an
// outage. Far from the end of a budget the first costs nothing. Near the end the second costs
// nothing, since the tokens can be spent afterwards.
func (t Tuning) maxHeld(left, rate float64) float64 {
	reserve := t.Reserve * t.Horizon.Seconds() * rate
	return max(t.Exposure*(left-reserve), t.MinShare*left)
}

// share returns how much of a pool one node may draw: what it wants while the pool is large,
// and a share by its demand as the pool runs low.
func (t Tuning) share(q *quota, pool int64, nodes int, want int64, now time.Time) int64 {
	if pool <= 0 {
		return 0
	}
	if want <= pool/int64(max(nodes, 1)) {
		return want
	}
	share := 1 / float64(max(nodes, 1))
	if own := q.demand.steady(now) + q.dependents; own > 0 {
		share = max(share, own/(own-q.dependents+q.others))
	}
	return min(want, max(int64(share*float64(pool)), 1))
}

// demand tracks the demand in tokens a second: the greater of a fast and a slow average, so
// that a sudden rise shows within a second.
type demand struct {
	known      bool
	since      time.Time
	bucket     float64
	fast, slow float64
	weight     float64 // share of the slow average that comes from observed buckets
	mean       float64 // tokens per call
}

const (
	demandBucket = 500 * time.Millisecond
	fastDecay    = 0.5 // decay of the fast average per bucket
	slowDecay    = 0.95
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

// typicalCall returns the mean size of a call.
func (d *demand) typicalCall() int64 { return int64(d.mean) }

func (d *demand) refund(tokens int64) { d.bucket -= float64(tokens) }

func (d *demand) roll(now time.Time) {
	n := int(now.Sub(d.since) / demandBucket)
	if n <= 0 {
		return
	}
	perSecond := d.bucket / demandBucket.Seconds()
	d.fast = d.fast*fastDecay + perSecond*(1-fastDecay)
	d.slow = d.slow*slowDecay + perSecond*(1-slowDecay)
	d.weight = 1 - (1-d.weight)*math.Pow(slowDecay, float64(n))
	if n > 1 {
		d.fast *= math.Pow(fastDecay, float64(n-1))
		d.slow *= math.Pow(slowDecay, float64(n-1))
	}
	d.bucket = 0
	d.since = d.since.Add(time.Duration(n) * demandBucket)
}

// steady returns the demand in tokens a second over some seconds.
func (d *demand) steady(now time.Time) float64 {
	d.roll(now)
	if d.weight == 0 {
		return 0
	}
	return max(d.slow/d.weight, 0)
}

// rate returns the demand in tokens a second; a sudden rise shows at once.
func (d *demand) rate(now time.Time) float64 {
	return max(d.steady(now), d.fast)
}
