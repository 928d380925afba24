// Package routing chooses the endpoint for a call: own zone first, prefix
// affinity with bounded load, and otherwise the least loaded of several.
package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// affinitySlack is how much fuller than the least loaded the endpoint that a
// prefix prefers may be, as a part of its limit.
const affinitySlack = 0.15

// maxScan is how many endpoints of a zone are compared for one choice.
const maxScan = 16

// Target is an endpoint as the choice sees it.
type Target struct {
	catalog.Endpoint
	ServiceWeight int64
	hash          uint64
}

// Table is the targets of every service, those of the own zone first; it is immutable.
type Table struct {
	services map[ident.Service]targets
}

type targets struct {
	near []Target
	far  []Target
}

// New makes the table of one revision for the nodes of a zone.
func New(c *catalog.Catalog, zone ident.Zone, services []ident.Service) Table {
	t := Table{services: make(map[ident.Service]targets, len(services))}
	for _, s := range services {
		var ts targets
		for _, e := range c.Endpoints(s) {
			target := Target{Endpoint: e, ServiceWeight: c.EndpointWeight(e, s), hash: xxhash.Sum64String(string(e.Name))}
			if e.Zone == zone {
				ts.near = append(ts.near, target)
			} else {
				ts.far = append(ts.far, target)
			}
		}
		slices.SortFunc(ts.far, func(x, y Target) int { return cmp.Compare(x.Name, y.Name) })
		t.services[s] = ts
	}
	return t
}

// Condition is how an endpoint stands at the moment of a choice.
type Condition struct {
	Own     int64 // calls in flight from this node
	Others  int64 // calls in flight from other nodes, as last reported
	Limit   int64 // calls that may be in flight in all
	NoBatch bool  // the batch window is full
	Out     bool  // leaving, ejected or cut off: takes no new work
}

func (c Condition) load() int64 { return c.Own + c.Others }

// Query is a call to place.
type Query struct {
	Service  ident.Service
	Priority catalog.Priority
	Prefix   uint64 // hash of the prompt's prefix; 0 is none
	Excluded []ident.Endpoint
	Random   uint64
}

// Choice is the endpoint chosen and how it came to it.
type Choice struct {
	Target   Target
	Affinity bool // the prefix decided
	Far      bool // no endpoint of the own zone could take it
	Compared int
	// RunnerUp is the next best endpoint, "" where there was none.
	RunnerUp ident.Endpoint
}

// Full tells why nothing was chosen.
type Full int

// The reasons for no choice.
const (
	Chosen     Full = iota
	NoEndpoint      // none serves the service or all are out
	AllBusy         // some serve it, all are full
)

// Choose places a call; look tells how an endpoint stands now.
func (t Table) Choose(q Query, look func(ident.Endpoint) Condition) (Choice, Full) {
	ts, ok := t.services[q.Service]
	if !ok || len(ts.near)+len(ts.far) == 0 {
		return Choice{}, NoEndpoint
	}
	choice, near := choose(ts.near, q, look)
	if near == Chosen {
		return choice, Chosen
	}
	choice, far := choose(ts.far, q, look)
	choice.Far = true
	if far == NoEndpoint {
		return Choice{}, near
	}
	return choice, far
}

// best keeps the two best targets of a scan.
type best struct {
	at, second   int
	cost, costly float64
	load         float64 // of the best
	found        int
}

func (b *best) offer(at int, load, cost float64) {
	b.found++
	switch {
	case b.at < 0 || cost < b.cost:
		b.second, b.costly = b.at, b.cost
		b.at, b.cost, b.load = at, cost, load
	case b.second < 0 || cost < b.costly:
		b.second, b.costly = at, cost
	}
}

func choose(ts []Target, q Query, look func(ident.Endpoint) Condition) (Choice, Full) {
	if len(ts) == 0 {
		return Choice{}, NoEndpoint
	}
	least := best{at: -1, second: -1}
	affine, affineWeight, affineLoad := -1, uint64(0), 0.0
	usable := false
	start := int(q.Random % uint64(len(ts)))
	for i := range min(len(ts), maxScan) {
		at := (start + i) % len(ts)
		target := &ts[at]
		c := look(target.Name)
		if c.Out || target.Leaving || target.ServiceWeight <= 0 || slices.Contains(q.Excluded, target.Name) {
			continue
		}
		usable = true
		if c.load() >= c.Limit || (c.NoBatch && q.Priority == catalog.Batch) {
			continue
		}
		load := float64(c.load()) / float64(max(1, c.Limit))
		least.offer(at, load, load/float64(target.ServiceWeight))
		if w := ident.Mix(q.Prefix ^ target.hash); q.Prefix != 0 && w > affineWeight {
			affine, affineWeight, affineLoad = at, w, load
		}
	}
	if least.at < 0 {
		if usable {
			return Choice{}, AllBusy
		}
		return Choice{}, NoEndpoint
	}
	choice := Choice{Target: ts[least.at], Compared: least.found}
	if least.second >= 0 {
		choice.RunnerUp = ts[least.second].Name
	}
	if affine >= 0 && affine != least.at && affineLoad <= least.load+affinitySlack {
		choice.RunnerUp = choice.Target.Name
		choice.Target = ts[affine]
	}
	choice.Affinity = affine >= 0 && choice.Target.Name == ts[affine].Name
	return choice, Chosen
}

// HashPrefix hashes the part of a prompt that decides its affinity.
func HashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

const prefixBytes = 256
