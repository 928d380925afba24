package account

import (
	"math"
	"slices"
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
	short    bool  // a reservation failed since the last proposal
}

// pocket is the part of one tenant.
type pocket struct {
	prepaid  int64
	limit    int64 // drawn: the least of what the store may hold for this life
	lent     int64 // net of what peers gave: counted out here before the message left
	spent    int64
	reserved int64
	reported int64
	closed   bool // this life's row was closed, or may be: nothing can be spent any more
	demand   demand
	short    int64   // tokens that reservations lacked since the last proposal
	others   float64 // tokens a second that the other nodes are asked for
	clients  float64 // of these, what this node draws for
	left     int64   // of the whole budget by the last book, at most
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

// Give counts tokens out for a peer before they are sent: what it needs, or all
// that is free if that is less, and of what it wants beyond that so much as
// leaves this node its half.
func (p *Purse) Give(tenant string, need, want int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.pocket(tenant)
	free := max(k.free(), 0)
	tokens := max(min(free, max(need, min(want, free/2))), 0)
	k.lent += tokens
	if k.clients > 0 && tokens < want/2 {
		k.short = max(k.short, want-tokens)
		p.short = p.short || k.pool > 0
	}
	return tokens
}

// Take counts tokens in that a peer has given. The caller sees to it that each
// gift is counted once.
func (p *Purse) Take(tenant string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pocket(tenant).lent -= tokens
}

// Offer is what a node tells its peers about one budget: tokens, and tokens a
// second. All and Left are told by nodes that write the book for others.
type Offer struct {
	Free int64   `json:"f,omitempty"` // that it could give
	Rate float64 `json:"r,omitempty"` // that it is asked for
	All  float64 `json:"a,omitempty"` // that all nodes it heard of are asked for
	Left int64   `json:"l,omitempty"` // of the whole budget at most
}

// Offers lists what this node could give and is asked for, by tenant.
func (p *Purse) Offers(now time.Time) map[string]Offer {
	p.mu.Lock()
	defer p.mu.Unlock()
	offers := make(map[string]Offer, len(p.pockets))
	for tenant, k := range p.pockets {
		if o := (Offer{Free: max(k.free(), 0), Rate: math.Round(k.demand.steady(now))}); o != (Offer{}) {
			offers[tenant] = o
		}
	}
	return offers
}

// Fleet is what a node knows of the others' part in one budget.
type Fleet struct {
	Others  float64 // tokens a second that they are asked for
	Clients float64 // of these, what this node draws for
	Left    int64   // of the whole budget at most, by a node that reads the book; 0 is not known
}

// Fleets sets what is known of the other nodes, by tenant.
func (p *Purse) Fleets(fleets map[string]Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tenant, k := range p.pockets {
		f := fleets[tenant]
		k.others, k.clients = f.Others, f.Clients
		if f.Left > 0 && p.revision == 0 {
			k.left = f.Left
		}
	}
}

// aheadPart is the part of a node's target that it borrows ahead: the nodes that
// draw for it hold the rest.
const aheadPart = 4

// worthHolding is how many calls a holding must be good for, in a fleet in which
// some nodes draw for the others: less is better held together by these.
const worthHolding = 4

// Lacking lists by tenant what a node that does not write the book should
// borrow ahead: what its holding is short of its target, where that is much and
// the target is worth holding apart.
func (p *Purse) Lacking(nodes int, fraction float64, now time.Time) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	lacking := map[string]int64{}
	for tenant, k := range p.pockets {
		target := p.tuning.target(k, nodes, now) / aheadPart
		if k.demand.known && target >= worthHolding*k.demand.typical() && float64(k.free()) < fraction*float64(target) {
			lacking[tenant] = target - k.free()
		}
	}
	return lacking
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
	slices.SortFunc(all, func(a, b Holding) int { return compare(a.Tenant, b.Tenant) })
	return all
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Saw takes in the book as the store holds it. Only a newer revision tells what
// became of proposals: until then the least of them bounds what is spent.
func (p *Purse) Saw(b Book, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision <= p.revision {
		return
	}
	p.revision = revision
	for tenant, k := range p.pockets {
		a := b.Account(tenant)
		row, _ := a.Row(p.life)
		k.limit, k.reported = row.Drawn, row.Spent
		k.pool = a.Pool(k.prepaid)
		k.left = k.prepaid - a.Spent()
	}
}

// Propose returns the book as this node would have it, and whether that is
// worth a write. What it gives back is out of the purse from now on, whatever
// becomes of the write.
func (p *Purse) Propose(b Book, nodes int, now time.Time, leaving bool) (Book, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.short = false
	worth := false
	for _, tenant := range p.tenants() {
		k := p.pockets[tenant]
		a := b.Account(tenant).WithClosed(p.isEarlierLife)
		before, known := a.Row(p.life)
		if k.closed && !known {
			continue
		}
		after := Row{Node: p.node, Life: p.life, Spent: k.spent}
		after.Drawn = p.wanted(k, a, before.Drawn, nodes, now, leaving)
		matters := p.matters(k, before, after)
		k.short = 0
		if after == before && !leaving || !known && after.Drawn == 0 {
			continue
		}
		worth = worth || matters
		k.limit = min(k.limit, after.Drawn)
		a = a.WithRow(after)
		if leaving && k.reserved == 0 {
			k.closed = true
			a = a.WithClosed(func(r Row) bool { return r.Life == p.life })
		}
		b = b.WithAccount(a)
	}
	return b, worth
}

func (p *Purse) tenants() []string {
	names := make([]string, 0, len(p.pockets))
	for tenant := range p.pockets {
		names = append(names, tenant)
	}
	slices.Sort(names)
	return names
}

// isEarlierLife is true for rows of this VM's lives before this one: they have
// ended, since a VM runs one process at a time.
func (p *Purse) isEarlierLife(r Row) bool { return r.Node == p.node && r.Life != p.life }

// wanted is what the row should say as drawn.
func (p *Purse) wanted(k *pocket, a Account, drawn int64, nodes int, now time.Time, leaving bool) int64 {
	busy := k.busy()
	if leaving {
		return busy
	}
	target := p.tuning.target(k, nodes, now) + k.short
	free := drawn - busy
	pool := a.Pool(k.prepaid)
	switch {
	case free < target:
		return drawn + max(p.tuning.share(pool, nodes, target-free), min(k.short, pool))
	case over(a, k.prepaid) > 0:
		return max(busy, drawn-over(a, k.prepaid))
	case float64(free) > p.tuning.Surplus*float64(target) && free-target >= k.demand.typical():
		return busy + target
	default:
		return drawn
	}
}

// over is how much more is drawn than a budget that was lowered holds.
func over(a Account, prepaid int64) int64 { return max(a.Drawn()-prepaid, 0) }

// matters is whether a change of a row is worth a write.
func (p *Purse) matters(k *pocket, before, after Row) bool {
	if after.Drawn < before.Drawn {
		return true
	}
	drawn := after.Drawn - before.Drawn
	free := before.Drawn - k.busy()
	return drawn > 0 && (k.short > 0 || float64(drawn) > p.tuning.Step*float64(max(free+drawn, 1)) && drawn >= k.demand.typical()/2) ||
		float64(after.Spent-before.Spent) > p.tuning.Report*float64(max(k.prepaid, 1))
}
