// Package choice picks the endpoint of an attempt: the one where it costs all
// callers together least, by what the call itself may miss there, by what its
// prompt does to the streams that run there, and by what a model of each
// endpoint, learned from what streams show, says of both.
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
	"github.com/lynxshed/lynxshed/fleet/relay/doubt"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// Picker chooses endpoints and remembers what was sent where. It is safe for
// concurrent use.
type Picker struct {
	tuning  Tuning
	places  distance.Places
	gate    *bound.Gate
	cold    cold.Rule
	limits  *limit.Book  // nil: what endpoints name counts for nothing
	notices *notice.Book // nil: what endpoints say in answers counts for nothing
	doubts  *doubt.Book  // nil: what others tell of failures counts for nothing

	mu        sync.Mutex
	endpoints map[string]*endpoint
	models    map[string]*model // by service
	holders   holders
	capacity  int64 // tokens that an endpoint keeps, the most that a service said
	recent    recent
	zones     zones
	told      map[string][]string // ids of the endpoints that a peer's last digests named, by peer
}

// NewPicker returns a picker for a node of a zone, which sends nothing to cold endpoints.
func NewPicker(zone string, t Tuning) *Picker {
	return &Picker{tuning: t, places: distance.From(zone, nil, costs(t)), gate: bound.NewGate(""), endpoints: map[string]*endpoint{}, models: map[string]*model{}, holders: holders{}, zones: zones{}, told: map[string][]string{}}
}

// WithPlaces has the picker tell regions apart.
func (p *Picker) WithPlaces(d distance.Places) *Picker {
	p.places = d
	return p
}

// costs are what leaving costs where no more is known.
func costs(t Tuning) distance.Costs {
	if !t.Distance {
		return distance.None()
	}
	return distance.DefaultCosts()
}

// WithColdGate has the picker send to cold endpoints what a gate allows.
func (p *Picker) WithColdGate(g *bound.Gate, r cold.Rule) *Picker {
	p.gate, p.cold = g, r
	return p
}

// WithLimits has the picker keep to the limits that endpoints name, by the same gate.
func (p *Picker) WithLimits(b *limit.Book) *Picker {
	p.limits = b
	return p
}

// WithNotices has the picker heed what endpoints say in their answers.
func (p *Picker) WithNotices(b *notice.Book) *Picker {
	p.notices = b
	return p
}

// WithDoubts has the picker avoid endpoints that nodes tell of, and note failures for them.
func (p *Picker) WithDoubts(b *doubt.Book) *Picker {
	p.doubts = b
	return p
}

// Profile is what the policy says of a service's endpoints.
type Profile struct {
	Service    string
	Tokens     bool    // they read prompts and generate
	Capacity   int64   // tokens that one keeps
	TokenBytes int64   // of a kept token, when it is moved to another endpoint; 0: nothing can be moved
	LinkMbps   float64 // between two endpoints

	ColdStart     time.Duration // how long one is slow after its start
	ColdPerSecond float64       // calls that one bears then; 0 is no bound
}

// Request is what a choice depends on.
type Request struct {
	Call      call.Call
	Engines   []engine.Engine      // in the order of their ids
	Sources   []engine.Engine      // that parts of prompts may be taken from, in that order, too; nil: Engines
	Again     bool                 // the call may run again
	Elsewhere bool                 // the call may be sent to another endpoint if this one turns it away
	Trial     bool                 // the endpoints are on trial: what they show is no word on the others of the service
	Exclude   map[engine.Life]bool // already tried
	Profile   Profile
	Objective time.Duration // until the first event, from now; 0 is none
	Gap       time.Duration // longest pause between two events in time; 0 is none
	Homes     []string      // regions to whose nodes alone may be told what the call read; none is all
	Bytes     int64         // that go to the endpoint and back, as expected
	Cap       int           // calls that this node may have in flight at one endpoint
	Now       time.Time
}

