// Package bound keeps what all nodes together send to an endpoint within a bound: to one
// that is slow after its start (package cold), or that names a limit (package limit).
//
// No node can know what the others send in the same second, and none may ask: in a cut
// nobody answers. So all choose alike, from the list of nodes, a few nodes for each
// endpoint; each has its part of the calls of any window, and saves nothing up. Two lists
// of nodes may be in force at the same time, an old and a new one.
package bound

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Bound is how many calls of any window the parts of all nodes add up to. The endpoint has
// to bear both numbers together: nodes that know of a new list and nodes that don't meet.
type Bound struct {
	Window time.Duration // Longest at most
	Calls  int           // by the parts of nodes that are sure of their list
	Unsure int           // by the parts of those that are not
}

// Longest is the longest window of a bound.
const Longest = 10 * time.Second

// Fleet is one node's view of the nodes, for the parts: immutable.
type Fleet struct {
	self  uint64
	nodes []uint64 // hashes of the nodes' names
}

// NewFleet returns a node's view of the nodes by name. One that they don't name has
// no part.
func NewFleet(self string, nodes []string) Fleet {
	if !slices.Contains(nodes, self) {
		return Fleet{}
	}
	hashes := lo.Map(lo.Uniq(nodes), func(name string, _ int) uint64 { return xxhash.Sum64String(name) })
	return Fleet{self: xxhash.Sum64String(self), nodes: hashes}
}

// Part is how many of a target's calls within any window this node may send to an
// endpoint, by the hash of its id.
func (f Fleet) Part(endpoint uint64, target int) int {
	chosen := min(target, len(f.nodes))
	if chosen <= 0 {
		return 0
	}
	before := f.rank(endpoint, chosen)
	if before >= chosen {
		return 0
	}
	part := target / chosen
	if before < target%chosen {
		part++
	}
	return part
}

// rank is how many nodes come before this one at an endpoint, counted up to most.
func (f Fleet) rank(endpoint uint64, most int) int {
	own := ident.Mix(f.self ^ endpoint)
	before := 0
	for _, node := range f.nodes {
		if ident.Mix(node^endpoint) > own {
			if before++; before >= most {
				break
			}
		}
	}
	return before
}
