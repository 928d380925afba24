// Package choice picks the endpoint of each attempt. It minimizes the estimated cost to all
// callers together: the risk that the call misses its own objective, the delay that its prompt
// causes for streams already running there, and the distance. The estimates come from a model of
// each service and endpoint, learned from the timing of their streams.
package choice

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// Picker chooses endpoints and remembers what was sent where. It is safe for concurrent use.
type Picker struct {
	tuning     Tuning
	places     distance.Places
	gate       *bound.Gate
	cold       cold.Rule
	limits     *limit.Tracker     // nil: limits that endpoints name are ignored
	notices    *notice.Tracker    // nil: notices in answers are ignored
	suspicions *suspicion.Tracker // nil: failures that peers report are ignored
	fragile    *fragile.Tracker   // nil: endpoints that crash when they reject calls are treated as others

	mu            sync.Mutex
	endpoints     map[string]*endpoint
	models        map[string]*model // by service
	holders       holders
	allParts      int   // in the models of all endpoints
	capacity      int64 // tokens: the largest prefix cache of an endpoint of any service
	recent        recentReads
	zones         zones
	peerEndpoints map[string][]string // endpoint ids in the last digests of each peer
}

// NewPicker returns a picker for a node in the zone. Without a cold gate it sends nothing to
// cold endpoints.
func NewPicker(zone string, t Tuning) *Picker {
	return &Picker{tuning: t, places: distance.From(zone, nil, costs(t)), gate: bound.NewGate(""), endpoints: map[string]*endpoint{}, models: map[string]*model{}, holders: holders{}, zones: zones{}, peerEndpoints: map[string][]string{}}
}

// WithPlaces sets the zones' regions and distances.
func (p *Picker) WithPlaces(d distance.Places) *Picker {
	p.places = d
	return p
}

// costs returns the costs of leaving the zone when no regions are configured.
func costs(t Tuning) distance.Costs {
	if !t.Distance {
		return distance.None()
	}
	return distance.DefaultCosts()
}

// WithColdGate lets the picker send to cold endpoints as many calls as the gate allows.
func (p *Picker) WithColdGate(g *bound.Gate, r cold.Rule) *Picker {
	p.gate, p.cold = g, r
	return p
}

// WithLimits makes the picker respect limits that endpoints name, using the same gate.
func (p *Picker) WithLimits(t *limit.Tracker) *Picker {
	p.limits = t
	return p
}

// WithNotices makes the picker act on notices in endpoints' answers.
func (p *Picker) WithNotices(t *notice.Tracker) *Picker {
	p.notices = t
	return p
}

// WithSuspicions makes the picker avoid endpoints suspected by several nodes, and report this node's
// failures.
func (p *Picker) WithSuspicions(t *suspicion.Tracker) *Picker {
	p.suspicions = t
	return p
}

// WithFragile makes the picker spare the endpoints of fragile services.
func (p *Picker) WithFragile(t *fragile.Tracker) *Picker {
	p.fragile = t
	return p
}

// Profile holds the policy's settings for a service's endpoints.
type Profile struct {
	Service    string
	Tokens     bool    // endpoints read prompts and generate tokens
	Capacity   int64   // tokens in the prefix cache of one endpoint
	TokenBytes int64   // size of a cached token when it is moved to another endpoint; 0: cached tokens can't be moved
	LinkMbps   float64 // between two endpoints

	ColdStart     time.Duration // how long an endpoint is slow after its start
	ColdPerSecond float64       // calls per second that a cold endpoint takes; 0 means unbounded
}

// Request holds the input of one choice.
type Request struct {
	Call            call.Call
	Engines         []engine.Engine             // ordered by id
	Sources         []engine.Engine             // endpoints that cached parts may be fetched from, ordered by id; nil: Engines
	Repeatable      bool                        // the call is idempotent and may run again
	HasMoreAttempts bool                        // if this endpoint turns the call away, it may be sent to another one
	Trial           bool                        // the endpoints are on trial: their timing does not update the service's model
	Exclude         map[engine.Incarnation]bool // already tried
	Profile         Profile
	Objective       time.Duration // time to the first event, from now; 0: none
	Gap             time.Duration // longest acceptable pause between two events; 0: none
	AllowedRegions  []string      // regions whose nodes may learn which parts the call read; nil: all
	Bytes           int64         // expected bytes sent to the endpoint and back
	Cap             int           // maximum calls in flight from this node at one endpoint
	Now             time.Time
}

// Pick chooses an endpoint and counts the call there. It returns false if no endpoint may take
// the call.
func (p *Picker) Pick(r Request) (*Placement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.choose(r)
	if !found {
		return nil, false
	}
	p.place(&best, r)
	return &best, true
}

