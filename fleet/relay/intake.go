package relay

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/overload"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

const (
	linkInterval = 200 * time.Millisecond // between two readings of the link
	busyLink     = 0.6                    // smoothed link utilization above which messages of other nodes may arrive late over this link
	minZoneNodes = 3                      // nodes that a zone needs before one of them may turn away new connections: with fewer, the rest carry too much more
)

// watchLink reads the link utilization until ctx ends, and has the balancer send new connections
// elsewhere while the callers of one customer fill the link.
func (n *Node) watchLink(ctx context.Context) {
	mayDivert := n.settings.Enabled(steerMechanism)
	reader := n.meter.Reader()
	every(ctx, linkInterval, func() {
		use := reader.Read()
		customer, share := n.gate.Heaviest()
		changed := n.intake.Read(overload.Load{Used: use.Max(), Customer: customer, CallShare: share, Others: mayDivert && mayMove(n.registry.Members(), n.settings.Zone)})
		n.metrics.Link(n.intake.Share(), n.intake.Open(), n.meter.Delayed())
		n.metrics.Callers(n.ingress.Open(), n.memory.State())
		if !changed {
			return
		}
		entry := n.log.WithFields(log.Fields{"linkIn": use.In, "linkOut": use.Out, "link": n.intake.Share(), "tenant": customer, "ofCalls": share})
		if n.intake.Open() {
			entry.Info("new connections are accepted again")
			return
		}
		entry.Warn("one customer fills the link: new connections are turned away")
	})
}

// mayMove reports whether callers may be sent to other nodes of a zone.
func mayMove(members []peer.Member, zone string) bool {
	return lo.CountBy(members, func(m peer.Member) bool { return m.Zone == zone }) >= minZoneNodes
}
