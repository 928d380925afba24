// Package choice picks the endpoint of an attempt: the one where the first
// event is expected soonest, by the prompt tokens that wait there, the part of
// this prompt that it does not keep, and what it and its peers have shown.
package choice

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Tuning are the constants of the choice.
type Tuning struct {
	ReadPerMs     float64       // prompt tokens that an engine reads in a millisecond
	StepMs        float64       // what each running stream adds to the expected wait, in ms
	AffinityTrust float64       // how sure it is that a part is kept at its affinity target, 0 to 1
	CrossZoneMs   float64       // what leaving the zone costs, in ms
	Suspect       time.Duration // how long an endpoint that failed is avoided at first
	LoadAge       time.Duration // a reported load older than this says nothing
}

// DefaultTuning is what measurements led to.
func DefaultTuning() Tuning {
	return Tuning{ReadPerMs: 38, StepMs: 0.3, AffinityTrust: 0.9, CrossZoneMs: 0.6, Suspect: 600 * time.Millisecond, LoadAge: 400 * time.Millisecond}
}

// Picker chooses endpoints and remembers what was sent where. It is safe for
// concurrent use.
type Picker struct {
	tuning Tuning
	zone   string

	mu     sync.Mutex
	states map[string]*state
}

// state is what is known of one endpoint beside what it says of itself.
type state struct {
	inFlight  int
	waiting   int64 // uncached prompt tokens sent, without a first event yet
	peers     map[string]Digest
	memory    *memory
	load      call.Load
	loadAt    time.Time
	failures  int
	suspected time.Time // until then it is avoided
	slow      float64   // how many times slower than expected, smoothed
}

// Digest is what one node tells the others about an endpoint.
type Digest struct {
	InFlight int       `json:"n"`
	Waiting  int64     `json:"w"`
	At       time.Time `json:"-"`
}

// digestAge is how long a peer's word counts.
const digestAge = 1500 * time.Millisecond

// NewPicker returns a picker for a node of a zone.
func NewPicker(zone string, t Tuning) *Picker {
	return &Picker{tuning: t, zone: zone, states: map[string]*state{}}
}

// Ask is what a choice depends on.
type Ask struct {
	Call     call.Call
	Engines  []engine.Engine
	Exclude  map[string]bool // ids already tried
	Tokens   bool            // the service reads prompts
	Capacity int64           // tokens that an endpoint keeps
	Cap      int             // calls that this node may have in flight at one endpoint
	Now      time.Time
}

// Ticket is a choice made: it is to be closed once.
type Ticket struct {
	Engine   engine.Engine
	Uncached int64   // prompt tokens expected to be read
	Expect   float64 // ms until the first event, as expected
	picker   *Picker
	first    bool
}

// Pick chooses an endpoint and counts the call there; false where none may take it.
func (p *Picker) Pick(a Ask) (*Ticket, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.first(a)
	if !found {
		return nil, false
	}
	s := p.state(best.Engine.ID, a.Capacity)
	s.inFlight++
	s.waiting += best.Uncached
	if a.Tokens {
		for _, part := range a.Call.Parts {
			s.memory.touch(part)
		}
	}
	return &best, true
}

// first finds the best among a sample of the endpoints; where none of them may
// take the call among all, and suspects only where nothing else is left.
func (p *Picker) first(a Ask) (Ticket, bool) {
	key := xxhash.Sum64String(a.Call.ID)
	affinity := p.affinity(a)
	some := candidates(a, affinity, key)
	if best, found := p.best(a, some, affinity, key, false); found {
		return best, true
	}
	if len(some) < len(a.Engines) {
		if best, found := p.best(a, a.Engines, affinity, key, false); found {
			return best, true
		}
	}
	return p.best(a, a.Engines, affinity, key, true)
}

// best ranks endpoints for a call.
func (p *Picker) best(a Ask, among []engine.Engine, affinity string, key uint64, suspects bool) (Ticket, bool) {
	var best Ticket
	bestRank := uint64(0)
	found := false
	for _, e := range among {
		if e.State != engine.Ready || a.Exclude[e.ID] {
			continue
		}
		s := p.state(e.ID, a.Capacity)
		if s.inFlight >= a.Cap || (!suspects && a.Now.Before(s.suspected)) {
			continue
		}
		t := p.expect(a, e, s, affinity)
		rank := ident.Mix(key ^ e.Hash)
		if !found || t.Expect < best.Expect || t.Expect == best.Expect && rank > bestRank {
			best, bestRank, found = t, rank, true
		}
	}
	return best, found
}

