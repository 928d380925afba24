// Package routing chooses the endpoint for a call: in the own zone first, by prefix
// affinity with bounded load, and otherwise the least loaded of several.
package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// affinityMaxExtraLoad is how much more load than the least loaded endpoint the endpoint
// preferred by a prefix may have, as a fraction of its limit.
const affinityMaxExtraLoad = 0.15

// maxCompared is the number of endpoints of a zone that are compared for one choice.
const maxCompared = 16

// Target is an endpoint with its weight for one service.
type Target struct {
	catalog.Endpoint
	ServiceWeight int64
	hash          uint64
}

// Table holds the targets of every service, split by own and other zones. It is immutable.
type Table struct {
	services map[ident.Service]targets
}

type targets struct {
	local  []Target
	remote []Target
}

// New returns the table of one revision for the nodes of a zone.
func New(c *catalog.Catalog, zone ident.Zone, services []ident.Service) Table {
	t := Table{services: make(map[ident.Service]targets, len(services))}
	for _, s := range services {
		var ts targets
		for _, e := range c.Endpoints(s) {
			target := Target{Endpoint: e, ServiceWeight: c.EndpointWeight(e, s), hash: xxhash.Sum64String(string(e.Name))}
			if e.Zone == zone {
				ts.local = append(ts.local, target)
			} else {
				ts.remote = append(ts.remote, target)
			}
		}
		slices.SortFunc(ts.remote, func(x, y Target) int { return cmp.Compare(x.Name, y.Name) })
		t.services[s] = ts
	}
	return t
}

// Condition is the state of an endpoint at the time of a choice.
type Condition struct {
	Own         int64 // calls in flight from this node
	Others      int64 // calls in flight from other nodes, as last reported
	Limit       int64 // calls that may be in flight, from all nodes
	NoBatch     bool  // the batch window is full
	Unavailable bool  // leaving, ejected or unreachable: takes no new work
}

func (c Condition) load() int64 { return c.Own + c.Others }

// Query is a call to place.
type Query struct {
	Service  ident.Service
	Priority catalog.Priority
	Prefix   uint64 // hash of the prompt's prefix; 0 if there is none
	Excluded []ident.Endpoint
	Random   uint64
}

// Choice is the chosen endpoint and how it was chosen.
type Choice struct {
	Target   Target
	Affinity bool // chosen by prefix affinity
	Remote   bool // no endpoint of the own zone was available
	Compared int  // endpoints that could take the call
	// RunnerUp is the next best endpoint, "" if there was none.
	RunnerUp ident.Endpoint
}

// Outcome reports whether an endpoint was chosen, and if not, why.
type Outcome int

// The outcomes of a choice.
const (
	Chosen     Outcome = iota
	NoEndpoint         // none serves the service, or all are unavailable
	AllBusy            // all available endpoints are full
)

// Choose chooses an endpoint for a call; condition returns the current state of an endpoint.
func (t Table) Choose(q Query, condition func(ident.Endpoint) Condition) (Choice, Outcome) {
	ts, ok := t.services[q.Service]
	if !ok || len(ts.local)+len(ts.remote) == 0 {
		return Choice{}, NoEndpoint
	}
	choice, local := choose(ts.local, q, condition)
	if local == Chosen {
		return choice, Chosen
	}
	choice, remote := choose(ts.remote, q, condition)
	choice.Remote = true
	if remote == NoEndpoint {
		return Choice{}, local
	}
	return choice, remote
}

// twoBest holds the two targets of lowest cost in a scan.
type twoBest struct {
	index, second    int
	cost, secondCost float64
	load             float64 // of the target at index
	count            int
}

func (b *twoBest) add(index int, load, cost float64) {
	b.count++
	switch {
	case b.index < 0 || cost < b.cost:
		b.second, b.secondCost = b.index, b.cost
		b.index, b.cost, b.load = index, cost, load
	case b.second < 0 || cost < b.secondCost:
		b.second, b.secondCost = index, cost
	}
}

func choose(ts []Target, q Query, condition func(ident.Endpoint) Condition) (Choice, Outcome) {
	if len(ts) == 0 {
		return Choice{}, NoEndpoint
	}
	lowest := twoBest{index: -1, second: -1}
	preferred, preferredHash, preferredLoad := -1, uint64(0), 0.0
	usable := false
	start := int(q.Random % uint64(len(ts)))
	for i := range min(len(ts), maxCompared) {
		index := (start + i) % len(ts)
		target := &ts[index]
		cond := condition(target.Name)
		if cond.Unavailable || target.Leaving || target.ServiceWeight <= 0 || slices.Contains(q.Excluded, target.Name) {
			continue
		}
		usable = true
		if cond.load() >= cond.Limit || (cond.NoBatch && q.Priority == catalog.Batch) {
			continue
		}
		load := float64(cond.load()) / float64(max(1, cond.Limit))
		lowest.add(index, load, load/float64(target.ServiceWeight))
		if w := ident.Mix(q.Prefix ^ target.hash); q.Prefix != 0 && w > preferredHash {
			preferred, preferredHash, preferredLoad = index, w, load
		}
	}
	if lowest.index < 0 {
		if usable {
			return Choice{}, AllBusy
		}
		return Choice{}, NoEndpoint
	}
	choice := Choice{Target: ts[lowest.index], Compared: lowest.count}
	if lowest.second >= 0 {
		choice.RunnerUp = ts[lowest.second].Name
	}
	if preferred >= 0 && preferred != lowest.index && preferredLoad <= lowest.load+affinityMaxExtraLoad {
		choice.RunnerUp = choice.Target.Name
		choice.Target = ts[preferred]
	}
	choice.Affinity = preferred >= 0 && choice.Target.Name == ts[preferred].Name
	return choice, Chosen
}

// HashPrefix hashes the prefix of a prompt that determines its affinity.
func HashPrefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

const prefixBytes = 256
