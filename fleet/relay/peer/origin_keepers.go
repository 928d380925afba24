package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
)

// Two nodes of the fleet keep the origins of streams for the store, and write which versions serve: a
// write of each node for itself would cost the store as many calls as there are nodes. The second one,
// in another zone if there is one, stands by for the first.

// NoKeeper is the rank of a node that keeps no origins for the store.
const NoKeeper = -1

// keepers returns the nodes that keep origins for the store, in this node's view. Nodes with different
// views send to more of them, and the store gets some records twice.
func (g *Gossip) keepers() []Member {
	return g.firstDelegates(func(s peerState) bool { return !s.storeLost })
}

// holders returns the nodes that are sent records: the keepers, or those that would be if the store
// were not lost to all. They have the records until it is back.
func (g *Gossip) holders() []Member {
	if keepers := g.keepers(); len(keepers) > 0 {
		return keepers
	}
	return g.firstDelegates(func(peerState) bool { return true })
}

// firstDelegates returns the first two delegates, in different zones if possible, of those that keep
// origins, are fit and, as far as is known, alive.
func (g *Gossip) firstDelegates(isFit func(peerState) bool) []Member {
	writers, _ := g.currentChoice()
	now := clock.Now()
	fit := lo.Filter(g.registry.Members(), func(m Member, _ int) bool {
		if !m.KeepsOrigins || !writers[m.Name] {
			return false
		}
		s := g.stateOf(m.Name)
		return isFit(s) && s.isAlive(now)
	})
	rank := func(m Member) uint64 { return xxhash.Sum64String("origins" + m.Name) }
	slices.SortFunc(fit, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	if len(fit) < 2 {
		return fit
	}
	second, elsewhere := lo.Find(fit[1:], func(m Member) bool { return m.Zone != fit[0].Zone })
	if !elsewhere {
		second = fit[1]
	}
	return []Member{fit[0], second}
}

// isAlive reports whether nothing suggests that a node has ended. One from which nothing was ever received
// may have just started, or send to other nodes only.
func (s peerState) isAlive(now time.Time) bool {
	return s.at.IsZero() || now.Sub(s.at) < silenceTimeout
}

// KeeperRank returns this node's rank among those that keep origins for the store, from 0, or NoKeeper.
func (g *Gossip) KeeperRank() int {
	return slices.IndexFunc(g.keepers(), func(m Member) bool { return m.Name == g.registry.self.Name })
}

// sendToKeepers sends records to those who keep them for the store.
func (g *Gossip) sendToKeepers(records []origin.Record) {
	for rank, m := range g.holders() {
		if m.Name == g.registry.self.Name {
			g.keep(records, rank > 0, clock.Now())
			continue
		}
		for _, some := range lo.Chunk(records, maxOriginRecords) {
			g.send(g.withSender(message{OriginsToStore: some, StandBy: rank > 0}), m.Address)
		}
	}
}

func (g *Gossip) keep(records []origin.Record, standBy bool, now time.Time) {
	if standBy {
		g.keeper.StandBy(records, now)
		return
	}
	g.keeper.Receive(records, now)
}

// ReportStored tells the other keeper that the store has the records that arrived here until a time.
func (g *Gossip) ReportStored(until time.Time) {
	age := max(clock.Since(until).Milliseconds(), 0)
	for _, m := range g.keepers() {
		if m.Name != g.registry.self.Name {
			g.send(g.withSender(message{OriginsStoredMs: &age}), m.Address)
		}
	}
}

// maxStoredAge bounds the age in a report of stored records: older ones are no longer waited for.
const maxStoredAge = time.Minute

// receiveForStore processes records that this node keeps for the store, and reports of those that another
// node has stored.
func (g *Gossip) receiveForStore(m message, now time.Time) {
	g.keep(m.OriginsToStore[:min(len(m.OriginsToStore), maxOriginRecords)], m.StandBy, now)
	if m.OriginsStoredMs == nil || *m.OriginsStoredMs < 0 || *m.OriginsStoredMs > maxStoredAge.Milliseconds() {
		return
	}
	g.keeper.WrittenElsewhere(now.Add(-time.Duration(*m.OriginsStoredMs) * time.Millisecond))
}
