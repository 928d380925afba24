package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/overload"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

func TestCallersMoveOnlyWhereTheZoneHasOtherNodes(t *testing.T) {
	cases := []struct {
		name  string
		zones string // of the members, a letter each
		want  bool
	}{
		{"alone", "a", false},
		{"one beside it", "aabbbb", false},
		{"two beside it", "aaab", true},
		{"not listed yet", "", false},
	}
	for _, c := range cases {
		var members []peer.Member
		for _, zone := range c.zones {
			members = append(members, peer.Member{Zone: string(zone)})
		}
		assert.Equal(t, c.want, mayMove(members, "a"), c.name)
	}
}

// A node whose link one customer fills is not ready, and keeps serving.
func TestANodeWhoseLinkOneCustomerFillsIsNotReady(t *testing.T) {
	n := zonedNode("a")
	n.applyPolicy("main", store.Snapshot{Objects: []store.Object{{Name: "main", Revision: 3}}})
	n.applyEvacuations(store.Snapshot{})
	n.engineTable.apply(store.Snapshot{Objects: named("a1"), Revision: 1})
	assert.True(t, n.Ready())
	for range 10 {
		n.intake.Read(overload.Load{Used: 1, CallShare: 1, Others: true})
	}
	assert.False(t, n.Ready())
	for range 2 * overload.DefaultIntakeRule().Stay {
		n.intake.Read(overload.Load{Others: true})
	}
	assert.True(t, n.Ready())
}
