package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// rejectionRest is how long a node sends nothing to a fragile endpoint that rejected a call: the
// rejections of all nodes in a second count together, and calls that come again at once would be
// rejected, too.
const rejectionRest = time.Second

// hasRoom reports whether one more call may be sent to an endpoint of a fragile service. The shares
// that the nodes have of its slots add up to them. Of what the endpoint lately reported as free,
// each node may use an equal part besides: its calls may be many more than those of other nodes.
func (p *Picker) hasRoom(r *Request, e *engine.Engine, s *endpoint) bool {
	if p.fragile == nil || e.Slots <= 0 || !p.fragile.Is(r.Profile.Service, r.Now) {
		return true
	}
	if r.Now.Sub(s.rejected) < rejectionRest {
		return false
	}
	room := p.gate.Slots(*e)
	if r.Now.Sub(s.loadAt) < p.tuning.LoadAge {
		room += max(e.Slots-s.load.Running-s.load.Waiting, 0) / max(p.gate.Count(), 1)
	}
	return s.inFlight < room
}

// AwaitsRoom returns how many calls may wait at this node for its share of the slots of a fragile
// service's endpoints: as many as this share, so that each of them gets one once the calls there
// end. It returns 0 unless that is all that keeps the call from an endpoint.
func (p *Picker) AwaitsRoom(r Request) int {
	if p.fragile == nil || !p.fragile.Is(r.Profile.Service, r.Now) || p.LeftOut(r)[NoRoom] == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	share := 0
	for i := range r.Engines {
		if r.Engines[i].State == engine.Ready {
			share += p.gate.Slots(r.Engines[i])
		}
	}
	return share
}
