package account

import (
	"math"
	"time"

	"github.com/samber/lo"
)

// BudgetReport is what a node sends to its peers about one budget, in tokens and tokens a
// second. Only nodes that write the ledger for others send All and Left.
type BudgetReport struct {
	Free int64   `json:"f,omitempty"` // tokens the node could grant
	Rate float64 `json:"r,omitempty"` // demand on the node
	Fast float64 `json:"q,omitempty"` // demand over about the last second, where that is more
	All  float64 `json:"a,omitempty"` // demand on all nodes known to it
	Left int64   `json:"l,omitempty"` // upper bound of the whole budget's remainder
}

// BudgetReports returns what this node could grant and its demand, by tenant.
func (p *Allowance) BudgetReports(now time.Time) map[string]BudgetReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make(map[string]BudgetReport, len(p.quotas))
	for tenant, q := range p.quotas {
		report := BudgetReport{Free: max(q.free(), 0), Rate: math.Round(q.demand.steady(now))}
		if fast := math.Round(q.demand.fast); fast > report.Rate {
			report.Fast = fast
		}
		if report != (BudgetReport{}) {
			reports[tenant] = report
		}
	}
	return reports
}

// Fleet is what a node knows of the other nodes' share in one budget. Rates are tokens a second.
type Fleet struct {
	Others     float64 // demand on the other nodes, by the reports received here
	All        float64 // demand on all nodes, as reported by nodes that receive all reports
	Dependents float64 // share of Others for which this node draws
	Fast       float64 // same as Dependents, over about the last second
	Left       int64   // upper bound of the whole budget's remainder, by a reader of the ledger; 0 is unknown
}

// bounded returns the figures within the bounds of a ledger, since peers' reports are not trusted.
func (f Fleet) bounded() Fleet {
	rate := func(r float64) float64 { return min(max(r, 0), maxTokens) }
	return Fleet{Others: rate(f.Others), All: rate(f.All), Dependents: rate(f.Dependents), Fast: rate(f.Fast), Left: min(f.Left, maxPrepaid)}
}

// SetFleets sets what is known of the other nodes, by tenant.
func (p *Allowance) SetFleets(fleets map[string]Fleet, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tenant, q := range p.quotas {
		f := fleets[tenant].bounded()
		own := q.demand.steady(now)
		q.others, q.dependents, q.dependentsFast = max(f.Others, f.All-own), f.Dependents, f.Fast
		if f.Left > 0 && p.revision == 0 {
			q.maxRemaining, q.estimate = f.Left, f.Left
		}
	}
}

// aheadDivisor is the divisor of a node's target for what it acquires ahead. The nodes that draw for
// it hold the rest.
const aheadDivisor = 4

// aheadPeriod is the period of future demand that is requested together with the tokens that a call
// lacks, so that a node with much demand does not send a request for each call.
const aheadPeriod = 250 * time.Millisecond

// UpcomingDemand returns what the calls of the next 250 ms will need of a budget.
func (p *Allowance) UpcomingDemand(tenant string, now time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.quota(tenant).demand.rate(now) * aheadPeriod.Seconds())
}

// minHoldingCalls is the minimum size of a holding, in calls, where some nodes draw for the others.
// Smaller amounts are better pooled by those nodes.
const minHoldingCalls = 4

// Deficits returns by tenant what a node that does not write the ledger should acquire ahead: the
// gap to its target, where the gap is large and the target is worth a holding of its own.
func (p *Allowance) Deficits(nodes int, fraction float64, now time.Time) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	deficits := map[string]int64{}
	for tenant, q := range p.quotas {
		target := p.tuning.target(q, nodes, p.outage.expected(now), now) / aheadDivisor
		if q.demand.known && target >= minHoldingCalls*q.demand.typicalCall() && float64(q.free()) < fraction*float64(target) {
			deficits[tenant] = target - q.free()
		}
	}
	return deficits
}

// HoldsRow reports whether this incarnation's row may show tokens drawn. A node that no longer
// draws gives them back.
func (p *Allowance) HoldsRow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.SomeBy(lo.Values(p.quotas), func(q *quota) bool { return q.limit > 0 })
}
