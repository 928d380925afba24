package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
)

// How nodes ask for origins.
const (
	originTimeout    = 150 * time.Millisecond
	originAttempts   = 2  // a datagram may be lost
	maxOriginQueries = 64 // queries answered per message
)

// maxListAge is how long ago the store may have confirmed a list of endpoints that proves which versions
// serve: a quiet watch confirms it every 16 s at the latest, and an outage of the store is to cost no streams.
const maxListAge = 30 * time.Second

// originQuery asks for the origin of a stream.
type originQuery struct {
	ID      uint64        `json:"id"` // of the lookup
	Stream  origin.Stream `json:"s"`
	Service string        `json:"svc"`
}

// originAnswer answers a query.
type originAnswer struct {
	ID      uint64 `json:"id"`
	Known   bool   `json:"k,omitempty"`
	Version string `json:"v,omitempty"` // if known
	Several bool   `json:"m,omitempty"` // the service has had several versions lately
	Unsure  bool   `json:"u,omitempty"` // the node does not know the versions of before it started; earlier builds don't tell

	ListAgeMs int64 `json:"a,omitempty"` // since the store confirmed the node's list of endpoints, rounded up; 0: not told
}

// knowsVersions reports whether the node knows the versions of before it started.
func (a originAnswer) knowsVersions() bool { return !a.Unsure }

// provesVersions reports whether the node knows the versions of the last Retention, and the store has confirmed
// its list lately.
func (a originAnswer) provesVersions() bool {
	age := time.Duration(a.ListAgeMs) * time.Millisecond
	return a.knowsVersions() && age > 0 && age <= maxListAge
}

// lookups are the lookups that wait for answers. It is safe for concurrent use.
type lookups struct {
	mu      sync.Mutex
	pending map[uint64]chan namedAnswer
}

type namedAnswer struct {
	originAnswer
	node string
}

func newLookups() *lookups { return &lookups{pending: map[uint64]chan namedAnswer{}} }

func (l *lookups) open(answers int) (uint64, chan namedAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, found := rand.Uint64(), make(chan namedAnswer, answers)
	l.pending[id] = found
	return id, found
}

func (l *lookups) close(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

func (l *lookups) receive(a originAnswer, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.pending[a.ID] <- namedAnswer{a, node}:
	default: // the lookup is over, or has more answers than it sent queries
	}
}

// FindOrigin asks the replicas of a stream for its origin. Those that don't answer are asked again: a
// datagram may be lost. So are all if they don't know it and several versions serve: the record may
// be on its way.
func (g *Gossip) FindOrigin(ctx context.Context, s origin.Stream, service string) origin.Told {
	if !g.registry.Listed() {
		return origin.Told{Finding: origin.Unanswered{}}
	}
	replicas := g.replicasOf(s)
	if len(replicas) == 0 {
		return origin.Told{Finding: origin.Sole{}, Alone: true, AllZones: true} // nobody else keeps origins
	}
	l := lookup{replicas: replicas, answered: map[string]originAnswer{}}
	id, answers := g.lookups.open(originAttempts * len(replicas))
	defer g.lookups.close(id)
	query := g.withSender(message{OriginQueries: []originQuery{{ID: id, Stream: s, Service: service}}})
	for range originAttempts {
		if l.complete() {
			if !l.several() {
				break
			}
			clock.Pause(ctx, origin.SendDelay)
		}
		asked := l.toAsk()
		g.send(query, addresses(asked)...)
		if a, known := l.collect(ctx, answers, len(asked)); known {
			return origin.Told{Finding: origin.Known{Version: a.Version}, From: a.node}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return l.found(g.registry.self.Zone)
}

// lookup is the state of one lookup.
type lookup struct {
	replicas []Member
	answered map[string]originAnswer // by node; the latest
}

func (l *lookup) complete() bool { return len(l.answered) == len(l.replicas) }

func (l *lookup) several() bool {
	return lo.SomeBy(lo.Values(l.answered), func(a originAnswer) bool { return a.Several })
}

// toAsk returns the replicas to ask next.
func (l *lookup) toAsk() []Member {
	several := l.several()
	return lo.Reject(l.replicas, func(m Member, _ int) bool {
		_, answered := l.answered[m.Name]
		return !several && answered
	})
}

// collect awaits answers, and returns the first one that knows the stream.
func (l *lookup) collect(ctx context.Context, answers <-chan namedAnswer, count int) (namedAnswer, bool) {
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	for range count {
		select {
		case a := <-answers:
			if a.Known {
				return a, true
			}
			l.answered[a.node] = a.originAnswer
		case <-timeout.C:
			return namedAnswer{}, false
		case <-ctx.Done():
			return namedAnswer{}, false
		}
	}
	return namedAnswer{}, false
}

// found returns what the answers tell where none knows the stream. One node that knows the versions of
// the last Retention is enough to know that there was one.
func (l *lookup) found(zone string) origin.Told {
	told := origin.Told{Finding: origin.Unanswered{}, AllZones: l.answeredByAllZones(zone, originAnswer.knowsVersions)}
	for _, m := range l.replicas {
		a, answered := l.answered[m.Name]
		switch {
		case !answered, told.Finding == origin.Several{}:
		case a.Several:
			told.Finding, told.From = origin.Several{}, m.Name
		case !a.Unsure:
			told.Finding, told.From = origin.Sole{}, m.Name
		case told.Finding == origin.Unanswered{}:
			told.Finding = origin.Unsure{}
		}
	}
	told.Outdated = told.Finding == origin.Sole{} && !l.answeredByAllZones(zone, originAnswer.provesVersions)
	return told
}

// answeredByAllZones reports whether a node of each zone but this one gave an answer that counts. If there is no
// other zone, all replicas must have: one of them may be cut off together with this node.
func (l *lookup) answeredByAllZones(own string, counts func(originAnswer) bool) bool {
	tells := func(m Member) bool {
		a, answered := l.answered[m.Name]
		return answered && counts(a)
	}
	byZone := lo.GroupBy(l.replicas, func(m Member) string { return m.Zone })
	delete(byZone, own)
	if len(byZone) == 0 {
		return lo.EveryBy(l.replicas, tells)
	}
	return lo.EveryBy(lo.Values(byZone), func(of []Member) bool { return lo.SomeBy(of, tells) })
}
