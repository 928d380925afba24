package peer

import (
	"cmp"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
)

// A node reports which version began a stream to a few nodes, chosen by the stream: one of each zone,
// so that a cut zone knows it, too. They are asked when the stream is resumed elsewhere: the node
// that began it may be gone by then.

// How origins are replicated and asked for.
const (
	minReplicas      = 3 // nodes that know a stream's origin, where there are as many
	originTimeout    = 150 * time.Millisecond
	originAttempts   = 2   // a datagram may be lost
	maxOriginRecords = 256 // per message
	maxOriginQueries = 64  // queries answered per message
)

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

// WithOrigins exchanges which software version began each stream. It must be called before Run.
func (g *Gossip) WithOrigins(t *origin.Tracker) *Gossip {
	g.origins = t
	return g
}

// urgentOrigins signals records that are due to be sent.
func (g *Gossip) urgentOrigins() <-chan struct{} {
	if g.origins == nil {
		return nil
	}
	return g.origins.Urgent()
}

// sendOrigins sends the records that are due, each to the replicas of its stream.
func (g *Gossip) sendOrigins() {
	byAddress := map[string][]origin.Record{}
	for _, r := range g.origins.Unsent() {
		for _, m := range g.replicasOf(r.Stream) {
			byAddress[m.Address] = append(byAddress[m.Address], r)
		}
	}
	for address, records := range byAddress {
		for _, some := range lo.Chunk(records, maxOriginRecords) {
			g.send(g.withSender(message{Origins: some}), address)
		}
	}
}

// replicasOf returns the other nodes that know a stream's origin: by a rank that depends on the
// stream, the first node of each zone, and the next ones until there are enough.
func (g *Gossip) replicasOf(s origin.Stream) []Member {
	members := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Origins })
	rank := func(m Member) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(m.Name), uint64(s)))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	zones := map[string]bool{}
	first, others := lo.FilterReject(members, func(m Member, _ int) bool {
		taken := zones[m.Zone]
		zones[m.Zone] = true
		return !taken
	})
	missing := min(max(minReplicas-len(first), 0), len(others))
	return lo.Reject(append(first, others[:missing]...), func(m Member, _ int) bool { return m.Name == g.registry.self.Name })
}

// FindOrigin asks the replicas of a stream for its origin, and returns the node that knew it. Those
// that don't answer are asked again: a datagram may be lost. So are all if they don't know it and
// several versions serve: the record may be on its way.
func (g *Gossip) FindOrigin(ctx context.Context, s origin.Stream, service string) (origin.Finding, string) {
	replicas := g.replicasOf(s)
	if len(replicas) == 0 {
		return origin.Sole{}, "" // nobody else keeps origins
	}
	id, answers := g.lookups.open(originAttempts * len(replicas))
	defer g.lookups.close(id)
	query := g.withSender(message{OriginQueries: []originQuery{{ID: id, Stream: s, Service: service}}})
	answered, several := map[string]bool{}, false
	for range originAttempts {
		if len(answered) == len(replicas) {
			if !several {
				return origin.Sole{}, ""
			}
			clock.Pause(ctx, origin.SendDelay)
		}
		asked := lo.Reject(replicas, func(m Member, _ int) bool { return !several && answered[m.Name] })
		g.send(query, addresses(asked)...)
		timeout := time.NewTimer(originTimeout)
		for range asked {
			a, ok := awaitAnswer(ctx, answers, timeout.C)
			if !ok {
				break
			}
			if a.Known {
				timeout.Stop()
				return origin.Known{Version: a.Version}, a.node
			}
			several = several || a.Several
			answered[a.node] = true
		}
		timeout.Stop()
		if ctx.Err() != nil {
			break
		}
	}
	switch {
	case several:
		return origin.Several{}, ""
	case len(answered) == 0:
		return origin.Unanswered{}, ""
	}
	return origin.Sole{}, ""
}

// awaitAnswer returns the next answer, or false if there is none in time.
func awaitAnswer(ctx context.Context, answers <-chan namedAnswer, timeout <-chan time.Time) (namedAnswer, bool) {
	select {
	case a := <-answers:
		return a, true
	case <-timeout:
	case <-ctx.Done():
	}
	return namedAnswer{}, false
}

// receiveOrigins processes records, queries and answers of a peer.
func (g *Gossip) receiveOrigins(m message, from string) {
	if g.origins == nil {
		return
	}
	now := clock.Now()
	g.origins.Receive(m.Origins[:min(len(m.Origins), maxOriginRecords)], now)
	for _, a := range m.OriginAnswers {
		g.lookups.receive(a, m.Node)
	}
	if len(m.OriginQueries) == 0 {
		return
	}
	queries := m.OriginQueries[:min(len(m.OriginQueries), maxOriginQueries)]
	answers := lo.Map(queries, func(q originQuery, _ int) originAnswer { return g.answerOrigin(q, now) })
	g.send(g.withSender(message{OriginAnswers: answers}), from)
}

func (g *Gossip) answerOrigin(q originQuery, now time.Time) originAnswer {
	a := originAnswer{ID: q.ID}
	switch f := g.origins.Find(q.Stream, q.Service, now).(type) {
	case origin.Known:
		a.Known, a.Version = true, f.Version
	case origin.Several:
		a.Several = true
	case origin.Sole, origin.Unanswered:
	}
	return a
}
