package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// noticeNode returns a node with two endpoints, of which some announced that they leave.
func noticeNode(ids ...string) *Node {
	n := incarnationNode(entry("a", firstBorn, 1), entry("b", firstBorn, 2))
	n.notices = notice.NewTracker("n", notice.Rule{Serves: time.Minute}, func(notice.Change) { n.engineTable.refresh() })
	n.picker.WithNotices(n.notices)
	n.engineTable.refresh()
	for _, id := range ids {
		e, _ := n.engines.Load().Get(id)
		n.notices.Observe(e, call.Leaving{}, time.Now())
	}
	return n
}

// Guards against calls to an endpoint that announced that it leaves while another may take them.
// Its entry changes nothing of that until it belongs to another incarnation.
func TestAnEndpointThatLeavesIsTheLastResort(t *testing.T) {
	n := noticeNode("a")
	for range 20 {
		p, ok := n.pickFor("call", 0)
		assert.True(t, ok)
		assert.Equal(t, "b", p.Engine.ID)
	}
	n.engineTable.apply(written(entry("a", firstBorn, 3)))
	e, _ := n.engines.Load().Get("a")
	assert.Equal(t, engine.Leaving, e.State, "its entry was written again")

	n = noticeNode("a", "b")
	_, ok := n.pickFor("call", 0)
	assert.True(t, ok, "all of them leave and still serve")

	n.engineTable.apply(written(entry("a", laterBorn, 4)))
	p, ok := n.pickFor("call", 0)
	assert.True(t, ok)
	assert.Equal(t, "a", p.Engine.ID, "the next incarnation does not leave")
}
