package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

// In a small fleet every node writes the ledger. In a larger one some nodes of every zone do,
// and the others acquire tokens from these. Nodes with different lists of members choose
// different writers, which only causes write conflicts.
const (
	allWrite     = 12  // maximum number of nodes that all write
	zoneWriters  = 2   // writers per zone in a larger fleet
	randomOthers = 2   // peers of its zone to which a node that does not write sends, besides the writers
	refillBelow  = 0.6 // fraction of the target holdings below which a node asks for more
)

// Writers returns the members that write the ledger and watch the store for others: those
// with the fastest links, since many nodes ask them. In a large fleet, fit lists the eligible
// members in the order in which they are chosen.
func Writers(members []Member, fit func() []Member) map[string]bool {
	writers := make(map[string]bool, len(members))
	if len(members) <= allWrite {
		for _, m := range members {
			writers[m.Name] = true
		}
		return writers
	}
	inZone := map[string]int{}
	for _, m := range fit() {
		if inZone[m.Zone] < zoneWriters {
			inZone[m.Zone]++
			writers[m.Name] = true
		}
	}
	return writers
}

// ranked sorts members into the order in which they are chosen: by link speed, fastest first,
// and then by a hash of the name.
func ranked(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return sorted
}

// Length of a ledger writer's slot: one write, its announcement to the others, and their
// requests for it. All writers must agree on it, so it depends on the settings and the list
// of nodes, not on measurements.
const (
	nearSlot = 35 * time.Millisecond  // all writers in one region
	farSlot  = 100 * time.Millisecond // several regions: five more one-way trips of 12 ms
)

// slots is the order in which the writers of the ledger write.
type slots struct {
	names  []string
	length time.Duration // of one slot
}

// slotsOf orders the writers by name, the same on all nodes.
func (g *Gossip) slotsOf(writers map[string]bool) *slots {
	order := &slots{}
	regions := map[string]bool{}
	for _, m := range g.registry.Members() {
		if writers[m.Name] {
			order.names = append(order.names, m.Name)
			regions[g.places.Region(m.Zone)] = true
		}
	}
	order.length = lo.Ternary(len(regions) > 1, farSlot, nearSlot)
	return order
}

// LedgerWrites returns a channel that receives a value when a writer's slot has ended with a write.
func (g *Gossip) LedgerWrites() <-chan struct{} { return g.ledgers.wrote }

// Slot returns this node's slot for writing the ledger.
func (g *Gossip) Slot() account.Slot {
	order, last := g.slots.Load(), g.ledgers.lastWritten()
	if order == nil || !g.Writes() {
		return account.Slot{}
	}
	own, writes := slices.BinarySearch(order.names, g.registry.self.Name)
	before, known := slices.BinarySearch(order.names, last.writer)
	if !writes || !known {
		return account.Slot{}
	}
	n := len(order.names)
	return account.Slot{LastWrite: last.at, After: (own - before - 1 + n) % n, Of: n, Length: order.length}
}
