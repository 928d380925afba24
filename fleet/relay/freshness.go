package relay

import (
	"context"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// A change is in force in time if each step on its way from the store takes no more than its share
// of the limit of its kind, also where one of the nodes or connections on its way fails.
const (
	// restShare is how long a follower of the store pauses after events: a burst of changes then
	// costs few calls. A change that arrives during the pause waits for its end and for an answer of
	// the store.
	restShare = 0.2
	// watchShare bounds one watch of a node that others ask in the store's place. A connection that
	// fell silent is detected by the end of the watch only, and until an answer nothing confirms
	// what the node passes on.
	watchShare = 0.2
	// maxAgeShare is how long ago the store may have confirmed what a node answers others with: a
	// pause, a watch, and some time for the answer. What is left of the limit is for asking other
	// nodes, or the store.
	maxAgeShare = 0.6
)

// initCaches creates the caches from which this node answers others, and bounds how long ago the
// store may have confirmed what they hold.
func (n *Node) initCaches() {
	n.caches = map[string]*store.Cache{peer.Kind: store.NewCache(), account.Kind: n.gossip.Ledgers()}
	for kind, limit := range n.limitsByKind() {
		n.caches[kind] = store.NewCache()
		if n.settings.Enabled(confirmationMechanism) {
			n.caches[kind].WithMaxAge(fraction(maxAgeShare, limit))
			n.store.LimitWait(kind, fraction(watchShare, limit))
		}
	}
}

// limitsByKind returns, for the kinds whose changes must be in force within a time limit, that limit.
func (n *Node) limitsByKind() map[string]time.Duration {
	policies, _ := n.adapter.PolicyAt()
	return map[string]time.Duration{
		policies:                   n.settings.Apply(),
		n.adapter.EngineKind():     n.settings.LeavingLimit(),
		n.adapter.EvacuationKind(): n.settings.EvacuationLimit(),
		n.adapter.RolloutKind():    n.settings.Rollout.Rule().Rollback,
	}
}

// longestWatch bounds the watches of a kind on nodes that others ask in the store's place, so that
// they detect a silent connection in time and the others learn how current their answers are.
func (n *Node) longestWatch(kind string) func() time.Duration {
	limit, enabled := n.limitsByKind()[kind], n.settings.Enabled(confirmationMechanism)
	return func() time.Duration {
		if enabled && n.gossip.Serves() {
			return fraction(watchShare, limit)
		}
		return time.Hour // the history of the store bounds it
	}
}

// longestLeadingWatch is longestWatch for the leading follower, which also detects a silent store
// for the other followers of a node that no others ask.
func (n *Node) longestLeadingWatch() time.Duration {
	kind, _ := n.adapter.PolicyAt()
	wait := n.longestWatch(kind)()
	if n.gossip.Watches() {
		return min(wait, n.settings.Contact()/2)
	}
	return wait
}

const contentAgeInterval = time.Second // between two checks of the ages

// watchContentAges records how long ago the store confirmed each kind, until ctx ends, and logs when
// that is longer than the kind's limit.
func (n *Node) watchContentAges(ctx context.Context) {
	limits, overdue := n.limitsByKind(), map[string]bool{}
	every(ctx, contentAgeInterval, func() {
		for kind := range n.caches {
			from := n.store.Provenance(kind)
			if from.Confirmed.IsZero() {
				continue
			}
			age := clock.Since(from.Confirmed)
			n.metrics.ContentAge(kind, age)
			if limit, limited := limits[kind]; limited && n.expectsConfirmations() && overdue[kind] != (age > limit) {
				overdue[kind] = age > limit
				n.logContentAge(kind, from, age, overdue[kind])
			}
		}
	})
}

// expectsConfirmations reports whether the store confirms what this node knows within a share of its
// limit. In a small fleet, where each node watches the store for itself, it only tells of changes.
func (n *Node) expectsConfirmations() bool { return n.gossip.Serves() || len(n.sources()) > 0 }

// storeLost reports whether this node may have missed changes in the store: its last round of the
// ledger failed, or the store has confirmed the policy neither to it nor to the nodes that it asks for
// longer than that takes on a node in touch. The ledger alone tells of no outage on a node that has
// nothing to write to it.
func (n *Node) storeLost() bool {
	if n.syncer.Unavailable() {
		return true
	}
	kind, _ := n.adapter.PolicyAt()
	confirmed := n.store.Provenance(kind).Confirmed
	if confirmed.IsZero() {
		confirmed = n.started
	}
	return clock.Since(confirmed) > maxConfirmationAge(n.settings)
}

// maxConfirmationAge is how long ago the store may have confirmed the policy on a node in touch: a
// watch takes half of the contact time at the most, and what nodes tell each other is within the limit
// of the policy's changes.
func maxConfirmationAge(s Settings) time.Duration { return max(s.Contact(), s.Apply()) }

func (n *Node) logContentAge(kind string, from store.Provenance, age time.Duration, overdue bool) {
	entry := n.log.WithField("of", kind).WithField("ageMs", age.Milliseconds()).WithField("from", from.Origin.String()).WithField("source", from.Source)
	if overdue {
		entry.Warn("not confirmed by the store within the time limit of its changes: changes may be missing")
		return
	}
	entry.Info("confirmed by the store again")
}