// Pick chooses an endpoint and counts the call there; false where none may take it.
func (p *Picker) Pick(r Request) (*Placement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.first(r)
	if !found {
		return nil, false
	}
	p.place(&best, r)
	return &best, true
}

// place counts a placement at its endpoint.
func (p *Picker) place(t *Placement, r Request) {
	e := p.endpoint(t.Engine.Life(), r.Profile.Capacity)
	t.picker, t.model, t.request, t.at = p, p.model(r.Profile.Service), r, e
	p.capacity = max(p.capacity, r.Profile.Capacity)
	p.gate.Sent(t.Engine.ID, r.Now)
	if p.limits != nil {
		p.limits.Tried(t.Engine.Life(), r.Now)
	}
	if p.notices != nil {
		p.notices.Placed(t.Engine.Life(), r.Now)
	}
	e.told, e.placed = true, r.Now
	e.inFlight++
	e.waiting += t.Uncached
	if r.Profile.Tokens {
		t.model.value = t.model.value.with(valueOf(r.Call))
		for _, part := range r.Call.Parts {
			e.cache.touch(part)
		}
	}
}

// care is which endpoints are left out as long as others may take a call.
type care int

const (
	sound     care = iota // none that failed or refused of late, or that nodes tell of
	suspects              // none that nodes tell of
	whichever             // nothing else is left
)

// first finds the best among a sample of the endpoints; where none of them may take the
// call among all. What this node saw of an endpoint says less than what several nodes did:
// it may have been full for a moment, or have failed one call.
func (p *Picker) first(r Request) (Placement, bool) {
	key := xxhash.Sum64String(r.Call.ID)
	affinity := p.affinity(r)
	if best, found := p.best(r, p.unheard(r), affinity, key, sound); found {
		return best, true
	}
	some := candidates(r, affinity, key)
	if best, found := p.best(r, some, affinity, key, sound); found {
		return best, true
	}
	if len(some) < len(r.Engines) {
		if best, found := p.best(r, r.Engines, affinity, key, sound); found {
			return best, true
		}
	}
	if best, found := p.best(r, r.Engines, affinity, key, suspects); found {
		return best, true
	}
	return p.best(r, r.Engines, affinity, key, whichever)
}

// best ranks endpoints for a call.
func (p *Picker) best(r Request, among []engine.Engine, affinity string, key uint64, with care) (Placement, bool) {
	var best Placement
	bestRank := uint64(0)
	found := false
	source := p.source(r, affinity)
	for _, e := range among {
		s, why := p.usable(&r, &e, key, with)
		if why != Usable {
			continue
		}
		t := p.weigh(r, e, s, affinity, source)
		rank := ident.Mix(key ^ e.Hash)
		if !found || t.Cost < best.Cost || t.Cost == best.Cost && rank > bestRank {
			best, bestRank, found = t, rank, true
		}
	}
	return best, found
}

// sample is how many endpoints are compared where there are many: the affinity
// target of the prompt's parts, and others drawn by the call's id.
const sample = 24

func candidates(r Request, affinity string, key uint64) []engine.Engine {
	if len(r.Engines) <= sample+sample/2 {
		return r.Engines
	}
	some := make([]engine.Engine, 0, sample+1)
	for i := range sample {
		some = append(some, r.Engines[ident.Mix(key+uint64(i))%uint64(len(r.Engines))])
	}
	if e, ok := find(r.Engines, affinity); ok {
		some = append(some, e)
	}
	return some
}

// find looks an endpoint up by its id; engines come in the order of their ids.
func find(engines []engine.Engine, id string) (engine.Engine, bool) {
	at, ok := slices.BinarySearchFunc(engines, id, func(e engine.Engine, id string) int { return strings.Compare(e.ID, id) })
	if !ok {
		return engine.Engine{}, false
	}
	return engines[at], true
}

// affinity names the endpoint where the shared parts of the prompt lie, by
// rendezvous hashing of the deepest one, so that every node agrees unasked.
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

// Forget drops what is known of endpoints that are gone and have no calls.
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
