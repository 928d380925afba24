package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

// Small fleets write the ledger from every node; larger ones from some, of every
// zone, and the others acquire from these. Writers differ for nodes whose lists
// differ, which costs collisions and nothing else.
const (
	allWrite     = 12 // nodes up to which every one writes
	zoneWriters  = 2  // in each zone beyond that
	randomOthers = 2  // peers of its zone that a node which does not write tells, beside the writers
	refillBelow  = 0.6
)

// Writers names the members that write the ledger and watch the store for others:
// those with the widest links, since many ask them; fit lists, in a large fleet, those
// that may, in the order in which they are chosen.
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

// ranked lists members in the order in which they are chosen.
func ranked(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return sorted
}

// How long a turn of a writer of the ledger is: a write, word of it to the others, and
// their asking for it. All have to agree on it, so that it rests on the settings and the
// list of nodes, not on what was measured.
const (
	nearTurn = 35 * time.Millisecond  // all writers in one region
	farTurn  = 100 * time.Millisecond // over several: five ways of 12 ms more
)

// turns is the order in which the writers of the ledger write.
type turns struct {
	names  []string
	length time.Duration
}

// turnsOf orders the writers by name, as all see them.
func (t *Gossip) turnsOf(writers map[string]bool) *turns {
	order := &turns{}
	regions := map[string]bool{}
	for _, m := range t.registry.Members() {
		if writers[m.Name] {
			order.names = append(order.names, m.Name)
			regions[t.places.Region(m.Zone)] = true
		}
	}
	order.length = lo.Ternary(len(regions) > 1, farTurn, nearTurn)
	return order
}

// Heard tells that another turn has begun.
func (t *Gossip) Heard() <-chan struct{} { return t.ledgers.heard }

// Turn is when this node writes the ledger.
func (t *Gossip) Turn() account.Turn {
	order, last := t.turns.Load(), t.ledgers.lastWritten()
	if order == nil || !t.Writes() {
		return account.Turn{}
	}
	own, writes := slices.BinarySearch(order.names, t.registry.self.Name)
	before, known := slices.BinarySearch(order.names, last.writer)
	if !writes || !known {
		return account.Turn{}
	}
	n := len(order.names)
	return account.Turn{Word: last.at, After: (own - before - 1 + n) % n, Of: n, Length: order.length}
}
