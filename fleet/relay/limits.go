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

// LimitsPath is where operators list the endpoints that name a limit.
const LimitsPath = "/limits"

// enableLimits has the node keep the limits that endpoints name, jointly with all other nodes.
func (n *Node) enableLimits(g *peer.Gossip) {
	if !n.settings.Enabled(limitsMechanism) {
		return
	}
	n.limits = limit.NewTracker(n.settings.Limit.Rule(), n.logLimit)
	n.picker.WithLimits(n.limits)
	g.WithLimits(n.limits)
}

// logLimit logs that an endpoint names a limit, or none any more, and from which node that is
// known.
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
		n.log.WithFields(fields).Info("endpoint no longer names a limit")
		return
	}
	n.metrics.Limited(lo.Ternary(c.WasNamed, "changed", "named"))
	n.log.WithFields(fields).WithField("limit", c.PerSecond).Info("endpoint names a limit: all nodes keep it jointly")
}

func (n *Node) listLimits(w http.ResponseWriter, _ *http.Request) {
	all := []limit.Listed{}
	if n.limits != nil {
		now := clock.Now()
		all = lo.Map(n.limits.List(now), func(l limit.Listed, _ int) limit.Listed {
			b := n.limits.Bound(l.PerSecond)
			l.Part, l.Sent = n.bounds.Share(l.Engine(), b, now)
			l.WindowMs = b.Window.Milliseconds()
			l.From = lo.CoalesceOrEmpty(l.From, n.settings.Node)
			return l
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		n.log.WithError(err).Warn("list of limits not sent to an operator")
	}
}
