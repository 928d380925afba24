package relay

import (
	"context"
	"encoding/json"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// quarantineKind is the store's kind of requests that are held back. They outlast all
// nodes there; while nodes run they tell each other, and nobody watches the kind.
const quarantineKind = "lynxshed-quarantine"

// Bounds of asking whether an endpoint has ended. A process that ends closes its
// connections before its port at times.
const (
	endedAfter   = 20 * time.Millisecond
	endedAgain   = 200 * time.Millisecond
	endedTimeout = 300 * time.Millisecond
)

// Bounds of keeping requests in the store.
const (
	keepTurn    = 500 * time.Millisecond // after which the next node writes where the one before did not
	keepPause   = time.Second            // between the first tries
	keepTries   = 20                     // that are the first ones
	keepSlowly  = 8 * time.Second        // between the later ones
	keepTimeout = time.Second
	loadMost    = 8 * time.Second // between tries to read them at the start, at the most
)

// quarantined is what a node does about requests under which endpoints end.
type quarantined struct {
	*Node
	*quarantine.Book
	turn func(key string) int // this node's place among those who judge, for what one of them does
}

// holdBack has the node hold requests back under which endpoints end.
func (n *Node) holdBack(g *peer.Gossip) {
	if !n.settings.Enabled(quarantineMechanism) {
		return
	}
	q := &quarantined{Node: n, turn: g.TurnFor}
	q.Book = quarantine.NewBook(quarantine.DefaultRule(), q, func() quarantine.Role {
		switch {
		case !g.Writes():
			return quarantine.Witness
		case g.WriterCount() < n.registry.Count():
			return quarantine.Judge
		}
		return quarantine.Peer
	})
	n.quarantine = q
	g.WithQuarantine(q)
}

// book is what calls ask; nil: no request is held back.
func (n *Node) book() *quarantine.Book {
	if n.quarantine == nil {
		return nil
	}
	return n.quarantine.Book
}

// Verify implements quarantine.Observer: an endpoint that refuses connections has ended.
// One that takes them lives, or was started again so soon that only its entry tells.
func (q *quarantined) Verify(e engine.Engine) {
	go func() {
		for _, pause := range []time.Duration{endedAfter, endedAgain} {
			time.Sleep(pause)
			c, err := net.DialTimeout("tcp4", e.Address, endedTimeout)
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				q.Ended(e.Life(), clock.Now())
				return
			case err == nil:
				_ = c.Close()
			}
		}
	}()
}

// EndSeen implements quarantine.Observer.
func (q *quarantined) EndSeen(life engine.Life, under []quarantine.Suspect) {
	some := under[:min(len(under), namedPrints)]
	q.log.WithFields(log.Fields{
		"endpoint": life.ID, "born": life.Born, "calls": len(under), "unanswered": lo.CountBy(under, func(s quarantine.Suspect) bool { return s.Progress == quarantine.Nothing }),
		"prints": lo.Map(some, func(s quarantine.Suspect, _ int) string { return s.Print.String() }),
	}).Info("endpoint ended under calls of this node")
}

// namedPrints is how many requests a log line names.
const namedPrints = 8

// Judged implements quarantine.Observer.
func (q *quarantined) Judged(h quarantine.Held) {
	q.tell(h, q.settings.Node)
	go q.keep(h)
}

// Heard implements peer.Quarantine.
func (q *quarantined) Heard(from string, w quarantine.Words, now time.Time) {
	for _, h := range q.Book.Heard(w, now) {
		q.tell(h, from)
	}
}

// tell logs that a request is held back, or let go, and by whose word.
func (q *quarantined) tell(h quarantine.Held, from string) {
	fields := log.Fields{
		"print": h.Print.String(), "customer": h.Customer, "route": h.Route, "round": h.Round, "ends": h.Ends,
		"ageMs": clock.Since(h.Since).Milliseconds(), "forMs": h.For.Milliseconds(), "from": from,
	}
	q.metrics.Quarantined(h.Released)
	if h.Released {
		q.log.WithFields(fields).WithField("why", h.Why).Warn("request let go")
		return
	}
	q.log.WithFields(fields).Warn("request held back: endpoints ended under it, it is sent to none")
	time.AfterFunc(clock.Until(h.Since.Add(h.For)), func() { q.expire(h) })
	q.probeLater(h)
}

