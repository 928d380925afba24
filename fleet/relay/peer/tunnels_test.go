package peer

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// tunnelMembers are the nodes of two regions; n1 is this node.
var tunnelMembers = []Member{
	{Name: "n1", Incarnation: "1", Zone: "z1", Tunnels: true}, {Name: "n2", Incarnation: "2", Zone: "z1", Tunnels: true}, {Name: "n3", Incarnation: "3", Zone: "z2", Tunnels: true},
	{Name: "n4", Incarnation: "4", Zone: "z3", Tunnels: true}, {Name: "old", Incarnation: "5", Zone: "z1"},
}

func tunnelGossip(records map[string]peerRecord) *Gossip {
	r := &Registry{self: tunnelMembers[0]}
	r.members.Store(&tunnelMembers)
	places := distance.From("z1", map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}, distance.DefaultCosts())
	return &Gossip{registry: r, places: places, peers: records}
}

// Guards against tunnels through nodes that can't help, or through regions that the call has nothing
// to do with.
func TestWhichNodesAreAskedForATunnel(t *testing.T) {
	now := clock.Now()
	cases := []struct {
		name    string
		zone    string // of the endpoint
		records map[string]peerRecord
		want    []string
	}{
		{"one of the zone first, then one of another", "z1", nil, []string{"n2", "n3"}},
		{"an endpoint of another region", "z3", nil, []string{"n2", "n3", "n4"}},
		{"a node that does not reach the service either", "z1", map[string]peerRecord{"n2": {incarnation: "2", at: now, noTunnels: []string{"s"}}}, []string{"n3"}},
		{"a node that does not reach another service", "z1", map[string]peerRecord{"n2": {incarnation: "2", at: now, noTunnels: []string{"p"}}}, []string{"n2", "n3"}},
		{"a node that leaves", "z1", map[string]peerRecord{"n2": {incarnation: "2", at: now, noTunnels: []string{AllServices}}}, []string{"n3"}},
		{"a report that is old", "z1", map[string]peerRecord{"n2": {incarnation: "2", at: now.Add(-3 * time.Second), noTunnels: []string{"s"}}}, []string{"n2", "n3"}},
		{"a report of an earlier incarnation", "z1", map[string]peerRecord{"n2": {incarnation: "1", at: now, noTunnels: []string{"s"}}}, []string{"n2", "n3"}},
	}
	for _, c := range cases {
		nodes := tunnelGossip(c.records).TunnelNodes(engine.Engine{ID: "e", Service: "s", Zone: c.zone})
		assert.Equal(t, c.want, lo.Map(nodes, func(m Member, _ int) string { return m.Name }), c.name)
	}
}

func TestAnIncarnationIsAMember(t *testing.T) {
	g := tunnelGossip(nil)
	assert.True(t, g.IsMember("n2", "2"))
	assert.False(t, g.IsMember("n2", "1"))
	assert.False(t, g.IsMember("n9", "2"))
	assert.False(t, g.IsMember("", ""))
	assert.True(t, g.OpensTunnels("n2", "s"))
	assert.False(t, g.OpensTunnels("old", "s"), "an earlier build")
	assert.False(t, g.OpensTunnels("n9", "s"), "not listed any more")
}