// place counts a placement at its endpoint.
func (p *Picker) place(t *Placement, r Request) {
	e := p.endpoint(t.Engine.Incarnation(), r.Profile.Capacity)
	t.picker, t.model, t.request, t.endpoint = p, p.model(r.Profile.Service), r, e
	p.capacity = max(p.capacity, r.Profile.Capacity)
	p.gate.Sent(t.Engine.ID, r.Now)
	if p.limits != nil {
		p.limits.Placed(t.Engine.Incarnation(), r.Now)
	}
	if p.notices != nil {
		p.notices.Placed(t.Engine.Incarnation(), r.Now)
	}
	if e.hasReplaced(t.Engine.Incarnation()) {
		t.endpoint = nil
		return
	}
	e.listed, e.placed = true, r.Now
	e.inFlight++
	e.waiting += t.Uncached
	if r.Profile.Tokens {
		t.model.value = t.model.value.with(valueOf(r.Call))
		for _, part := range r.Call.Parts {
			e.cache.touch(part)
		}
	}
}

// tolerance is how many suspected endpoints a choice accepts.
type tolerance int

const (
	healthyOnly       tolerance = iota // excludes endpoints that failed or refused a call of this node lately, and those that several nodes suspect
	allowOwnSuspicion                  // excludes only endpoints that several nodes suspect
	allowAll                           // excludes none of them
)

// choose ranks a sample of the endpoints and falls back to all of them if none of the sample may
// take the call. The suspicion of this node alone is dropped before that of several nodes: the
// endpoint may have been full for a moment, or have failed a single call.
func (p *Picker) choose(r Request) (Placement, bool) {
	key := xxhash.Sum64String(r.Call.ID)
	affinity := p.affinity(r)
	if best, found := p.best(r, p.endpointsWithStaleLimit(r), affinity, key, healthyOnly); found {
		return best, true
	}
	sample := candidates(r, affinity, key)
	if best, found := p.best(r, sample, affinity, key, healthyOnly); found {
		return best, true
	}
	if len(sample) < len(r.Engines) {
		if best, found := p.best(r, r.Engines, affinity, key, healthyOnly); found {
			return best, true
		}
	}
	if best, found := p.best(r, r.Engines, affinity, key, allowOwnSuspicion); found {
		return best, true
	}
	return p.best(r, r.Engines, affinity, key, allowAll)
}

// best returns the endpoint of lowest cost. Equal costs are ranked by a hash of call and
// endpoint.
func (p *Picker) best(r Request, engines []engine.Engine, affinity string, key uint64, level tolerance) (Placement, bool) {
	var best Placement
	bestRank := uint64(0)
	found := false
	source := p.source(r, affinity)
	for _, e := range engines {
		s, why := p.usable(&r, &e, key, level)
		if why != Usable {
			continue
		}
		t := p.estimate(r, e, s, affinity, source)
		rank := ident.Mix(key ^ e.Hash)
		if !found || t.Cost < best.Cost || t.Cost == best.Cost && rank > bestRank {
			best, bestRank, found = t, rank, true
		}
	}
	return best, found
}

// sampleSize is the number of endpoints that are compared in a large service. They are drawn by
// the call's id; the affinity target of the prompt's parts is added.
const sampleSize = 24

func candidates(r Request, affinity string, key uint64) []engine.Engine {
	if len(r.Engines) <= sampleSize+sampleSize/2 {
		return r.Engines
	}
	sample := make([]engine.Engine, 0, sampleSize+1)
	for i := range sampleSize {
		sample = append(sample, r.Engines[ident.Mix(key+uint64(i))%uint64(len(r.Engines))])
	}
	if e, ok := find(r.Engines, affinity); ok {
		sample = append(sample, e)
	}
	return sample
}

// find looks up an endpoint by id in a list ordered by id.
func find(engines []engine.Engine, id string) (engine.Engine, bool) {
	at, ok := slices.BinarySearchFunc(engines, id, func(e engine.Engine, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return engine.Engine{}, false
	}
	return engines[at], true
}

// affinity returns the endpoint that should cache the shared parts of the prompt. Rendezvous
// hashing of the deepest part makes all nodes agree without communication.
func (p *Picker) affinity(r Request) string {
	shared := r.Call.Shared()
	if !r.Profile.Tokens || len(shared) == 0 {
		return ""
	}
	key := xxhash.Sum64String(shared[len(shared)-1].ID)
	best, score := "", uint64(0)
	for i := range r.Engines {
		e := &r.Engines[i]
		if h := ident.Mix(key ^ e.Hash); e.State == engine.Ready && (best == "" || h > score) {
			best, score = e.ID, h
		}
	}
	return best
}

// Forget drops the state of endpoints that are gone and have no calls in flight.
func (p *Picker) Forget(known func(id string) bool) {
	p.gate.Forget(known)
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.endpoints {
		if s.inFlight == 0 && !known(id) {
			s.cache.clear()
			delete(p.endpoints, id)
		}
	}
}
