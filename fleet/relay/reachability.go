package relay

import (
	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
)

// reachabilityChanged logs that this node lost its path to a service, or has it back, and closes the
// connections that no longer serve.
func (n *Node) reachabilityChanged(c reachability.Change) {
	n.metrics.Partitioned(c.Service, c.Partitioned)
	fields := log.Fields{"service": c.Service, "endpoints": c.Failed, "sinceMs": c.Since.Milliseconds()}
	if n.tunnels != nil {
		fields["connections"] = n.tunnels.changed(c)
	}
	if c.Answered >= 0 {
		fields["answeredMsAgo"] = c.Answered.Milliseconds()
	}
	entry := n.log.WithField("dependency", "endpoints").WithFields(fields)
	if c.Partitioned {
		entry.Warn("lost: endpoints of a service are not reached over this node's own connections")
		return
	}
	entry.Info("back: endpoints of a service are reached again, or none failed for this node alone")
}
