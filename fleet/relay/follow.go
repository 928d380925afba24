package relay

import (
	"context"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/evacuation"
	"github.com/lynxshed/lynxshed/fleet/relay/overload"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// heartbeatShare is the interval between two pings of a node that watches the store for others, as
// a share of the time limit for leaving endpoints. With the time that two pings may take, an
// outage is detected within at most 1.4 s of the 3 s that Settings.Contact allows by default.
// Nodes that ask this one need up to 0.5 s more to turn to the store: a ping of their own, and a
// list.
const heartbeatShare = 0.15

// relayedRest is how long a node pauses that receives changes from others: the node that watches
// the store has already batched them during its own pause.
const relayedRest = 50 * time.Millisecond

// follow starts to follow the store and the other nodes.
func (n *Node) follow(ctx context.Context) {
	kind, name := n.adapter.PolicyAt()
	n.initCaches()
	policies := store.FollowOptions{Kind: kind, Rest: n.rest(kind, fraction(restShare, n.settings.Apply())), History: n.settings.History(), Health: n.health, Log: n.log, Leads: true, MaxWait: n.longestLeadingWatch}
	go func() {
		n.awaitPeers(ctx)
		store.Follow(ctx, n.store, policies, n.cached(kind, func(c store.Change) { n.applyPolicy(name, c) }))
	}()
	engines := store.FollowOptions{Kind: n.adapter.EngineKind(), Rest: n.rest(n.adapter.EngineKind(), fraction(restShare, n.settings.LeavingLimit())), History: n.settings.History(), Health: n.health, Log: n.log, Relist: &n.enginesRefresh, MaxWait: n.longestWatch(n.adapter.EngineKind())}
	go func() {
		n.awaitPeers(ctx)
		store.Follow(ctx, n.store, engines, n.cached(n.adapter.EngineKind(), n.engineTable.apply))
	}()
	n.followEvacuations(ctx)
	n.followRollouts(ctx)
	go n.registry.Run(ctx, n.cached(peer.Kind, func(store.Change) {}))
	go n.gossip.Run(ctx)
	go n.watchSuspensions(ctx)
	if n.quarantine != nil {
		go n.quarantine.load(ctx)
	}
	if n.origins != nil {
		go n.origins.store.run(ctx)
	}
	go n.heartbeat().Run(ctx)
	go func() {
		n.awaitPeers(ctx) // a node that knows no other would write on its own
		n.syncer.Run(ctx)
	}()
	if n.settings.Enabled(redirectMechanism) {
		go overload.Watch(ctx, n.gate, n.log)
	}
	go n.watchLink(ctx)
	go n.watchContentAges(ctx)
	if n.tunnels != nil {
		go n.tunnels.probe(ctx)
	}
}

// storeRestored handles a restore of the store from a backup.
func (n *Node) storeRestored(before, now int64) {
	n.log.WithField("dependency", "store").WithField("eraBefore", before).WithField("era", now).Warn("store restored from a backup: writes acknowledged since the backup was made are lost")
	n.health.Restored()
	if n.quarantine != nil {
		n.quarantine.writeBack()
	}
	if n.origins != nil {
		n.origins.store.restored()
	}
}

// policySource returns a function that tells where the last answer on the policy came from.
func (n *Node) policySource() func() store.Provenance {
	kind, _ := n.adapter.PolicyAt()
	return func() store.Provenance { return n.store.Provenance(kind) }
}

// rest returns how long the follower of a kind pauses after events.
func (n *Node) rest(kind string, atStore time.Duration) func() time.Duration {
	return func() time.Duration { return restAfter(n.store.Origin(kind), atStore) }
}

func restAfter(from store.Origin, atStore time.Duration) time.Duration {
	if from == store.FromStore {
		return atStore
	}
	return min(relayedRest, atStore)
}

// followEvacuations follows the zones that operators want evacuated, if the deployment supports
// that. Changes are applied at once, without a pause between them.
func (n *Node) followEvacuations(ctx context.Context) {
	if !n.settings.EvacuationsEnabled() {
		n.evacuations.Store(&evacuation.Zones{})
		return
	}
	kind := n.adapter.EvacuationKind()
	options := store.FollowOptions{Kind: kind, Rest: store.FixedRest(0), History: n.settings.History(), Health: n.health, Log: n.log, Relist: &n.evacuationsRefresh, MaxWait: n.longestWatch(kind)}
	go func() {
		n.awaitPeers(ctx)
		store.Follow(ctx, n.store, options, n.cached(kind, n.applyEvacuations))
	}()
}

// cached also passes a follower's changes to the cache of its kind.
func (n *Node) cached(kind string, apply func(store.Change)) func(store.Change) {
	cache := n.caches[kind]
	return func(c store.Change) {
		apply(c)
		cache.ApplyFrom(c, n.store.Provenance(kind))
	}
}

// heartbeat pings the store while other nodes ask this one in its place.
func (n *Node) heartbeat() store.Heartbeat {
	return store.Heartbeat{
		Store: n.store, Every: fraction(heartbeatShare, n.settings.LeavingLimit()), Health: n.health, Log: n.log,
		Serves: func() bool { return n.settings.Enabled(delegatesMechanism) && n.gossip.Serves() },
		Lost: func(err error) {
			for kind, cache := range n.caches {
				if kind != account.Kind { // the ledger as this node wrote it, whichever dependency is unavailable
					cache.Apply(store.Lost{Err: err}, store.FromOther)
				}
			}
		},
	}
}

// sources returns the nodes that this one asks in place of the store.
func (n *Node) sources() []store.Source {
	if n.gossip == nil || !n.settings.Enabled(delegatesMechanism) {
		return nil
	}
	return n.gossip.Sources()
}

// bootstrapTime is how long the nodes of a fleet that starts as a whole take to register. A node
// that lists them earlier knows too few to determine who watches the store.
const bootstrapTime = 1500 * time.Millisecond

// awaitPeers waits until the node knows the others, so that it asks them for everything else in
// place of the store.
func (n *Node) awaitPeers(ctx context.Context) {
	if !n.settings.Enabled(delegatesMechanism) {
		return
	}
	if n.settings.Bootstrap {
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapTime):
		}
	}
	n.registry.AwaitListed(ctx)
}

// every calls do at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
