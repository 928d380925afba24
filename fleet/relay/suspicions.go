package relay

import (
	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// enableFailureReports has the node avoid endpoints at which other nodes report failures, and
// report failures of its own calls to them.
func (n *Node) enableFailureReports(g *peer.Gossip) {
	if !n.settings.Enabled(failureReportsMechanism) {
		return
	}
	n.suspicions = suspicion.NewTracker(n.settings.Node, n.settings.Zone, suspicion.DefaultRule(), n.logAvoided)
	n.picker.WithSuspicions(n.suspicions)
	g.WithSuspicions(n.suspicions)
}

// logAvoided logs that an endpoint is avoided, and which nodes reported it.
func (n *Node) logAvoided(a suspicion.Avoided) {
	fields := log.Fields{
		"endpoint": a.Engine.ID, "born": a.Engine.Born, "service": a.Engine.Service, "zone": a.Engine.Zone, "forMs": a.For.Milliseconds(), "again": a.Repeated,
		"tellers": lo.Map(a.Reporters, func(r suspicion.Reporter, _ int) string { return r.Node }),
		"ageMs":   lo.Map(a.Reporters, func(r suspicion.Reporter, _ int) int64 { return r.AgeMs }),
	}
	n.log.WithFields(fields).Info("endpoint avoided: nodes report failures")
}
