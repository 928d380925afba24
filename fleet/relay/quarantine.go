package relay

import (
	"context"
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

// quarantineKind is the store's kind of quarantined requests. The store preserves them when all
// nodes are lost. While nodes run they notify each other, and none of them watches the kind.
const quarantineKind = "lynxshed-quarantine"

// Intervals of writing quarantined requests to the store and of reading them.
const (
	writeSlot         = 500 * time.Millisecond // after which the next node writes if the one before did not
	firstWriteRetry   = time.Second            // between the first attempts
	firstWriteRetries = 20                     // attempts at firstWriteRetry
	laterWriteRetry   = 8 * time.Second        // between later attempts
	quarantineTimeout = time.Second
	maxLoadDelay      = 8 * time.Second // longest delay between attempts to read them at the start
)

// quarantineManager connects the quarantine of this node to the store, the other nodes and the
// log.
type quarantineManager struct {
	*Node
	*quarantine.Tracker
	slot func(key string) int // the slot of this node among the judging nodes, for work that one of them does
}

// enableQuarantine has the node quarantine requests under which endpoints end.
func (n *Node) enableQuarantine(g *peer.Gossip) {
	if !n.settings.Enabled(quarantineMechanism) {
		return
	}
	q := &quarantineManager{Node: n, slot: g.SlotFor}
	q.Tracker = quarantine.NewTracker(quarantine.DefaultRule(), q, func() quarantine.Role {
		switch {
		case !g.Writes():
			return quarantine.Witness
		case g.WriterCount() < n.registry.Count():
			return quarantine.Judge
		}
		return quarantine.Peer
	}).WithForgetting(n.nodesEnded)
	n.quarantine = q
	g.WithQuarantine(q)
}

// nodesEnded reports whether a node of the fleet ended in a period, or this one started, but for the
// first start of the whole fleet.
func (n *Node) nodesEnded(from, to time.Time) bool {
	within := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	return !n.settings.Bootstrap && within(n.started) || within(n.registry.LastEnded())
}

// quarantineTracker returns the tracker that calls consult; nil: no request is quarantined.
func (n *Node) quarantineTracker() *quarantine.Tracker {
	if n.quarantine == nil {
		return nil
	}
	return n.quarantine.Tracker
}

// EndObserved implements quarantine.Observer.
func (q *quarantineManager) EndObserved(incarnation engine.Incarnation, under []quarantine.Suspect) {
	some := under[:min(len(under), maxLoggedFingerprints)]
	q.log.WithFields(log.Fields{
		"endpoint": incarnation.ID, "born": incarnation.Born, "calls": len(under), "unanswered": lo.CountBy(under, func(s quarantine.Suspect) bool { return s.Progress == quarantine.Nothing }),
		"prints": lo.Map(some, func(s quarantine.Suspect, _ int) string { return s.Fingerprint.String() }),
	}).Info("endpoint ended during calls of this node")
}

// maxLoggedFingerprints is how many requests a log line names.
const maxLoggedFingerprints = 8

// Judged implements quarantine.Observer.
func (q *quarantineManager) Judged(h quarantine.Held) {
	q.onChange(h, q.settings.Node)
	go q.persist(h)
}

// Receive implements peer.Quarantine.
func (q *quarantineManager) Receive(from string, r quarantine.Report, now time.Time) {
	for _, h := range q.Tracker.Receive(r, now) {
		q.onChange(h, from)
	}
}

// onChange logs that a request was quarantined or released and which node reported it, and
// schedules its expiry and probe.
func (q *quarantineManager) onChange(h quarantine.Held, from string) {
	fields := log.Fields{
		"print": h.Fingerprint.String(), "customer": h.Customer, "route": h.Route, "round": h.Round, "ends": h.Ends, "part": h.Part,
		"ageMs": clock.Since(h.Since).Milliseconds(), "forMs": h.For.Milliseconds(), "from": from,
	}
	q.metrics.Quarantined(h.Released)
	if h.Released {
		q.log.WithFields(fields).WithField("why", h.Why).Warn("request released from quarantine")
		return
	}
	if h.Part != "" && q.handler != nil {
		fields["endedCalls"] = q.handler.EndQuarantined(h.Fingerprint)
	}
	q.log.WithFields(fields).Warn("request quarantined: endpoints ended while running it")
	time.AfterFunc(clock.Until(h.Since.Add(h.For)), func() { q.expire(h) })
	q.scheduleProbe(h)
}

// expire deletes an expired request from the store; one node does it.
func (q *quarantineManager) expire(h quarantine.Held) {
	now, known := q.Lookup(h.Fingerprint)
	if !known || now.Round != h.Round || now.Released {
		return
	}
	q.log.WithFields(log.Fields{"print": h.Fingerprint.String(), "customer": h.Customer, "round": h.Round}).Info("quarantine of a request expired: another endpoint that ends under it renews it")
	if q.slot(h.Fingerprint.String()) != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	if err := ignoreNotFound(q.store.Delete(ctx, quarantineKind, h.Fingerprint.String())); err != nil {
		q.log.WithField("print", h.Fingerprint.String()).WithField("dependency", "store").WithError(err).Warn("expired request not deleted: nodes that start quarantine it again")
	}
}

// persist writes the judgement of this node to the store, unless another node does.
func (q *quarantineManager) persist(h quarantine.Held) {
	q.persistInSlot(h, q.slot(h.Fingerprint.String()), func(now quarantine.Held) bool { return now.Stored })
}

// restorers is how many nodes write one request back to a restored store that lacks it, one after
// the other: the second covers for a first that is partitioned.
const restorers = 2

// writeBack writes the quarantined and released requests again that the store lost when it was
// restored from a backup.
func (q *quarantineManager) writeBack() {
	for _, h := range q.All() {
		slot := q.slot(h.Fingerprint.String())
		if slot >= restorers || !h.Released && clock.Since(h.Since) >= h.For {
			continue
		}
		go q.persistInSlot(h, slot, func(quarantine.Held) bool { return false })
	}
}

// persistInSlot writes a request to the store in the slot of this node, unless that is done or the
// state of the request has changed.
func (q *quarantineManager) persistInSlot(h quarantine.Held, slot int, done func(now quarantine.Held) bool) {
	time.Sleep(time.Duration(slot) * writeSlot)
	for attempt := 0; ; attempt++ {
		now, known := q.Lookup(h.Fingerprint)
		over := !now.Released && clock.Since(now.Since) >= now.For
		if !known || now.Round != h.Round || now.Released != h.Released || over || done(now) {
			return
		}
		err := q.write(now)
		if err == nil {
			q.Stored(now)
			return
		}
		q.log.WithField("print", h.Fingerprint.String()).WithField("dependency", "store").WithError(err).Warn("quarantined or released request not written yet")
		time.Sleep(store.Jittered(retryDelay(attempt)))
	}
}

// retryDelay returns the delay after an attempt that the store did not answer. Attempts go on for
// as long as the request is quarantined: one that is not stored is neither known to nodes that
// start nor probed.
func retryDelay(attempt int) time.Duration {
	if attempt < firstWriteRetries {
		return firstWriteRetry
	}
	return laterWriteRetry
}

// write stores a quarantined request, and deletes a released one.
func (q *quarantineManager) write(h quarantine.Held) error {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	if h.Released {
		return ignoreNotFound(q.store.Delete(ctx, quarantineKind, h.Fingerprint.String()))
	}
	data, err := encodeHeld(h)
	if err != nil {
		return err
	}
	o := store.Object{Kind: quarantineKind, Name: h.Fingerprint.String(), Data: data}
	there, err := q.store.Put(ctx, o)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if stored, err := decodeHeld(there); err == nil && (stored.Round > h.Round || stored.Round == h.Round && stored.Probes >= h.Probes) {
		return nil // already written by another node
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

// decodeHeld decodes a stored request.
func decodeHeld(o store.Object) (quarantine.HeldReport, error) {
	var k quarantine.HeldReport
	if err := o.Readable(); err != nil {
		return k, err
	}
	if err := store.Unmarshal(o.Data, &k); err != nil {
		return k, errors.Wrap(err, "decode quarantined request")
	}
	if k.Fingerprint.String() != o.Name {
		return k, errors.Newf("request %s stored under the name %.40q", k.Fingerprint, o.Name)
	}
	return k, nil
}

// load reads the stored requests once, at the start. Without it nodes that know nothing, as all do
// after a power loss, would send each of them on until endpoints end again. The quarantine period
// of each begins anew.
func (q *quarantineManager) load(ctx context.Context) {
	for pause := firstWriteRetry; ctx.Err() == nil; pause = min(2*pause, maxLoadDelay) {
		if q.loadOnce(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(store.Jittered(pause)):
		}
	}
}

func (q *quarantineManager) loadOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	objects, _, err := q.store.Store.List(ctx, quarantineKind)
	if err != nil {
		q.log.WithField("dependency", "store").WithError(err).Warn("quarantined requests not read yet")
		return false
	}
	for _, o := range objects {
		k, err := decodeHeld(o)
		if err != nil {
			q.faults.Report(o, "quarantined request", "nothing of it", err)
			continue
		}
		k.AgeMs, k.Stored = 0, true
		if h, changed := q.Learn(k, clock.Now()); changed {
			q.onChange(h, "store")
		}
	}
	return true
}
