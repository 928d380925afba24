package relay

import (
	"encoding/json"
	"maps"
	"net/http"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// NodesPath is where a node tells operators which nodes it knows, and which build each runs.
const NodesPath = "/nodes"

// unnamedBuild stands for the build of a node that names none.
const unnamedBuild = "not named"

// builds takes note of which builds the nodes run. It is told of changes one at a time.
type builds struct {
	*Node
	known map[string]int // nodes by build
}

func newBuilds(n *Node) *builds { return &builds{Node: n} }

// tell logs how many nodes run which build, where that has changed: while VMs are
// replaced two of them run side by side.
func (b *builds) tell(members []peer.Member) {
	now := lo.CountValuesBy(members, func(m peer.Member) string { return lo.CoalesceOrEmpty(m.Build, unnamedBuild) })
	if maps.Equal(now, b.known) {
		return
	}
	b.known = now
	b.metrics.Builds(len(now))
	b.log.WithField("builds", now).WithField("nodes", len(members)).Info("builds that the nodes run")
}

func (n *Node) listNodes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.registry.Members()); err != nil {
		n.log.WithError(err).Warn("nodes not told to an operator")
	}
}
