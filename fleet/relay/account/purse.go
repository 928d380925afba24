package account

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Purse is one node's part of the budgets: what it may spend without asking
// anyone. It is safe for concurrent use.
type Purse struct {
	node, life string
	tuning     Tuning

	mu       sync.Mutex
	pockets  map[string]*pocket
	revision int64 // newest revision of the book that was seen
	short    bool  // a reservation failed since the last proposal that was answered
}

// pocket is the part of one tenant.
type pocket struct {
	prepaid  int64
	limit    int64 // drawn: the least of what the store may hold for this life
	lent     int64 // net of what peers gave: counted out here before the message left
	spent    int64
	reserved int64
	closed   bool // this life's row was closed, or may be: nothing can be spent any more
	demand   demand
	short    int64   // tokens that reservations lacked since the last proposal that was answered
	draws    bool    // this node draws for itself, where others draw for most
	others   float64 // tokens a second that the other nodes are asked for
	clients  float64 // of these, what this node draws for
	left     int64   // of the whole budget by the last book, at most
	rest     int64   // of the whole budget by the last book, as estimated: left, less what was lent to nodes that do not report
	pool     int64   // not drawn by anyone, by the last book
}

// busy is what can't be given back, net of tokens that came from peers.
func (p *pocket) busy() int64 { return p.spent + p.reserved + p.lent }

func (p *pocket) free() int64 {
	if p.closed {
		return 0
	}
	return p.limit - p.busy()
}

// NewPurse returns the empty purse of one life of a node.
func NewPurse(node, life string, t Tuning) *Purse {
	return &Purse{node: node, life: life, tuning: t, pockets: map[string]*pocket{}}
}

// Answer is what the purse says to a reservation.
type Answer int

// The answers.
const (
	Reserved  Answer = iota
	Short            // this node's part is short, the whole budget may not be
	Exhausted        // the whole budget can't hold the request
)

// Holding is a tenant's state on this node, for logs: tokens, and tokens a second.
type Holding struct {
	Tenant   string
	Prepaid  int64
	Free     int64 // can be reserved now
	Reserved int64
	Pool     int64 // not drawn by anyone, by the last book
	Left     int64 // of the whole budget at most, by the last book
	Revision int64 // of that book
	Rate     float64
	Others   float64 // rate of the other nodes together
}

// Budget sets the prepaid budgets in force.
func (p *Purse) Budget(prepaid map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tenant, tokens := range prepaid {
		k := p.pocket(tenant)
		if k.prepaid != tokens {
			k.left += tokens - k.prepaid
			k.rest += tokens - k.prepaid
			k.pool = max(k.pool+tokens-k.prepaid, 0)
		}
		k.prepaid = tokens
	}
	for tenant, k := range p.pockets {
		if _, ok := prepaid[tenant]; !ok {
			k.prepaid = 0
		}
	}
}

func (p *pocket) holding(tenant string, now time.Time) Holding {
	return Holding{Tenant: tenant, Prepaid: p.prepaid, Free: p.free(), Reserved: p.reserved, Pool: p.pool, Left: p.left, Rate: p.demand.rate(now), Others: p.others}
}

func (p *Purse) pocket(tenant string) *pocket {
	k, ok := p.pockets[tenant]
	if !ok {
		k = &pocket{}
		p.pockets[tenant] = k
	}
	return k
}

// Reserve sets the most that a call can cost aside.
func (p *Purse) Reserve(tenant string, tokens int64, now time.Time) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.pocket(tenant)
	k.demand.add(tokens, now)
	return p.reserve(k, tokens)
}

// ReserveAgain is Reserve for a call that was answered Short before: it is not
// counted as demand once more.
func (p *Purse) ReserveAgain(tenant string, tokens int64) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserve(p.pocket(tenant), tokens)
}

func (p *Purse) reserve(k *pocket, tokens int64) Answer {
	if k.free() >= tokens {
		k.reserved += tokens
		return Reserved
	}
	if k.left < tokens {
		return Exhausted
	}
	k.short = max(k.short, tokens-k.free())
	p.short = p.short || k.pool > 0
	return Short
}

// State tells what decides about a tenant's reservations now.
func (p *Purse) State(tenant string) Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.pocket(tenant).holding(tenant, time.Now())
	h.Revision = p.revision
	return h
}

// Missing is how many tokens a reservation would lack now.
func (p *Purse) Missing(tenant string, tokens int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(tokens-p.pocket(tenant).free(), 0)
}

// Settle turns a reservation into what was used of it.
func (p *Purse) Settle(tenant string, reserved, used int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.pocket(tenant)
	k.reserved -= reserved
	k.spent += min(used, reserved)
	k.demand.refund(reserved - min(used, reserved))
}

// Short is whether a reservation has failed since the last proposal.
func (p *Purse) Short() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.short
}

// Holdings lists what is held, by tenant.
func (p *Purse) Holdings(now time.Time) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Holding, 0, len(p.pockets))
	for tenant, k := range p.pockets {
		all = append(all, k.holding(tenant, now))
	}
	slices.SortFunc(all, func(a, b Holding) int { return strings.Compare(a.Tenant, b.Tenant) })
	return all
}
