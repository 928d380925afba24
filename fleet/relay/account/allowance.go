package account

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Allowance is one node's share of the budgets: what it may spend without asking other nodes
// or the store. It is safe for concurrent use.
type Allowance struct {
	node, incarnation string
	tuning            Tuning

	mu        sync.Mutex
	quotas    map[string]*quota
	revision  store.Revision // newest known revision of the ledger
	shortfall bool           // a reservation has failed since the last completed proposal
	outage    outage         // expected outage of the store
}

// quota is the share of one tenant's budget.
type quota struct {
	prepaid        int64
	limit          int64 // minimum of what the store may hold as drawn by this incarnation
	granted        int64 // net of tokens received from peers; deducted before the message is sent
	spent          int64
	reserved       int64
	closed         bool // this incarnation's row was closed, or may be: nothing can be spent any more
	demand         demand
	shortfall      int64   // tokens that reservations lacked since the last completed proposal
	others         float64 // demand on the other nodes in tokens a second
	dependents     float64 // share of others for which this node draws
	dependentsFast float64 // same as dependents, over about the last second
	maxRemaining   int64   // upper bound of the whole budget's remainder, by the last ledger
	estimate       int64   // estimated remainder of the whole budget, by the last ledger (Account.Remaining)
	pool           int64   // not drawn by any node, by the last ledger
}

// busy returns what can't be given back, net of tokens received from peers.
func (q *quota) busy() int64 { return q.spent + q.reserved + q.granted }

func (q *quota) free() int64 {
	if q.closed {
		return 0
	}
	return q.limit - q.busy()
}

// NewAllowance returns the empty allowance of one incarnation of a node.
func NewAllowance(node, incarnation string, t Tuning) *Allowance {
	return &Allowance{node: node, incarnation: incarnation, tuning: t, quotas: map[string]*quota{}}
}

// Answer is the result of a reservation.
type Answer int

// The answers.
const (
	Reserved     Answer = iota
	Insufficient        // this node's share is too small, the whole budget may not be
	Exhausted           // the whole budget is too small for the request
)

// Holding is a tenant's state on this node, for logs. Amounts are tokens, rates tokens a second.
type Holding struct {
	Tenant   string
	Prepaid  int64
	Free     int64 // can be reserved now
	Reserved int64
	Pool     int64          // not drawn by any node, by the last ledger
	Left     int64          // upper bound of the whole budget's remainder, by the last ledger
	Revision store.Revision // of that ledger
	Rate     float64
	Others   float64 // total rate of the other nodes
}

// maxPrepaid bounds a budget, and what a peer may ask for, so that no row of the ledger exceeds what its
// readers take.
const maxPrepaid = maxTokens / 2

// Budget sets the prepaid budgets by tenant. Tenants that are not listed have none.
func (p *Allowance) Budget(prepaid map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tenant, tokens := range prepaid {
		tokens = min(max(tokens, 0), maxPrepaid)
		q := p.quota(tenant)
		if q.prepaid != tokens {
			q.maxRemaining += tokens - q.prepaid
			q.estimate += tokens - q.prepaid
			q.pool = max(q.pool+tokens-q.prepaid, 0)
		}
		q.prepaid = tokens
	}
	for tenant, q := range p.quotas {
		if _, ok := prepaid[tenant]; !ok {
			q.prepaid = 0
		}
	}
}

func (q *quota) holding(tenant string, now time.Time) Holding {
	return Holding{Tenant: tenant, Prepaid: q.prepaid, Free: q.free(), Reserved: q.reserved, Pool: q.pool, Left: q.maxRemaining, Rate: q.demand.rate(now), Others: q.others}
}

func (p *Allowance) quota(tenant string) *quota {
	q, ok := p.quotas[tenant]
	if !ok {
		q = &quota{}
		p.quotas[tenant] = q
	}
	return q
}

// Reserve reserves the maximum that a call can cost.
func (p *Allowance) Reserve(tenant string, tokens int64, now time.Time) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.quota(tenant)
	q.demand.add(tokens, now)
	return p.reserve(q, tokens)
}

// RetryReserve is like Reserve, for a call that got Insufficient before: it does not count as
// demand a second time.
func (p *Allowance) RetryReserve(tenant string, tokens int64) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserve(p.quota(tenant), tokens)
}

func (p *Allowance) reserve(q *quota, tokens int64) Answer {
	if q.free() >= tokens {
		q.reserved += tokens
		return Reserved
	}
	if q.maxRemaining < tokens {
		return Exhausted
	}
	q.shortfall = max(q.shortfall, tokens-q.free())
	p.shortfall = p.shortfall || q.pool > 0
	return Insufficient
}

// State returns the current state that decides a tenant's reservations.
func (p *Allowance) State(tenant string) Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.quota(tenant).holding(tenant, clock.Now())
	h.Revision = p.revision
	return h
}

// Missing returns how many tokens a reservation would lack now.
func (p *Allowance) Missing(tenant string, tokens int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(tokens-p.quota(tenant).free(), 0)
}

// Settle replaces a reservation by the tokens that were used of it.
func (p *Allowance) Settle(tenant string, reserved, used int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.quota(tenant)
	q.reserved -= reserved
	q.spent += min(used, reserved)
	q.demand.refund(reserved - min(used, reserved))
}

// HasShortfall reports whether a reservation has failed since the last proposal.
func (p *Allowance) HasShortfall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shortfall
}

// Holdings returns the state of each tenant, sorted by tenant.
func (p *Allowance) Holdings(now time.Time) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Holding, 0, len(p.quotas))
	for tenant, q := range p.quotas {
		all = append(all, q.holding(tenant, now))
	}
	slices.SortFunc(all, func(a, b Holding) int { return strings.Compare(a.Tenant, b.Tenant) })
	return all
}
