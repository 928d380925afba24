package relay

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// followRollouts follows the orders that move services to another version, if the deployment
// bounds what a bad version may get. Changes are applied at once, without a pause between them.
// The orders are listed after the endpoints: they are then known up to every endpoint entry and
// need not be listed again.
func (n *Node) followRollouts(ctx context.Context) {
	if !n.settings.RolloutsEnabled() {
		n.rollouts.Store(&rollout.Set{})
		return
	}
	kind := n.adapter.RolloutKind()
	options := store.FollowOptions{Kind: kind, Rest: store.FixedRest(0), History: n.settings.History(), Health: n.health, Log: n.log, SmallChanges: true, Relist: &n.ordersRefresh, MaxWait: n.longestWatch(kind)}
	n.store.DelayStore(kind, n.ordersDelay)
	go func() {
		n.awaitPeers(ctx)
		n.engineTable.awaitListed(ctx)
		store.Follow(ctx, n.store, options, n.cached(kind, n.applyRollouts))
	}()
	go n.trials.run(ctx)
	go n.writeOrdersBack(ctx, n.gossip.SlotFor)
}

// noOrderDelay is how long a node that receives from no delegate and knows of no open order waits
// before it asks the store. An order that it misses meanwhile costs the target the calls of this
// node and does no harm.
const noOrderDelay = 10 * time.Second

func (n *Node) ordersDelay() time.Duration {
	if n.trials.anyOpen() {
		return 0
	}
	return noOrderDelay
}

// applyRollouts applies the orders and the statuses that the fleet agreed on. The follower never
// passes on an older revision than the one before.
func (n *Node) applyRollouts(c store.Change) {
	now := clock.Now()
	before := rollout.Set{}
	if known := n.rollouts.Load(); known != nil {
		before = *known
	}
	next := before
	switch c := c.(type) {
	case store.Snapshot:
		listed := map[string]bool{}
		for _, o := range c.Objects {
			listed[o.Name] = true
			next = n.withOrder(next, before, o, now, true)
		}
		fromBackup := before.Revision().IsOfEraBefore(c.Revision)
		for _, name := range before.Names() {
			if !listed[name] && !listed[""] && !fromBackup { // an entry without a readable name may be any of them
				next = next.Without(name)
			}
		}
		if fromBackup { // operators write again what the backup lacks
			time.AfterFunc(rewriteWindow, n.ordersRefresh.Request)
		}
		next = next.At(c.Revision)
	case store.Update:
		for _, e := range c.Events {
			if e.Gone {
				next = next.Without(e.Object.Name)
				continue
			}
			next = n.withOrder(next, next, e.Object, now, false)
		}
		next = next.At(c.Revision)
	case store.Lost:
		n.log.WithField("dependency", "store").WithField("of", "rollouts").WithError(c.Err).Warn("lost")
		return
	}
	n.rollouts.Store(&next)
	n.logRollouts(before, next)
	n.trials.learn(next, now)
	n.engineTable.refresh()
}

// withOrder applies an object. If its order is unreadable, the known order stays, since its bounds
// hold until an operator deletes it.
func (n *Node) withOrder(next, before rollout.Set, o store.Object, now time.Time, listed bool) rollout.Set {
	if o.Name == "" {
		n.faults.Report(o, "rollout", "the orders known before", o.Readable())
		return next
	}
	return next.With(o.Name, n.mergeRollout(before, o, now, listed))
}

// mergeRollout decodes an object and merges it with what is known of the same order. An unchanged
// status keeps the time at which it was learned. A status that was listed, rather than observed as
// it was written, may be old.
func (n *Node) mergeRollout(before rollout.Set, o store.Object, now time.Time, listed bool) rollout.Rollout {
	r, err := n.adapter.Rollout(o, now)
	known, ok := before.Name(o.Name)
	if err == nil && ok && (known.MissingInStore || known.Revision.IsOfEraBefore(o.Revision)) {
		if r = r.CarryOver(known); r.MissingInStore {
			n.faults.Resolve(o)
			n.trials.rekeyWarnings(known.Order, r.Order)
			return r
		}
	}
	same := ok && known.Made == r.Made && known.Target == r.Target
	switch {
	case err == nil:
		n.faults.Resolve(o)
	case ok && r.Order == rollout.Order{}:
		n.faults.Report(o, "order of a rollout", "the order and its status known before", err)
		known.Revision = max(known.Revision, o.Revision)
		return known
	case same:
		n.faults.Report(o, "status of a rollout", "the status known before", err)
		known.Revision = o.Revision
		return known
	default:
		n.faults.Report(o, "rollout", "what can be read of it", err)
	}
	if same && known.Status.Equal(r.Status) {
		r.LearnedAt, r.AgeUnknown = known.LearnedAt, known.AgeUnknown
		return r
	}
	r.AgeUnknown = r.Status.State != rollout.Ordered && (listed || !same)
	return r
}

// logRollouts logs a line for each rollout that changed.
func (n *Node) logRollouts(before, next rollout.Set) {
	for _, name := range next.Names() {
		r, _ := next.Name(name)
		known, ok := before.Name(name)
		if ok && known.Order == r.Order && known.Status.Equal(r.Status) {
			continue
		}
		entry := n.log.WithFields(rolloutFields(r)).WithField("object", name)
		if fault := r.Problem(); fault != "" {
			entry.WithField("fault", fault).Warn("rollout that makes no sense: it changes nothing")
			continue
		}
		entry.Info("rollout in force")
		n.metrics.Rollout(r.Service, stageNumber(r), r.Status.Share)
	}
	for _, name := range before.Names() {
		if _, ok := next.Name(name); !ok {
			gone, _ := before.Name(name)
			n.log.WithFields(rolloutFields(gone)).WithField("object", name).Info("rollout taken away")
		}
	}
}

// rolloutFields returns the log fields of a rollout.
func rolloutFields(r rollout.Rollout) log.Fields {
	return log.Fields{
		"service": r.Service, "target": r.Target, "made": r.Made, "revision": r.Revision.Number(), "era": r.Revision.Era(), "durationMs": r.Duration.Milliseconds(),
		"state": r.State().String(), "stage": r.Status.Stage.String(), "share": r.Status.Share,
		"usedMs": r.Status.Used.Milliseconds(), "leftMs": r.Status.Left.Milliseconds(), "found": r.AgeUnknown, "usual": baselineFields(r.Status.References),
	}
}

// baselineFields returns by route the baseline of the old version: its duration in ms, and the
// answers and bad answers that it is derived from.
func baselineFields(known []rollout.Reference) map[string][3]int64 {
	return lo.SliceToMap(known, func(r rollout.Reference) (string, [3]int64) {
		return r.Route, [3]int64{r.MedianTime.Milliseconds(), int64(r.Answers), int64(r.Bad)}
	})
}

// stageNumber returns the progress of a rollout as a number for the metrics.
func stageNumber(r rollout.Rollout) int64 {
	switch r.State() {
	case rollout.InProgress:
		return 1 + int64(r.Status.Stage)
	case rollout.Completed:
		return 3
	case rollout.Reverted:
		return 4
	case rollout.Ordered:
	}
	return 0
}
