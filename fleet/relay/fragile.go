package relay

import (
	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// enableFragile has the node spare endpoints that crash when they reject too many calls.
func (n *Node) enableFragile(g *peer.Gossip) {
	if !n.settings.Enabled(fragileMechanism) {
		return
	}
	t := fragile.NewTracker(n.logFragile)
	n.picker.WithFragile(t)
	g.WithFragile(t)
}

// logFragile logs that a service's endpoints are spared, or no longer.
func (n *Node) logFragile(c fragile.Change) {
	entry := n.log.WithFields(log.Fields{"service": c.Service, "maxRejections": c.MaxRejections, "from": c.From})
	if c.Fragile {
		entry.Info("endpoints of a service crash when they reject too many calls: nodes share their slots")
		return
	}
	entry.Info("no endpoint of the service says any more that it crashes when it rejects too many calls")
}
