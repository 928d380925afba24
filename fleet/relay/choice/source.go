package choice

import (
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// source is the endpoint that keeps most of a prompt's shared parts, and what
// moving them from there takes.
type source struct {
	id      string
	address string
	tokens  int64
	bytesMs float64 // of the link, in a ms
	bytes   int64   // of a token
}

// moveSetupMs is what a move takes beside its bytes: two exchanges between endpoints.
const moveSetupMs = 5

// moveMs is how long so many tokens take to be moved.
func (s source) moveMs(tokens int64) float64 {
	return moveSetupMs + float64(tokens*s.bytes)/s.bytesMs
}

// source finds where most of the shared parts lie; none where nothing can be moved.
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
	for id := range p.holders[shared[0].ID] {
		e, sound := p.soundSource(r, id)
		if !sound {
			continue
		}
		tokens := int64(0)
		for _, part := range shared {
			if !p.holders[part.ID][id] {
				break
			}
			tokens += part.Tokens
		}
		if tokens > best.tokens || tokens == best.tokens && (id == affinity || best.id != affinity && id < best.id) {
			best.id, best.address, best.tokens = id, e.Address, tokens
		}
	}
	return p.orAffinity(r, best, affinity)
}

// soundSource finds an endpoint that parts may be taken from now.
func (p *Picker) soundSource(r Request, id string) (engine.Engine, bool) {
	e, listed := find(r.Engines, id)
	if !listed || e.State != engine.Ready {
		return e, false
	}
	s, known := p.endpoints[id]
	return e, !known || !s.gone && !r.Now.Before(s.suspected)
}

// orAffinity returns the affinity target in place of a source that is known to
// keep less than the target is believed to: in a large fleet most reads are never
// heard of, and a source that lacks a part costs next to nothing.
func (p *Picker) orAffinity(r Request, known source, affinity string) source {
	shared := r.Call.Shared()
	if affinity == "" || len(p.holders[shared[len(shared)-1].ID]) > 0 {
		return known
	}
	e, sound := p.soundSource(r, affinity)
	tokens := int64(0)
	for _, part := range shared {
		tokens += int64(p.tuning.AffinityTrust * float64(part.Tokens))
	}
	if !sound || tokens <= known.tokens {
		return known
	}
	known.id, known.address, known.tokens = affinity, e.Address, tokens
	return known
}
