package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// origins implements forward.Origins with what this node, other nodes and the store know.
type origins struct {
	*Node
	tracker *origin.Tracker
	store   *originStore

	mu        sync.Mutex
	refreshed time.Time // when the endpoints were last requested again
}

// minRefreshInterval is the minimum time between two requests of the endpoints for what this node lacks.
const minRefreshInterval = 500 * time.Millisecond

// enableOrigins has the node resume streams at the software version that began them.
func (n *Node) enableOrigins(g *peer.Gossip) {
	if !n.settings.Enabled(originsMechanism) {
		return
	}
	tracker, keeper := origin.NewTracker(n.started, n.logVersions), origin.NewKeeper()
	n.origins = &origins{Node: n, tracker: tracker, store: newOriginStore(n, tracker, keeper, g)}
	n.origins.store.refresh = n.origins.refreshEngines
	g.WithOrigins(tracker, keeper).WithListAge(n.origins.listAge)
}

// streamOrigins returns the origins for the handler; a nil interface if they are disabled.
func (n *Node) streamOrigins() forward.Origins {
	if n.origins == nil {
		return nil
	}
	return n.origins
}

// logVersions logs that several versions of a service, or one, may have begun its streams from now on.
func (n *Node) logVersions(c origin.Change) {
	entry := n.log.WithFields(log.Fields{"service": c.Service, "versions": c.Versions, "sure": c.Sure})
	switch {
	case len(c.Versions) > 1:
		entry.Info("endpoints of a service run several versions: nodes report which one began each stream")
	case !c.Sure:
		entry.Info("versions of a service of before this node started are not known: nodes report which one began each stream")
	default:
		entry.Info("endpoints of a service run one version")
	}
}

// Began implements forward.Origins.
func (o *origins) Began(s origin.Stream, service, version string) {
	o.tracker.Began(s, service, version, clock.Now())
}

// Ended implements forward.Origins.
func (o *origins) Ended(s origin.Stream) { o.tracker.Ended(s, clock.Now()) }

// ListedElsewhere implements forward.Origins. The store is asked for what this node lacks.
func (o *origins) ListedElsewhere(service, version string) bool {
	if !o.tracker.ListedElsewhere(service, version, clock.Now()) {
		return false
	}
	o.refreshEngines()
	return true
}

// announce tells other nodes of a version that they may not list yet.
func (o *origins) announce() {
	select {
	case <-o.tracker.News():
	default:
		return
	}
	if o.gossip != nil {
		o.gossip.AnnounceVersions()
	}
}

// refreshEngines has the endpoints listed again: the watch of this node may be silent.
func (o *origins) refreshEngines() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.refreshed.IsZero() && clock.Since(o.refreshed) < minRefreshInterval {
		return
	}
	o.refreshed = clock.Now()
	o.log.WithField("listAgeMs", o.listAge().Milliseconds()).Info("other nodes list endpoints of a version that this one does not: endpoints listed again")
	o.enginesRefresh.Request()
}

// Several implements forward.Origins.
func (o *origins) Several(service string) bool {
	return o.tracker.Several(service, clock.Now())
}

// Find implements forward.Origins.
func (o *origins) Find(ctx context.Context, s origin.Stream, service string) origin.Evidence {
	e := o.find(ctx, s, service)
	e.NodeAge = clock.Since(o.started)
	e.ListAge = o.listAge()
	return e
}

// listAge returns how long ago the store confirmed this node's list of endpoints; 0 if it never did.
func (o *origins) listAge() time.Duration {
	confirmed := o.Node.store.Provenance(o.adapter.EngineKind()).Confirmed
	if confirmed.IsZero() {
		return 0
	}
	return clock.Since(confirmed)
}

// find looks a stream up here, then at other nodes, which may also know of versions that this node has
// not seen yet, and then in the store.
func (o *origins) find(ctx context.Context, s origin.Stream, service string) origin.Evidence {
	own := o.tracker.Find(s, service, clock.Now())
	if known, ok := own.(origin.Known); ok {
		return origin.Evidence{Finding: known, Basis: origin.RecordHere}
	}
	if known, ok := o.store.known(s); ok {
		return o.learn(s, known, origin.RecordInStore, "")
	}
	others := o.gossip.FindOrigin(ctx, s, service)
	if known, ok := others.Finding.(origin.Known); ok {
		e := o.learn(s, known, origin.RecordOfNode, others.From)
		e.Others = others
		return e
	}
	own = o.tracker.Find(s, service, clock.Now()) // the answers name versions
	known, recorded := own.(origin.Known)
	confirmed := false
	switch {
	case recorded:
		return origin.Evidence{Finding: known, Basis: origin.RecordHere, Others: others}
	case own == (origin.Several{}), others.Finding == (origin.Several{}):
		known, recorded = o.store.find(ctx, s)
	default: // also where all zones tell of one version: all that were asked may lag
		asked := clock.Now()
		confirmed = o.store.confirm(ctx)
		known, recorded = o.store.known(s)
		others.Outdated = others.Outdated && !o.store.toldAllSince(asked)
	}
	if recorded {
		return o.learn(s, known, origin.RecordInStore, "")
	}
	own = o.tracker.Find(s, service, clock.Now())
	if known, recorded = own.(origin.Known); recorded { // its record came while the store was read
		return origin.Evidence{Finding: known, Basis: origin.RecordHere, Others: others, Confirmed: confirmed}
	}
	return o.judge(own, others, confirmed)
}

// learn records an origin that this node did not know.
func (o *origins) learn(s origin.Stream, known origin.Known, basis origin.Basis, from string) origin.Evidence {
	o.tracker.Receive([]origin.Record{{Stream: s, Version: known.Version}}, clock.Now())
	return origin.Evidence{Finding: known, Basis: basis, From: from}
}

// judge returns what is known of a stream that nobody has a record of.
func (o *origins) judge(own origin.Finding, others origin.Told, confirmed bool) origin.Evidence {
	basis, _ := o.tracker.Sure(clock.Now())
	e := origin.Judge(own, basis, others, confirmed)
	e.Others, e.Confirmed = others, confirmed
	return e
}
