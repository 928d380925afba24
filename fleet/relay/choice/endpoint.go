package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
)

// endpoint is what is known of one endpoint beside what it says of itself.
type endpoint struct {
	inFlight  int
	waiting   int64 // uncached prompt tokens sent, without a first event yet
	peers     map[string]Digest
	cache     *prefixCache
	load      call.Load
	loadAt    time.Time
	failures  int
	suspected time.Time // until then it is avoided
	gone      bool      // its life has ended, by its successor's word to this node or a peer
	speed     speed
	pauses    average // share of streams that paused for too long, lately
}

func (p *Picker) endpoint(id string, capacity int64) *endpoint {
	s, ok := p.endpoints[id]
	if !ok {
		s = &endpoint{peers: map[string]Digest{}, cache: newPrefixCache(max(capacity, 1), id, p.holders)}
		p.endpoints[id] = s
	}
	if capacity > 0 {
		s.cache.capacity = capacity
	}
	return s
}

func (p *Picker) model(service string) *model {
	m, ok := p.models[service]
	if !ok {
		m = &model{}
		p.models[service] = m
	}
	return m
}

// total is what is in flight there, and prompt tokens that wait, by this node and
// its peers.
func (s *endpoint) total(now time.Time) (int, int64) {
	inFlight, waiting := s.inFlight, s.waiting
	for _, d := range s.peers {
		if now.Sub(d.At) < digestAge {
			inFlight += d.InFlight
			waiting += d.Waiting
		}
	}
	return inFlight, waiting
}

// pauseShare is the share of streams that paused for too long there, by this
// node and its peers.
func (s *endpoint) pauseShare(now time.Time) float64 {
	sum, weight := s.pauses.mean()*s.pauses.weight, s.pauses.weight
	for _, d := range s.peers {
		if now.Sub(d.At) < digestAge {
			sum += d.Paused * d.Streams
			weight += d.Streams
		}
	}
	return sum / (weight + pausePrior)
}

// pausePrior is how many streams without a long pause each endpoint is thought
// to have had before any was seen.
const pausePrior = 2
