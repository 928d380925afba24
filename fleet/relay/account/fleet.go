package account

import (
	"math"
	"time"

	"github.com/samber/lo"
)

// Offer is what a node tells its peers about one budget: tokens, and tokens a
// second. All and Left are told by nodes that write the book for others.
type Offer struct {
	Free int64   `json:"f,omitempty"` // that it could give
	Rate float64 `json:"r,omitempty"` // that it is asked for
	All  float64 `json:"a,omitempty"` // that all nodes it heard of are asked for
	Left int64   `json:"l,omitempty"` // of the whole budget at most
	Own  bool    `json:"o,omitempty"` // that it draws for itself, though other nodes draw for most
}

// Offers lists what this node could give and is asked for, by tenant.
func (p *Purse) Offers(now time.Time) map[string]Offer {
	p.mu.Lock()
	defer p.mu.Unlock()
	offers := make(map[string]Offer, len(p.pockets))
	for tenant, k := range p.pockets {
		if o := (Offer{Free: max(k.free(), 0), Rate: math.Round(k.demand.steady(now)), Own: k.draws}); o != (Offer{}) {
			offers[tenant] = o
		}
	}
	return offers
}

// Fleet is what a node knows of the others' part in one budget.
type Fleet struct {
	Others  float64 // tokens a second that they are asked for, by those this node heard
	All     float64 // the same with this node's own, as nodes that hear all of them told
	Clients float64 // of the others, what this node draws for
	Left    int64   // of the whole budget at most, by a node that reads the book; 0 is not known
}

// A node that does not draw for others draws for itself where so much of all
// demand for a budget is its own: callers that keep to one node are not served
// from other nodes' holdings. It stops where its part has fallen to the lower bound.
const (
	drawsFrom  = 0.2
	drawsUntil = 0.1
)

// Fleets sets what is known of the other nodes, by tenant.
func (p *Purse) Fleets(fleets map[string]Fleet, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tenant, k := range p.pockets {
		f := fleets[tenant]
		own := k.demand.steady(now)
		k.others, k.clients = max(f.Others, f.All-own), f.Clients
		if f.All > 0 { // else it is not known how great this node's part is
			k.draws = own > 0 && own >= lo.Ternary(k.draws, drawsUntil, drawsFrom)*(own+k.others)
		}
		if f.Left > 0 && p.revision == 0 {
			k.left, k.rest = f.Left, f.Left
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
		if k.demand.known && !k.draws && target >= worthHolding*k.demand.typical() && float64(k.free()) < fraction*float64(target) {
			lacking[tenant] = target - k.free()
		}
	}
	return lacking
}

// Draws is whether this node draws a tenant's tokens for itself, though it does
// not draw for others.
func (p *Purse) Draws(tenant string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pocket(tenant).draws
}

// DrawsAny is Draws for any tenant; so is a row that still has tokens.
func (p *Purse) DrawsAny() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.SomeBy(lo.Values(p.pockets), func(k *pocket) bool { return k.draws || k.limit > 0 })
}
