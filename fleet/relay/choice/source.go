package choice

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// source is the endpoint that caches most of a prompt's shared parts, and the cost of moving
// them.
type source struct {
	id      string
	address string
	zone    string
	tokens  int64
	known   bool    // a read of the parts there was observed or reported; false: assumed of the affinity target
	bytesMs float64 // bytes per ms of the link
	bytes   int64   // per token
}

// Fixed cost of a move: exchanges between the endpoints, and their processing, which dominates
// over short distances.
const (
	moveExchanges = 2
	moveSetupMs   = 5
)

// moveMs returns how long it takes to move the tokens over a distance.
func (s source) moveMs(tokens int64, dist distance.Distance) float64 {
	return max(moveSetupMs, moveExchanges*dist.DelayMs()) + float64(tokens*s.bytes)/s.bytesMs
}

// source returns the endpoint that caches most of the shared parts, and the zero value if
// nothing can be moved.
func (p *Picker) source(r Request, affinity string) source {
	if !p.tuning.Fetch || r.Profile.TokenBytes <= 0 || r.Profile.LinkMbps <= 0 {
		return source{}
	}
	const bytesMsOfMbps = 1000 / 8
	best := source{bytesMs: r.Profile.LinkMbps * bytesMsOfMbps, bytes: r.Profile.TokenBytes}
	shared := r.Call.Shared()
	if len(shared) == 0 {
		return best
	}
	for depth := len(shared); depth > 0; depth-- {
		if e, ok := p.holderOf(r, shared[:depth], affinity); ok {
			best.id, best.address, best.zone, best.tokens, best.known = e.ID, e.Address, e.Zone, tokensOf(shared[:depth]), true
			break
		}
	}
	return p.orAffinity(r, best, affinity)
}

// maxHoldersChecked bounds how many holders of a part are examined, since a part shared by all
// calls is cached nearly everywhere.
const maxHoldersChecked = 16

// holderOf returns a healthy endpoint that caches all of the parts: the affinity target if it
// does, otherwise one of the nearest. Equally near ones are drawn by the call's id, so that
// simultaneous calls do not all load the same link.
func (p *Picker) holderOf(r Request, parts []call.Part, affinity string) (engine.Engine, bool) {
	var best engine.Engine
	found, checked := false, 0
	key := xxhash.Sum64String(r.Call.ID)
	before := func(a, b engine.Engine) bool {
		if x, y := p.places.Class(a.Zone), p.places.Class(b.Zone); x != y {
			return x < y
		}
		return ident.Mix(key^a.Hash) > ident.Mix(key^b.Hash)
	}
	holders := p.holders[parts[len(parts)-1].ID]
	if holders[affinity] && p.cachesAll(affinity, parts) {
		if e, healthy := p.healthySource(r, affinity); healthy {
			return e, true
		}
	}
	for id := range holders {
		if checked++; checked > maxHoldersChecked {
			break
		}
		if !p.cachesAll(id, parts) {
			continue
		}
		if e, healthy := p.healthySource(r, id); healthy && (!found || before(e, best)) {
			best, found = e, true
		}
	}
	return best, found
}

// cachesAll reports whether an endpoint is assumed to cache all of the parts.
func (p *Picker) cachesAll(id string, parts []call.Part) bool {
	for _, part := range parts {
		if !p.holders[part.ID][id] {
			return false
		}
	}
	return true
}

func tokensOf(parts []call.Part) int64 {
	return lo.SumBy(parts, func(part call.Part) int64 { return part.Tokens })
}

// sources returns the endpoints that parts may be fetched from.
func (r Request) sources() []engine.Engine {
	if r.Sources != nil {
		return r.Sources
	}
	return r.Engines
}

// healthySource returns the endpoint if parts may be fetched from it now.
func (p *Picker) healthySource(r Request, id string) (engine.Engine, bool) {
	e, listed := find(r.sources(), id)
	if !listed || e.State != engine.Ready {
		return e, false
	}
	s, known := p.endpoints[id]
	return e, !known || !s.isGoneAt(e.Address) && !r.Now.Before(s.suspectedUntil)
}

// affinityGrace is how long after a restart an affinity target is no source of parts that nobody
// reported: its cache is empty, and is filled by the calls that come to it.
const affinityGrace = 5 * time.Second

// orAffinity returns the affinity target instead of a known source that caches less than the
// target is assumed to. In a large fleet most reads are never reported to this node, and asking
// a source that lacks a part costs very little.
func (p *Picker) orAffinity(r Request, known source, affinity string) source {
	shared := r.Call.Shared()
	if affinity == "" || len(p.holders[shared[len(shared)-1].ID]) > 0 {
		return known
	}
	if s, ok := p.endpoints[affinity]; ok && r.Now.Sub(s.replacedAt) < affinityGrace {
		return known
	}
	e, healthy := p.healthySource(r, affinity)
	tokens := int64(0)
	for _, part := range shared {
		tokens += int64(p.tuning.AffinityTrust * float64(part.Tokens))
	}
	if !healthy || tokens <= known.tokens {
		return known
	}
	known.id, known.address, known.zone, known.tokens, known.known = affinity, e.Address, e.Zone, tokens, false
	return known
}
