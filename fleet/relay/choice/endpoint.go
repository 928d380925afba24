package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// endpoint is what this node knows of one incarnation of an endpoint, apart from the endpoint's
// entry. A new incarnation gets a new value, so that placements made for an earlier one do not
// change its state.
type endpoint struct {
	born           int64     // of the incarnation, as the endpoint reports it; 0: unknown
	listed         bool      // the endpoint has an entry: born comes from the entry and not from a peer
	placed         time.Time // when a call was last placed there
	replacedAt     time.Time // when this node learned that an earlier incarnation had ended; zero: never
	inFlight       int
	waiting        int64 // uncached prompt tokens that were sent and have no first event yet
	peers          map[string]Digest
	cache          *prefixCache
	load           call.Load
	loadAt         time.Time
	failures       int
	suspectedUntil time.Time // avoided until then
	rejected       time.Time // when it last rejected a call as full
	gone           bool      // another endpoint has its address, as that one reported to this node or a peer
	goneAt         string    // that address; "": not reported
	speed          speed
	pauses         average // share of recent streams that paused for too long
}

// endpoint returns the state of the present incarnation, even if the caller names another one.
func (p *Picker) endpoint(incarnation engine.Incarnation, capacity int64) *endpoint {
	s, ok := p.endpoints[incarnation.ID]
	if !ok {
		s = p.newIncarnation(incarnation, capacity)
	}
	if capacity > 0 {
		s.cache.capacity = capacity
	}
	return s
}

// newIncarnation replaces the state of an endpoint by that of a new incarnation.
func (p *Picker) newIncarnation(incarnation engine.Incarnation, capacity int64) *endpoint {
	s := &endpoint{born: incarnation.Born, peers: map[string]Digest{}, cache: newPrefixCache(max(capacity, 1), incarnation.ID, p.holders, &p.allParts)}
	p.endpoints[incarnation.ID] = s
	return s
}

// markGone records that another endpoint has the address of this one; "": not reported.
func (s *endpoint) markGone(address string) { s.gone, s.goneAt = true, address }

// isGoneAt reports whether another endpoint has the address in an entry. An entry whose address was wrong
// and has been corrected names an endpoint that runs.
func (s *endpoint) isGoneAt(address string) bool {
	return s.gone && (s.goneAt == "" || s.goneAt == address)
}

func (p *Picker) model(service string) *model {
	m, ok := p.models[service]
	if !ok {
		m = &model{}
		p.models[service] = m
	}
	return m
}

// total returns the calls in flight and the waiting prompt tokens of this node and its peers.
func (s *endpoint) total(now time.Time) (int, int64) {
	inFlight, waiting := s.inFlight, s.waiting
	for _, d := range s.peers {
		if now.Sub(d.At) < digestAge && s.matches(d.Born, now) {
			inFlight += d.InFlight
			waiting += d.Waiting
		}
	}
	return inFlight, waiting
}

// pauseShare returns the share of streams that paused for too long, from this node and its
// peers.
func (s *endpoint) pauseShare(now time.Time) float64 {
	sum, weight := s.pauses.mean()*s.pauses.weight, s.pauses.weight
	for _, d := range s.peers {
		if now.Sub(d.At) < digestAge && s.matches(d.Born, now) {
			sum += d.Paused * d.Streams
			weight += d.Streams
		}
	}
	return sum / (weight + pausePrior)
}

// pausePrior is the number of streams without a long pause that each endpoint starts with.
const pausePrior = 2
