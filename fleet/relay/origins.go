package relay

import (
	"context"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// origins implements forward.Origins with what this node and other nodes know.
type origins struct {
	tracker *origin.Tracker
	gossip  *peer.Gossip
	started time.Time // of the node
}

// enableOrigins has the node resume streams at the software version that began them.
func (n *Node) enableOrigins(g *peer.Gossip) {
	if !n.settings.Enabled(originsMechanism) {
		return
	}
	n.origins = &origins{tracker: origin.NewTracker(n.logVersions), gossip: g, started: n.started}
	g.WithOrigins(n.origins.tracker)
}

// streamOrigins returns the origins for the handler; a nil interface if they are disabled.
func (n *Node) streamOrigins() forward.Origins {
	if n.origins == nil {
		return nil
	}
	return n.origins
}

// logVersions logs that a service has begun or ceased to have several versions.
func (n *Node) logVersions(c origin.Change) {
	entry := n.log.WithField("service", c.Service).WithField("versions", c.Versions)
	if len(c.Versions) > 1 {
		entry.Info("endpoints of a service run several versions: nodes report which one began each stream")
		return
	}
	entry.Info("endpoints of a service run one version")
}

// Began implements forward.Origins.
func (o *origins) Began(s origin.Stream, service, version string) {
	o.tracker.Began(s, service, version, clock.Now())
}

// Several implements forward.Origins.
func (o *origins) Several(service string) bool {
	return o.tracker.Several(service, clock.Now())
}

// Find implements forward.Origins. Other nodes are also asked where this one has seen a single
// version: it may have started lately, or may not know the latest entries of endpoints.
func (o *origins) Find(ctx context.Context, s origin.Stream, service string) origin.Evidence {
	e := o.find(ctx, s, service)
	e.NodeAge = clock.Since(o.started)
	return e
}

func (o *origins) find(ctx context.Context, s origin.Stream, service string) origin.Evidence {
	own := o.tracker.Find(s, service, clock.Now())
	if known, ok := own.(origin.Known); ok {
		return origin.Evidence{Finding: known, Basis: origin.RecordHere}
	}
	others, from := o.gossip.FindOrigin(ctx, s, service)
	switch f := others.(type) {
	case origin.Known:
		o.tracker.Receive([]origin.Record{{Stream: s, Version: f.Version}}, clock.Now())
		return origin.Evidence{Finding: f, Basis: origin.RecordOfNode, From: from}
	case origin.Sole:
		return origin.Evidence{Finding: own, Basis: origin.VersionsListed}
	case origin.Several:
		return origin.Evidence{Finding: others, Basis: origin.VersionsListed}
	case origin.Unanswered:
	}
	return origin.Evidence{Finding: others}
}
