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
	linkEvery    = 200 * time.Millisecond // between two readings of the link
	busyLink     = 0.6                    // share of the link, smoothed, from which what others say may be late by this link
	leastOfZones = 3                      // nodes of a zone of which one may ask for no new connections: with fewer, the rest carry too much more
)

// watchLink reads how full the link is until ctx ends, and has the balancer send new
// connections elsewhere while one customer's callers fill it.
func (n *Node) watchLink(ctx context.Context) {
	steers := n.settings.Enabled(steerMechanism)
	reader := n.meter.Reader()
	every(ctx, linkEvery, func() {
		use := reader.Read()
		customer, share := n.gate.Heaviest()
		changed := n.intake.Read(overload.Load{Used: use.Fuller(), Customer: customer, OfCalls: share, Others: steers && mayMove(n.registry.Members(), n.settings.Zone)})
		n.metrics.Link(n.intake.Share(), n.intake.Open(), n.meter.Waited())
		n.metrics.Memory(n.memory.State())
		if !changed {
			return
		}
		entry := n.log.WithFields(log.Fields{"linkIn": use.In, "linkOut": use.Out, "link": n.intake.Share(), "tenant": customer, "ofCalls": share})
		if n.intake.Open() {
			entry.Info("new connections are welcome again")
			return
		}
		entry.Warn("one customer fills the link: new connections are asked to go elsewhere")
	})
}

// mayMove is whether callers may be sent to other nodes of a zone.
func mayMove(members []peer.Member, zone string) bool {
	return lo.CountBy(members, func(m peer.Member) bool { return m.Zone == zone }) >= leastOfZones
}
