// Package bound keeps the calls of all nodes together to an endpoint within a bound. It is used
// for endpoints that are slow after their start (package cold) and for those that name a limit
// (package limit).
//
// A node can't know what the others send in the same second, and can't ask them, since nobody
// answers during a partition. So all nodes derive the same few nodes for each endpoint from the
// list of nodes. Each of these has its share of the calls in any window, and unused calls don't
// accumulate. An old and a new list of nodes may be in use at the same time.
package bound

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Bound is how many calls in any window the shares of all nodes add up to. The endpoint has to
// cope with the sum of both numbers, since nodes with a new list and nodes without it send at
// the same time.
type Bound struct {
	Window time.Duration // at most MaxWindow
	Calls  int           // shares of nodes whose list is settled
	Unsure int           // shares of nodes whose list may be outdated
}

// MaxWindow is the longest window of a bound.
const MaxWindow = 10 * time.Second

// Fleet is a node's immutable view of the list of nodes.
type Fleet struct {
	self  uint64
	nodes []uint64 // hashes of the nodes' names
}

// NewFleet returns the view of a node, given the names of all nodes. A node that is not among
// them has no share.
func NewFleet(self string, nodes []string) Fleet {
	if !slices.Contains(nodes, self) {
		return Fleet{}
	}
	hashes := lo.Map(lo.Uniq(nodes), func(name string, _ int) uint64 { return xxhash.Sum64String(name) })
	return Fleet{self: xxhash.Sum64String(self), nodes: hashes}
}

// Share returns how many of the target's calls in any window this node may send to an endpoint,
// given the hash of the endpoint's id.
func (f Fleet) Share(endpoint uint64, target int) int {
	chosen := min(target, len(f.nodes))
	if chosen <= 0 {
		return 0
	}
	before := f.rank(endpoint, chosen)
	if before >= chosen {
		return 0
	}
	share := target / chosen
	if before < target%chosen {
		share++
	}
	return share
}

// rank returns how many nodes precede this one at an endpoint, counted up to limit.
func (f Fleet) rank(endpoint uint64, limit int) int {
	own := ident.Mix(f.self ^ endpoint)
	before := 0
	for _, node := range f.nodes {
		if ident.Mix(node^endpoint) > own {
			if before++; before >= limit {
				break
			}
		}
	}
	return before
}
