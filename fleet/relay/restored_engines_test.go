package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// readyIDs names the endpoints that get calls.
func (n *Node) readyIDs() []string {
	ready := lo.Filter(n.engines.Load().Of("s"), func(e engine.Engine, _ int) bool { return e.State == engine.Ready })
	return lo.Map(ready, func(e engine.Engine, _ int) string { return e.ID })
}

// Guards against calls to endpoints that left, and against none to those that stay, after a
// restored store lists them as they were.
func TestEndpointsListedByARestoredStore(t *testing.T) {
	drains := func(e *engine.Engine) { e.State = engine.Draining }
	at := func(number int64) store.Revision { return store.At(1, number) }
	again := func(number int64) store.Revision { return store.At(2, number) }
	start := store.Snapshot{Revision: at(20), Objects: []store.Object{entry("a", firstBorn, at(11)), entry("b", firstBorn, at(12)), entry("c", firstBorn, at(13))}}
	copied := store.Snapshot{Revision: again(14), Objects: []store.Object{entry("a", firstBorn, again(11)), entry("b", firstBorn, again(12)), entry("c", firstBorn, again(13))}}
	gone := store.Update{Revision: at(30), Events: []store.Event{{Object: store.Object{Name: "c"}, Gone: true}}}
	cases := []struct {
		name    string
		changes []store.Change
		want    []string // at once
		later   []string // after all had time to write again
	}{
		{"nothing was lost", []store.Change{start, copied}, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{"one announced that it leaves", []store.Change{start, written(entry("c", firstBorn, at(30), drains)), copied}, []string{"a", "b"}, []string{"a", "b"}},
		{"and announces it again", []store.Change{start, written(entry("c", firstBorn, at(30), drains)), copied, written(entry("c", firstBorn, again(15), drains))}, []string{"a", "b"}, []string{"a", "b"}},
		{"it restarts meanwhile", []store.Change{start, written(entry("c", firstBorn, at(30), drains)), copied, written(entry("c", laterBorn, again(15)))}, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{"one was gone, and its entry lapses again", []store.Change{start, gone, copied, store.Update{Revision: again(15), Events: []store.Event{{Object: store.Object{Name: "c"}, Gone: true}}}}, []string{"a", "b"}, []string{"a", "b"}},
		{"one was gone, and is alive", []store.Change{start, gone, copied}, []string{"a", "b"}, []string{"a", "b", "c"}},
		{"one was gone, and writes its entry again", []store.Change{start, gone, copied, written(entry("c", firstBorn, again(15)))}, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		{"one left for good", []store.Change{start, written(entry("c", firstBorn, at(29), drains)), gone, copied}, []string{"a", "b"}, []string{"a", "b"}},
		{"one came since", []store.Change{start, written(entry("d", firstBorn, at(30))), copied}, []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}},
		{"one came since, and writes its entry again", []store.Change{start, written(entry("d", firstBorn, at(30))), copied, written(entry("d", firstBorn, again(15)))}, []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
		{"most came since", []store.Change{start, written(entry("d", firstBorn, at(30)), entry("e", firstBorn, at(31))), store.Snapshot{Revision: again(12), Objects: copied.Objects[:1]}}, []string{"a", "b", "c", "d", "e"}, []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := incarnationNode(entry("x", firstBorn, at(1)))
				for _, change := range c.changes {
					n.engineTable.apply(change)
				}
				assert.Equal(t, c.want, n.readyIDs())
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assert.Equal(t, c.later, n.readyIDs())
			})
		})
	}
}
