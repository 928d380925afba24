package account

import (
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Apply applies the ledger that the store holds. Only a newer revision shows the outcome of
// proposals: until then the lowest of them bounds what may be spent.
func (p *Allowance) Apply(l Ledger, revision store.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision <= p.revision {
		return
	}
	p.revision = revision
	for tenant, q := range p.quotas {
		a := l.Account(tenant)
		row, _ := a.Row(p.incarnation)
		q.limit = row.Drawn
		q.pool = a.Pool(q.prepaid)
		q.maxRemaining = q.prepaid - a.Spent()
		q.estimate = a.Remaining(q.prepaid)
	}
}

// Round is what a proposal depends on besides the ledger and the allowance.
type Round struct {
	Nodes   int // nodes that draw from the ledger
	Now     time.Time
	Draws   bool // this node draws; otherwise it only gives back what it drew before
	Leaving bool // the node is about to stop: everything that is not in use is given back
	Paused  bool // nothing may be drawn yet: the ledger may lack what others have drawn
}

// Propose returns the ledger that this node wants to write, and whether that is worth a write.
// What it gives back is removed from the allowance at once, whether or not the write succeeds.
func (p *Allowance) Propose(l Ledger, r Round) (Ledger, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	worthWrite := false
	for _, tenant := range p.tenants() {
		q := p.quotas[tenant]
		a := l.Account(tenant).WithClosed(p.isEarlierIncarnation)
		before, known := a.Row(p.incarnation)
		if q.closed && !known || !r.Draws && !known {
			continue
		}
		after := Row{Node: p.node, Incarnation: p.incarnation, Spent: q.spent, Granted: q.granted}
		after.Drawn = p.wantedDrawn(q, a, before.Drawn, r)
		worthIt := p.worthWriting(q, before, after)
		if after == before && !r.Leaving || !known && after.Drawn == 0 {
			continue
		}
		worthWrite = worthWrite || worthIt
		q.limit = min(q.limit, after.Drawn)
		a = a.WithRow(after)
		a.Rate = q.fleetRate(r.Now)
		if r.Leaving && q.reserved == 0 {
			q.closed = true
			a = a.WithClosed(func(r Row) bool { return r.Incarnation == p.incarnation })
		}
		l = l.WithAccount(a)
	}
	return l, worthWrite
}

// fleetRate returns the known demand on all nodes together, in tokens a second.
func (q *quota) fleetRate(now time.Time) int64 {
	return int64(max(q.demand.steady(now)+q.others, q.demand.fast+q.dependentsFast))
}

// ShortfallProposed resets the shortfall after a proposal that covered it was written or not worth
// a write.
func (p *Allowance) ShortfallProposed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shortfall = false
	for _, q := range p.quotas {
		q.shortfall = 0
	}
}

func (p *Allowance) tenants() []string {
	names := make([]string, 0, len(p.quotas))
	for tenant := range p.quotas {
		names = append(names, tenant)
	}
	slices.Sort(names)
	return names
}

// isEarlierIncarnation reports whether a row belongs to an earlier incarnation on this VM. Those have
// ended, since a VM runs one process at a time.
func (p *Allowance) isEarlierIncarnation(r Row) bool {
	return r.Node == p.node && r.Incarnation != p.incarnation
}

// wantedDrawn returns the amount drawn that the row should show.
func (p *Allowance) wantedDrawn(q *quota, a Account, drawn int64, r Round) int64 {
	busy := q.busy()
	if r.Leaving {
		return busy
	}
	target := q.shortfall
	if r.Draws {
		target += p.tuning.target(q, r.Nodes, p.outage.expected(r.Now), r.Now)
	}
	free := drawn - busy
	pool := a.Pool(q.prepaid)
	switch {
	case free < target && r.Paused:
		return drawn
	case free < target:
		return drawn + max(p.tuning.share(q, pool, r.Nodes, target-free, r.Now), min(q.shortfall, pool))
	case overdrawn(a, q.prepaid) > 0:
		return max(busy, drawn-overdrawn(a, q.prepaid))
	case float64(free) > p.tuning.Surplus*float64(target) && free-target >= q.demand.typicalCall():
		return busy + target
	default:
		return drawn
	}
}

// overdrawn returns how much the amount drawn exceeds a budget that was lowered.
func overdrawn(a Account, prepaid int64) int64 { return max(a.Drawn()-prepaid, 0) }

// worthWriting reports whether a change of a row is worth a write.
func (p *Allowance) worthWriting(q *quota, before, after Row) bool {
	if after.Drawn < before.Drawn {
		return true
	}
	drawn := after.Drawn - before.Drawn
	free := before.Drawn - q.busy()
	return drawn > 0 && (q.shortfall > 0 || float64(drawn) > p.tuning.MinDraw*float64(max(free+drawn, 1)) && drawn >= q.demand.typicalCall()/2) ||
		float64(after.Spent-before.Spent+after.Granted-before.Granted) > p.tuning.MinReport*float64(max(q.prepaid, 1))
}
