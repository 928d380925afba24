package account

import (
	"math"
	"time"

	"github.com/samber/lo"
)

// BudgetReport is what a node tells its peers about one budget: tokens, and tokens a
// second. All and Left are told by nodes that write the ledger for others.
type BudgetReport struct {
	Free int64   `json:"f,omitempty"` // that it could give
	Rate float64 `json:"r,omitempty"` // that it is asked for
	Fast float64 `json:"q,omitempty"` // the same over the last second or so, where that is more
	All  float64 `json:"a,omitempty"` // that all nodes it heard of are asked for
	Left int64   `json:"l,omitempty"` // of the whole budget at most
}

// BudgetReports lists what this node could give and is asked for, by tenant.
func (p *Allowance) BudgetReports(now time.Time) map[string]BudgetReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make(map[string]BudgetReport, len(p.quotas))
	for tenant, k := range p.quotas {
		o := BudgetReport{Free: max(k.free(), 0), Rate: math.Round(k.demand.steady(now))}
		if fast := math.Round(k.demand.fast); fast > o.Rate {
			o.Fast = fast
		}
		if o != (BudgetReport{}) {
			reports[tenant] = o
		}
	}
	return reports
}

// Fleet is what a node knows of the others' part in one budget.
type Fleet struct {
	Others  float64 // tokens a second that they are asked for, by those this node heard
	All     float64 // the same with this node's own, as nodes that hear all of them told
	Clients float64 // of the others, what this node draws for
	Fast    float64 // the same over the last second or so
	Left    int64   // of the whole budget at most, by a node that reads the ledger; 0 is not known
}

// Fleets sets what is known of the other nodes, by tenant.
func (p *Allowance) Fleets(fleets map[string]Fleet, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tenant, k := range p.quotas {
		f := fleets[tenant]
		own := k.demand.steady(now)
		k.others, k.clients, k.clientsFast = max(f.Others, f.All-own), f.Clients, f.Fast
		if f.Left > 0 && p.revision == 0 {
			k.left, k.estimate = f.Left, f.Left
		}
	}
}

// aheadPart is the part of a node's target that it acquires ahead: the nodes that
// draw for it hold the rest.
const aheadPart = 4

// askAhead is for how long the calls to come are asked for together with one that
// lacks tokens, so that a node which is asked for much does not ask for each.
const askAhead = 250 * time.Millisecond

// Ahead is what the calls of the next moment will need of a budget.
func (p *Allowance) Ahead(tenant string, now time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.quota(tenant).demand.rate(now) * askAhead.Seconds())
}

// worthHolding is how many calls a holding must be good for, in a fleet in which
// some nodes draw for the others: less is better held together by these.
const worthHolding = 4

// Deficits lists by tenant what a node that does not write the ledger should
// acquire ahead: what its holding is short of its target, where that is much and
// the target is worth holding apart.
func (p *Allowance) Deficits(nodes int, fraction float64, now time.Time) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	deficits := map[string]int64{}
	for tenant, k := range p.quotas {
		target := p.tuning.target(k, nodes, p.outage.expected(now), now) / aheadPart
		if k.demand.known && target >= worthHolding*k.demand.typical() && float64(k.free()) < fraction*float64(target) {
			deficits[tenant] = target - k.free()
		}
	}
	return deficits
}

// HoldsRow is whether this life's row may say that it has drawn something: a node
// that no longer draws gives it back.
func (p *Allowance) HoldsRow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.SomeBy(lo.Values(p.quotas), func(k *quota) bool { return k.limit > 0 })
}
