package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
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
