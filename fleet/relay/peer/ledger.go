package peer

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Nodes that write the ledger announce each write to each other by a datagram with its
// revision, and a node about to write fetches a newer ledger from its writer. Without that
// each write would first conflict, to learn of the others' writes.

// ledgerTimeout limits a request to a peer for the ledger, beyond the round trips of
// connecting and asking. It is short since the store has the ledger as well.
const ledgerTimeout = 60 * time.Millisecond

// ledgers holds the newest ledger that this node wrote, for its peers, and the revision of
// the newest one that a peer announced. It is safe for concurrent use.
type ledgers struct {
	own *store.Cache

	mu     sync.Mutex
	newest store.Revision // newest announced
	from   string         // address of the peer that announced it; "" if none
	last   lastWrite
	wrote  chan struct{} // holds a value after a write that a node waiting for its slot has not handled
}

func newLedgers() *ledgers {
	return &ledgers{own: store.NewCache(), wrote: make(chan struct{}, 1)}
}

// lastWrite is the newest write that this node knows of.
type lastWrite struct {
	revision store.Revision
	writer   string // node name
	class    distance.Class
	at       time.Time
}

// recordAnnounced records that a peer announced a write of the ledger.
func (l *ledgers) recordAnnounced(revision store.Revision, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.newest {
		l.newest, l.from = revision, from
	}
}

// recordWrite records who wrote the ledger last, for the writers' slots.
func (l *ledgers) recordWrite(revision store.Revision, writer string, c distance.Class, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.last.revision {
		l.last = lastWrite{revision: revision, writer: writer, class: c, at: now}
		select {
		case l.wrote <- struct{}{}:
		default: // the previous write is not handled yet
		}
	}
}

// lastWritten returns the newest write that this node knows of.
func (l *ledgers) lastWritten() lastWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// newer returns the address of a peer with a newer ledger than revision; "" if none.
func (l *ledgers) newer(revision store.Revision) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest <= revision {
		return ""
	}
	return l.from
}

// class returns the distance class of the last writer.
func (l *ledgers) class() distance.Class {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last.class
}

// forget drops the announcement of a peer that did not return the ledger.
func (l *ledgers) forget(from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from == from {
		l.from = ""
	}
}

// Ledgers returns the cache of the ledger as this node last wrote it, for peers.
func (g *Gossip) Ledgers() *store.Cache { return g.ledgers.own }

// Wrote implements account.Writers.
func (g *Gossip) Wrote(o store.Object) {
	g.ledgers.own.Apply(store.Snapshot{Objects: []store.Object{o}, Revision: o.Revision}, store.FromStore)
	g.ledgers.recordWrite(o.Revision, g.registry.self.Name, distance.SameZone, clock.Now())
	writers, _ := g.currentChoice()
	others := lo.FilterMap(g.registry.Members(), func(m Member, _ int) (string, bool) {
		return m.Address, writers[m.Name] && m.Name != g.registry.self.Name
	})
	g.send(g.withSender(message{Ledger: o.Revision.Number(), Era: o.Revision.Era()}), others...)
}

// Newer implements account.Writers.
func (g *Gossip) Newer(ctx context.Context, revision store.Revision) (store.Object, bool) {
	from := g.ledgers.newer(revision)
	if from == "" {
		return store.Object{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout+2*g.places.OfClass(g.ledgers.class(), clock.Now()).RoundTrip)
	defer cancel()
	list, err := Remote{client: g.client, address: from, busy: g.busy, eras: g.eras, anyEra: true}.List(ctx, account.Kind)
	if err != nil || len(list.Objects) != 1 {
		g.ledgers.forget(from)
		return store.Object{}, false
	}
	return list.Objects[0], true
}
