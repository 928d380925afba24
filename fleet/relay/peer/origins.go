package peer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
)

// A node reports which version began a stream to a few nodes, chosen by the stream: one of each zone,
// so that a cut zone knows it, too. They are asked when the stream is resumed elsewhere: the node
// that began it may be gone by then.

// How origins are replicated.
const (
	minReplicas      = 3   // nodes that know a stream's origin, where there are as many
	maxOriginRecords = 256 // per message
)

// WithOrigins exchanges which software version began each stream, and keeps them for the store. It must
// be called before Run.
func (g *Gossip) WithOrigins(t *origin.Tracker, k *origin.Keeper) *Gossip {
	g.origins, g.keeper = t, k
	return g
}

// WithListAge has answers tell how long ago the store confirmed this node's list of endpoints; 0 if it never
// did. It must be called before Run.
func (g *Gossip) WithListAge(age func() time.Duration) *Gossip {
	g.listAge = age
	return g
}

// urgentOrigins signals records that are due to be sent.
func (g *Gossip) urgentOrigins() <-chan struct{} {
	if g.origins == nil {
		return nil
	}
	return g.origins.Urgent()
}

// sendOrigins sends the records that are due, each to the replicas of its stream, and all to those who
// keep them for the store.
func (g *Gossip) sendOrigins() {
	byAddress := map[string][]origin.Record{}
	unsent := g.origins.Unsent()
	for _, r := range unsent {
		for _, m := range g.replicasOf(r.Stream) {
			byAddress[m.Address] = append(byAddress[m.Address], r)
		}
	}
	for address, records := range byAddress {
		for _, some := range lo.Chunk(records, maxOriginRecords) {
			g.send(g.withSender(message{Origins: some}), address)
		}
	}
	g.sendToKeepers(unsent)
}

// replicasOf returns the other nodes that know a stream's origin: by a rank that depends on the
// stream, the first node of each zone, and the next ones until there are enough.
func (g *Gossip) replicasOf(s origin.Stream) []Member {
	members := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Origins })
	rank := func(m Member) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(m.Name), uint64(s)))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	first, others := firstOfZones(members)
	missing := min(max(minReplicas-len(first), 0), len(others))
	return lo.Reject(append(first, others[:missing]...), func(m Member, _ int) bool { return m.Name == g.registry.self.Name })
}

// firstOfZones separates the first member of each zone from the others.
func firstOfZones(members []Member) (first, others []Member) {
	zones := map[string]bool{}
	return lo.FilterReject(members, func(m Member, _ int) bool {
		taken := zones[m.Zone]
		zones[m.Zone] = true
		return !taken
	})
}

// isOnOrigins reports whether the message is on the origins of streams.
func (m message) isOnOrigins() bool {
	return len(m.Origins)+len(m.OriginQueries)+len(m.OriginAnswers)+len(m.OriginsToStore)+len(m.Versions) > 0 || m.OriginsStoredMs != nil
}

// receiveOrigins processes records, queries and answers of a peer.
func (g *Gossip) receiveOrigins(m message, from string) {
	if g.origins == nil {
		return
	}
	now := clock.Now()
	g.origins.Receive(m.Origins[:min(len(m.Origins), maxOriginRecords)], now)
	g.receiveForStore(m, now)
	g.receiveVersions(m, now) // before the lookup that an answer ends
	for _, a := range m.OriginAnswers {
		g.lookups.receive(a, m.Node)
	}
	if len(m.OriginQueries) == 0 {
		return
	}
	queries := m.OriginQueries[:min(len(m.OriginQueries), maxOriginQueries)]
	answers := lo.Map(queries, func(q originQuery, _ int) originAnswer { return g.answerOrigin(q, now) })
	services := lo.Uniq(lo.Map(queries, func(q originQuery, _ int) string { return q.Service }))
	listed := lo.SliceToMap(services, func(s string) (string, []string) { return s, g.origins.ListedOf(s) })
	g.send(g.withSender(message{OriginAnswers: answers, Versions: listed}), from)
}

func (g *Gossip) answerOrigin(q originQuery, now time.Time) originAnswer {
	a := originAnswer{ID: q.ID}
	if g.listAge != nil {
		if age := g.listAge(); age > 0 {
			a.ListAgeMs = age.Milliseconds() + 1
		}
	}
	switch f := g.origins.Find(q.Stream, q.Service, now).(type) {
	case origin.Known:
		a.Known, a.Version = true, f.Version
	case origin.Several:
		a.Several = true
	case origin.Unsure:
		a.Unsure = true
	case origin.Sole, origin.Unanswered:
	}
	return a
}
