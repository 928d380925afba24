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
		e, listed := find(r.Engines, id)
		s := p.endpoints[id]
		if !listed || s == nil || s.gone || r.Now.Before(s.suspected) || e.State != engine.Ready {
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
	return best
}
