package relay

import (
	"encoding/json"
	"maps"
	"net/http"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// NodesPath is where operators list the nodes that a node knows, and the build that each runs.
const NodesPath = "/nodes"

// unnamedBuild is listed for a node that names no build.
const unnamedBuild = "not named"

// builds tracks which builds the nodes run. It is notified of one change at a time.
type builds struct {
	*Node
	known map[string]int // nodes by build
}

func newBuilds(n *Node) *builds { return &builds{Node: n} }

// logChange logs how many nodes run which build, if that has changed: two builds run side by side
// while VMs are replaced.
func (b *builds) logChange(members []peer.Member) {
	now := lo.CountValuesBy(members, func(m peer.Member) string { return lo.CoalesceOrEmpty(m.Build, unnamedBuild) })
	if maps.Equal(now, b.known) {
		return
	}
	b.known = now
	b.metrics.Builds(len(now))
	b.log.WithField("builds", now).WithField("nodes", len(members)).Info("builds of the nodes changed")
}

func (n *Node) listNodes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.registry.Members()); err != nil {
		n.log.WithError(err).Warn("list of nodes not sent to an operator")
	}
}
