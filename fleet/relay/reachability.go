package relay

import (
	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
)

// logReachability logs that this node lost its path to a service, or has it back.
func (n *Node) logReachability(c reachability.Change) {
	n.metrics.Partitioned(c.Service, c.Partitioned)
	fields := log.Fields{"service": c.Service, "endpoints": c.Failed, "sinceMs": c.Since.Milliseconds()}
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
