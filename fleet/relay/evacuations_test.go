package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// zonedAdapter places endpoints in the zone that their name begins with.
type zonedAdapter struct{ revisionAdapter }

func (zonedAdapter) Engine(o store.Object, _ time.Time) (engine.Engine, error) {
	return engine.Engine{ID: o.Name, Service: "s", Address: "a", Zone: o.Name[:1]}, nil
}

func named(names ...string) []store.Object {
	return lo.Map(names, func(name string, _ int) store.Object { return store.Object{Name: name, Revision: 1} })
}

func event(name string, gone bool) store.Change {
	return store.Update{Events: []store.Event{{Object: store.Object{Name: name, Revision: 2}, Gone: gone}}, Revision: 2}
}

func zonedNode(zones ...string) *Node {
	n := testNode()
	n.adapter = zonedAdapter{}
	n.settings.Regions = map[string]string{}
	for _, zone := range zones {
		n.settings.Regions[zone] = "r"
	}
	n.evacuations.Store(nil)
	return n
}

// ready names the endpoints that may get new work.
func (n *Node) ready() []string {
	if n.engines.Load() == nil {
		return nil
	}
	var ids []string
	for _, e := range n.engines.Load().Of("s") {
		if e.State == engine.Ready {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

func TestEndpointsOfAnEvacuatedZoneGetNoNewWork(t *testing.T) {
	cases := []struct {
		name    string
		changes []store.Change
		want    []string
	}{
		{"none", []store.Change{store.Snapshot{}}, []string{"a1", "b1", "c1"}},
		{"in force when the node starts", []store.Change{store.Snapshot{Objects: named("a")}}, []string{"b1", "c1"}},
		{"begun", []store.Change{store.Snapshot{}, event("a", false)}, []string{"b1", "c1"}},
		{"two at once", []store.Change{store.Snapshot{}, event("a", false), event("b", false)}, []string{"c1"}},
		{"all of them", []store.Change{store.Snapshot{Objects: named("a", "b", "c")}}, nil},
		{"ended", []store.Change{store.Snapshot{Objects: named("a")}, event("a", true)}, []string{"a1", "b1", "c1"}},
		{"ended and begun again at once", []store.Change{store.Snapshot{Objects: named("a")}, store.Update{Events: []store.Event{{Object: store.Object{Name: "a"}, Gone: true}, {Object: store.Object{Name: "a"}}}, Revision: 3}}, []string{"b1", "c1"}},
		{"ended while history was lost", []store.Change{store.Snapshot{Objects: named("a")}, store.Snapshot{Revision: 9}}, []string{"a1", "b1", "c1"}},
		{"the store is lost meanwhile", []store.Change{store.Snapshot{Objects: named("a")}, store.Lost{Err: errors.New("lost")}}, []string{"b1", "c1"}},
		{"no zone of that name", []store.Change{store.Snapshot{}, event("nowhere", false)}, []string{"a1", "b1", "c1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := zonedNode("a", "b", "c")
			for _, change := range c.changes {
				n.applyEvacuations(change)
			}
			n.engineTable.apply(store.Snapshot{Objects: named("a1", "b1", "c1"), Revision: 1})
			assert.Equal(t, c.want, n.ready(), "evacuations first")
			n = zonedNode("a", "b", "c")
			n.engineTable.apply(store.Snapshot{Objects: named("a1", "b1", "c1"), Revision: 1})
			for _, change := range c.changes {
				n.applyEvacuations(change)
			}
			assert.Equal(t, c.want, n.ready(), "endpoints first")
		})
	}
}

// Guards against calls to an evacuated zone by a node that has just started: it sends none, and is
// not ready, before the evacuations are known.
func TestNothingIsSentBeforeEvacuationsAreKnown(t *testing.T) {
	n := zonedNode("a")
	n.applyPolicy("main", store.Snapshot{Objects: []store.Object{{Name: "main", Revision: 3}}})
	n.engineTable.apply(store.Snapshot{Objects: named("a1"), Revision: 1})
	assert.False(t, n.Ready())
	assert.Empty(t, n.ready())
	n.applyEvacuations(store.Lost{Err: errors.New("lost")})
	assert.False(t, n.Ready())
	n.applyEvacuations(store.Snapshot{})
	assert.True(t, n.Ready())
	assert.Equal(t, []string{"a1"}, n.ready())
}

// Guards against full load on a zone whose evacuation ended: its endpoints may be cold, whatever
// they signaled before.
func TestAZoneThatIsGivenBackCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := zonedNode("a", "b")
		n.applyEvacuations(store.Snapshot{Objects: named("a")})
		n.engineTable.apply(store.Snapshot{Objects: named("a1", "b1"), Revision: 1})
		time.Sleep(time.Minute)
		n.applyEvacuations(event("a", true))
		returned, ok := n.engines.Load().Get("a1")
		require.True(t, ok)
		assert.Equal(t, time.Now(), returned.ReturnedAt)
		other, _ := n.engines.Load().Get("b1")
		assert.Zero(t, other.ReturnedAt)
	})
}
