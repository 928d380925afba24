package relay

import (
	"encoding/json"
	"net/http"

	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// LimitsPath is where a node tells operators which endpoints name a limit.
const LimitsPath = "/limits"

// keepLimits has the node keep to the limits that endpoints name, with all others.
func (n *Node) keepLimits(g *peer.Gossip) {
	if !n.settings.Enabled(limitsMechanism) {
		return
	}
	n.limits = limit.NewBook(n.settings.Limit.Rule(), n.logLimit)
	n.picker.WithLimits(n.limits)
	g.WithLimits(n.limits)
}

// logLimit tells that an endpoint names a limit, or none any more, and by whose word.
func (n *Node) logLimit(c limit.Change) {
	fields := log.Fields{
		"endpoint": c.Engine.ID, "born": c.Engine.Born, "service": c.Engine.Service, "zone": c.Engine.Zone,
		"from": lo.CoalesceOrEmpty(c.From, n.settings.Node), "ageMs": c.Age.Milliseconds(),
	}
	if c.WasNamed {
		fields["before"] = c.Before
	}
	if !c.Named {
		n.metrics.Limited("ended")
		n.log.WithFields(fields).Info("endpoint names no limit any more")
		return
	}
	n.metrics.Limited(lo.Ternary(c.WasNamed, "changed", "named"))
	n.log.WithFields(fields).WithField("limit", c.PerSecond).Info("endpoint names a limit: all nodes keep to it together")
}

func (n *Node) listLimits(w http.ResponseWriter, _ *http.Request) {
	all := []limit.Listed{}
	if n.limits != nil {
		now := clock.Now()
		all = lo.Map(n.limits.List(now), func(l limit.Listed, _ int) limit.Listed {
			b := n.limits.Bound(l.PerSecond)
			l.Part, l.Sent = n.bounds.Part(l.Engine(), b, now)
			l.WindowMs = b.Window.Milliseconds()
			l.From = lo.CoalesceOrEmpty(l.From, n.settings.Node)
			return l
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		n.log.WithError(err).Warn("limits not told to an operator")
	}
}