// expire takes a request whose time is over out of the store, by one node.
func (q *quarantined) expire(h quarantine.Held) {
	now, known := q.Of(h.Print)
	if !known || now.Round != h.Round || now.Released {
		return
	}
	q.log.WithFields(log.Fields{"print": h.Print.String(), "customer": h.Customer, "round": h.Round}).Info("request held back no longer: its time is over, one end more holds it back again")
	if q.turn(h.Print.String()) != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if err := ignoreNotFound(q.store.Delete(ctx, quarantineKind, h.Print.String())); err != nil {
		q.log.WithField("print", h.Print.String()).WithField("dependency", "store").WithError(err).Warn("request whose time is over not taken away: nodes that start hold it back once more")
	}
}

// keep has the store keep what this node judged, unless another one does.
func (q *quarantined) keep(h quarantine.Held) {
	q.keepInTurn(h, q.turn(h.Print.String()), func(now quarantine.Held) bool { return now.Stored })
}

// restorers is how many nodes write back what a copy of the store lacks of one request, one
// after the other: the second one in case the first is cut off.
const restorers = 2

// writeBack has the store hold again what it lost of the requests that are held back, or were
// let go, since it came back from a copy.
func (q *quarantined) writeBack() {
	for _, h := range q.All() {
		turn := q.turn(h.Print.String())
		if turn >= restorers || !h.Released && clock.Since(h.Since) >= h.For {
			continue
		}
		go q.keepInTurn(h, turn, func(quarantine.Held) bool { return false })
	}
}

// keepInTurn has the store keep a request as it is, in this node's turn, unless that is done
// or it is no longer so.
func (q *quarantined) keepInTurn(h quarantine.Held, turn int, done func(now quarantine.Held) bool) {
	time.Sleep(time.Duration(turn) * keepTurn)
	for try := 0; ; try++ {
		now, known := q.Of(h.Print)
		over := !now.Released && clock.Since(now.Since) >= now.For
		if !known || now.Round != h.Round || now.Released != h.Released || over || done(now) {
			return
		}
		err := q.write(now)
		if err == nil {
			q.Stored(now)
			return
		}
		q.log.WithField("print", h.Print.String()).WithField("dependency", "store").WithError(err).Warn("request that is held back, or let go, not kept yet")
		time.Sleep(store.Jittered(pauseAfter(try)))
	}
}

// pauseAfter is the pause after a try that the store did not answer. It is asked again as long as
// the request is held back: what it does not keep is neither known to nodes that start nor probed.
func pauseAfter(try int) time.Duration {
	if try < keepTries {
		return keepPause
	}
	return keepSlowly
}

// write keeps a request that is held back, and takes one away that was let go.
func (q *quarantined) write(h quarantine.Held) error {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if h.Released {
		return ignoreNotFound(q.store.Delete(ctx, quarantineKind, h.Print.String()))
	}
	data, err := kept(h)
	if err != nil {
		return err
	}
	o := store.Object{Kind: quarantineKind, Name: h.Print.String(), Data: data}
	there, err := q.store.Put(ctx, o)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if w, err := keptOf(there); err == nil && (w.Round > h.Round || w.Round == h.Round && w.Probes >= h.Probes) {
		return nil // another node has written it
	}
	o.Revision = there.Revision
	_, err = q.store.Put(ctx, o)
	return err
}

func ignoreNotFound(err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// keptOf reads what the store keeps of a request.
func keptOf(o store.Object) (quarantine.HeldWord, error) {
	var k quarantine.HeldWord
	if err := o.Readable(); err != nil {
		return k, err
	}
	if err := json.Unmarshal(o.Data, &k); err != nil {
		return k, errors.Wrap(err, "request that is held back")
	}
	if k.Print.String() != o.Name {
		return k, errors.Newf("request %s under the name %.40q", k.Print, o.Name)
	}
	return k, nil
}

// load reads what the store keeps, once, at the start: a node that knows nothing, as all
// do after a loss of power, would send each of them on until endpoints end again. The time
// for which they are held back begins anew.
func (q *quarantined) load(ctx context.Context) {
	for pause := keepPause; ctx.Err() == nil; pause = min(2*pause, loadMost) {
		if q.loadOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(store.Jittered(pause)):
		}
	}
}

func (q *quarantined) loadOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	objects, _, err := q.store.Store.List(ctx, quarantineKind)
	if err != nil {
		q.log.WithField("dependency", "store").WithError(err).Warn("requests that are held back not read yet")
		return false
	}
	for _, o := range objects {
		k, err := keptOf(o)
		if err != nil {
			q.faults.Tell(o, "request that is held back", "nothing of it", err)
			continue
		}
		k.AgeMs, k.Stored = 0, true
		if h, news := q.Learn(k, clock.Now()); news {
			q.tell(h, "store")
		}
	}
	return true
}