// sample is how many endpoints are compared where there are many: the affinity target of
// the prompt's parts, and others drawn by the call's id.
const sample = 24

func candidates(a Ask, affinity string, key uint64) []engine.Engine {
	if len(a.Engines) <= sample+sample/2 {
		return a.Engines
	}
	some := make([]engine.Engine, 0, sample+1)
	for i := range sample {
		some = append(some, a.Engines[ident.Mix(key+uint64(i))%uint64(len(a.Engines))])
	}
	at, ok := slices.BinarySearchFunc(a.Engines, affinity, func(e engine.Engine, id string) int { return strings.Compare(e.ID, id) })
	if ok {
		some = append(some, a.Engines[at])
	}
	return some
}

func (p *Picker) expect(a Ask, e engine.Engine, s *state, affinity string) Ticket {
	t := Ticket{Engine: e, picker: p}
	inFlight, waiting := s.total(a.Now)
	if e.Zone != p.zone {
		t.Expect += p.tuning.CrossZoneMs
	}
	if !a.Tokens {
		t.Expect += plainCost(inFlight, s, e, a.Now, p.tuning.LoadAge)
		return t
	}
	read, believed := a.Call.PromptMax, 0.0
	shared := len(a.Call.Parts) - 1 // the last part is the call's own
	for i, part := range a.Call.Parts {
		if s.memory.has(part.ID) {
			read -= part.Tokens
			continue
		}
		if i < shared && affinity == e.ID {
			believed += p.tuning.AffinityTrust * float64(part.Tokens)
			continue
		}
		break
	}
	t.Uncached = max(read-int64(believed), 0)
	slow := max(s.slow, 1)
	t.Expect += slow * (float64(waiting+t.Uncached)/p.tuning.ReadPerMs + p.tuning.StepMs*float64(inFlight))
	return t
}

// plainCost ranks endpoints without prompts by how full they are.
func plainCost(inFlight int, s *state, e engine.Engine, now time.Time, age time.Duration) float64 {
	slots := float64(max(e.Slots, 1))
	full := float64(inFlight)
	if now.Sub(s.loadAt) < age {
		full = max(full, float64(s.load.Running+s.load.Waiting))
	}
	return max(s.slow, 1) * (full + 1) / slots * 10
}

// affinity names the endpoint where the shared parts of the prompt lie, by
// rendezvous hashing of the deepest one, so that every node agrees unasked.
func (p *Picker) affinity(a Ask) string {
	if !a.Tokens || len(a.Call.Parts) < 2 {
		return ""
	}
	key := xxhash.Sum64String(a.Call.Parts[len(a.Call.Parts)-2].ID)
	best, score := "", uint64(0)
	for i := range a.Engines {
		e := &a.Engines[i]
		if h := ident.Mix(key ^ e.Hash); e.State == engine.Ready && (best == "" || h > score) {
			best, score = e.ID, h
		}
	}
	return best
}

func (p *Picker) state(id string, capacity int64) *state {
	s, ok := p.states[id]
	if !ok {
		s = &state{peers: map[string]Digest{}, memory: newMemory(max(capacity, 1)), slow: 1}
		p.states[id] = s
	}
	if capacity > 0 {
		s.memory.capacity = capacity
	}
	return s
}

func (s *state) total(now time.Time) (int, int64) {
	inFlight, waiting := s.inFlight, s.waiting
	for _, d := range s.peers {
		if now.Sub(d.At) < digestAge {
			inFlight += d.InFlight
			waiting += d.Waiting
		}
	}
	return inFlight, waiting
}

// Report takes in a load that the endpoint told.
func (p *Picker) Report(id string, l call.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[id]; ok {
		s.load, s.loadAt = l, now
	}
}

// Digests lists this node's own part for its peers.
func (p *Picker) Digests() map[string]Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]Digest{}
	for id, s := range p.states {
		if s.inFlight > 0 {
			all[id] = Digest{InFlight: s.inFlight, Waiting: s.waiting}
		}
	}
	return all
}

// Heard takes in a peer's digests; what it does not name is nothing.
func (p *Picker) Heard(peer string, digests map[string]Digest, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if _, ok := digests[id]; !ok {
			delete(s.peers, peer)
		}
	}
	for id, d := range digests {
		d.At = now
		p.state(id, 0).peers[peer] = d
	}
}

// Forget drops what is known of endpoints that are gone and have no calls.
func (p *Picker) Forget(known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.states {
		if s.inFlight == 0 && !known(id) {
			delete(p.states, id)
		}
	}
}
