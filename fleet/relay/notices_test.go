package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// heeding is a node that knows endpoints by their entries and by what they say.
func heeding(ids ...string) *Node {
	n := livesNode(entry("a", firstBorn, 1), entry("b", firstBorn, 2))
	n.notices = notice.NewBook("n", notice.Rule{Serves: time.Minute}, func(notice.Change) { n.engineTable.refresh() })
	n.picker.WithNotices(n.notices)
	n.engineTable.refresh()
	for _, id := range ids {
		e, _ := n.engines.Load().Get(id)
		n.notices.Saw(e, call.Leaving{}, time.Now())
	}
	return n
}

// An endpoint that says that it leaves gets calls that no other may take, and nothing else; its entry
// changes nothing of that until it is of another life.
func TestAnEndpointThatLeavesIsTheLastResort(t *testing.T) {
	n := heeding("a")
	for range 20 {
		p, ok := n.pickFor("call", 0)
		assert.True(t, ok)
		assert.Equal(t, "b", p.Engine.ID)
	}
	n.engineTable.apply(written(entry("a", firstBorn, 3)))
	e, _ := n.engines.Load().Get("a")
	assert.Equal(t, engine.Leaving, e.State, "it was written again")

	n = heeding("a", "b")
	_, ok := n.pickFor("call", 0)
	assert.True(t, ok, "all of them leave, and still serve")

	n.engineTable.apply(written(entry("a", thenBorn, 4)))
	p, ok := n.pickFor("call", 0)
	assert.True(t, ok)
	assert.Equal(t, "a", p.Engine.ID, "another life does not leave")
}
