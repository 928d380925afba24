package relay

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// versionedAdapter names endpoints SERVICE/VERSION/NUMBER; its objects hold orders and statuses as
// JSON.
type versionedAdapter struct{ revisionAdapter }

func (versionedAdapter) Engine(o store.Object, _ time.Time) (engine.Engine, error) {
	parts := strings.Split(o.Name, "/")
	return engine.Engine{ID: o.Name, Service: parts[0], Version: parts[1], Zone: "z", Seen: o.Revision, Slots: 8}, nil
}

func (versionedAdapter) Rollout(o store.Object, now time.Time) (rollout.Rollout, error) {
	r := rollout.Rollout{Revision: o.Revision, LearnedAt: now}
	if err := json.Unmarshal(o.Data, &r.Order); err != nil {
		return r, err
	}
	r.Made = o.Made
	if len(o.Status) == 0 {
		return r, nil
	}
	return r, json.Unmarshal(o.Status, &r.Status)
}

func (versionedAdapter) RolloutStatus(s rollout.Status) (json.RawMessage, error) {
	return json.Marshal(s)
}

func versionedNode() *Node {
	n := testNode()
	n.adapter = versionedAdapter{}
	n.settings.Rollout.Share, n.settings.Rollout.Tolerance = 0.1, 50
	n.rollouts.Store(nil)
	return n
}

// order returns an object that orders a service to a version.
func order(service, target string, made int64, revision store.Revision, s rollout.Status) store.Object {
	data, _ := json.Marshal(rollout.Order{Service: service, Target: target, Duration: 12 * time.Second})
	o := store.Object{Name: service, Made: made, Revision: revision, Data: data}
	if s.State != rollout.Ordered {
		o.Status, _ = json.Marshal(s)
	}
	return o
}

func listed(at store.Revision, objects ...store.Object) store.Change {
	return store.Snapshot{Objects: objects, Revision: at}
}

func changed(at store.Revision, objects ...store.Object) store.Change {
	return store.Update{Revision: at, Events: lo.Map(objects, func(o store.Object, _ int) store.Event { return store.Event{Object: o} })}
}

// entries returns the entries of endpoints at a revision.
func entries(at store.Revision, names ...string) store.Change {
	return store.Snapshot{Revision: at, Objects: lo.Map(names, func(name string, _ int) store.Object { return store.Object{Name: name, Revision: at} })}
}

// allowed names the endpoints that may get all calls of a service, and those that get calls by a
// plan besides.
func (n *Node) allowed(service string) (all, beside []string) {
	ids := func(engines []engine.Engine) []string {
		return lo.Map(engines, func(e engine.Engine, _ int) string { return strings.TrimPrefix(e.ID, service+"/") })
	}
	if n.engines.Load() == nil {
		return nil, nil
	}
	all = ids(n.engines.Load().Of(service))
	if t := (*n.moves.Load())[service]; t != nil {
		beside = ids(t.Lists().Target)
	}
	return all, beside
}

func TestOnlyVersionsThatTheOrderAllowsMayGetWork(t *testing.T) {
	status := func(s rollout.State, stage rollout.Stage) rollout.Status {
		return rollout.Status{State: s, Target: "v2", Made: 5, Stage: stage, Share: 0.1}
	}
	sampling := status(rollout.InProgress, rollout.Sampling)
	gone := store.Update{Revision: 9, Events: []store.Event{{Object: store.Object{Name: "s", Revision: 9}, Gone: true}}}
	senseless := func(o rollout.Order) store.Object {
		data, _ := json.Marshal(o)
		return store.Object{Name: "x", Made: 5, Revision: 5, Data: data}
	}
	both, old, target := []string{"v1/a", "v1/b", "v2/c"}, []string{"v1/a", "v1/b"}, []string{"v2/c"}
	cases := []struct {
		name    string
		changes []store.Change
		all     []string
		beside  []string
	}{
		{"no order", []store.Change{listed(9)}, both, nil},
		{"an order of which nothing is written", []store.Change{listed(9, order("s", "v2", 5, 5, rollout.Status{}))}, old, nil},
		{"ordered while the node runs", []store.Change{listed(1), changed(9, order("s", "v2", 5, 5, rollout.Status{}))}, old, nil},
		{"sampling", []store.Change{listed(9, order("s", "v2", 5, 6, sampling))}, old, target},
		{"moving", []store.Change{listed(9, order("s", "v2", 5, 6, status(rollout.InProgress, rollout.Moving)))}, old, target},
		{"completed", []store.Change{listed(9, order("s", "v2", 5, 6, status(rollout.Completed, 0)))}, target, nil},
		{"reverted", []store.Change{listed(9, order("s", "v2", 5, 6, status(rollout.Reverted, 0)))}, old, nil},
		{"by stages", []store.Change{listed(1), changed(5, order("s", "v2", 5, 5, rollout.Status{})), changed(6, order("s", "v2", 5, 6, sampling)), changed(9, order("s", "v2", 5, 7, status(rollout.Completed, 0)))}, target, nil},
		{"the store is lost on the way", []store.Change{listed(9, order("s", "v2", 5, 6, sampling)), store.Lost{Err: errors.New("lost")}}, old, target},
		{"an older status after a newer one", []store.Change{listed(9, order("s", "v2", 5, 7, status(rollout.Reverted, 0))), changed(9, order("s", "v2", 5, 6, sampling))}, old, nil},
		{"deleted halfway", []store.Change{listed(8, order("s", "v2", 5, 6, sampling)), gone}, both, nil},
		{"deleted while history was lost", []store.Change{listed(8, order("s", "v2", 5, 6, sampling)), listed(9)}, both, nil},
		{"deleted and made again", []store.Change{listed(8, order("s", "v2", 5, 6, status(rollout.Reverted, 0))), gone, changed(10, order("s", "v2", 10, 10, rollout.Status{}))}, old, nil},
		{"another target", []store.Change{listed(9, order("s", "v3", 5, 7, sampling))}, old, nil},
		{"of another service", []store.Change{listed(9, order("other", "v2", 5, 6, sampling))}, both, nil},
		{"no version", []store.Change{listed(9, senseless(rollout.Order{Service: "s", Duration: time.Second}))}, both, nil},
		{"no service", []store.Change{listed(9, senseless(rollout.Order{Target: "v2", Duration: time.Second}))}, both, nil},
		{"no object", []store.Change{listed(9, store.Object{Name: "s", Made: 5, Revision: 5, Data: json.RawMessage("7")})}, both, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoints := entries(2, "s/v1/a", "s/v1/b", "s/v2/c")
			for _, order := range []string{"orders first", "endpoints first"} {
				n := versionedNode()
				if order == "endpoints first" {
					n.engineTable.apply(endpoints)
				}
				for _, change := range c.changes {
					n.applyRollouts(change)
				}
				if order == "orders first" {
					n.engineTable.apply(endpoints)
				}
				all, beside := n.allowed("s")
				assert.Equal(t, c.all, all, order)
				assert.ElementsMatch(t, c.beside, beside, order)
			}
		})
	}
}

// Orders of two services are independent.
func TestTwoServicesMoveAtOnce(t *testing.T) {
	n := versionedNode()
	n.engineTable.apply(entries(2, "s/v1/a", "s/v2/b", "p/v1/a", "p/v2/b"))
	done := rollout.Status{State: rollout.Completed, Target: "v2", Made: 6}
	n.applyRollouts(listed(9, order("s", "v2", 5, 5, rollout.Status{}), order("p", "v2", 6, 7, done)))
	all, _ := n.allowed("s")
	assert.Equal(t, []string{"v1/a"}, all)
	all, _ = n.allowed("p")
	assert.Equal(t, []string{"v2/b"}, all)
	assert.Equal(t, []string{"s"}, n.trials.services(), "only open orders are judged")
}

// Guards against calls to an unproven version by a node that has just started: it sends none, and
// is not ready, before the orders are known. Without bounds for rollouts in the settings there are
// no orders.
func TestNothingIsSentBeforeOrdersAreKnown(t *testing.T) {
	n := versionedNode()
	n.applyPolicy("main", listed(3, store.Object{Name: "main", Revision: 3}))
	n.engineTable.apply(entries(2, "s/v1/a"))
	assert.False(t, n.Ready())
	assert.Nil(t, n.engines.Load())
	n.applyRollouts(store.Lost{Err: errors.New("lost")})
	assert.False(t, n.Ready())
	n.applyRollouts(listed(3))
	assert.True(t, n.Ready())
	n = versionedNode()
	n.settings.Rollout.Share = 0
	n.followRollouts(t.Context())
	n.engineTable.apply(entries(2, "s/v1/a"))
	assert.Len(t, n.engines.Load().Of("s"), 1)
	assert.Nil(t, n.moves.Load(), "no plan is made")
}

// Guards against calls to a new version before its order is known: an endpoint of an unknown
// version gets none until the orders are known up to its entry.
func TestAnEntryObservedBeforeItsOrderGetsNothing(t *testing.T) {
	cases := []struct {
		name   string
		orders store.Change
		all    []string
	}{
		{"there is an order", listed(30, order("s", "v2", 20, 20, rollout.Status{})), []string{"v1/a"}},
		{"there is none", listed(30), []string{"v1/a", "v2/b"}},
		{"an older list", listed(24), []string{"v1/a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := versionedNode()
			n.applyRollouts(listed(10))
			n.engineTable.apply(entries(2, "s/v1/a"))
			n.engineTable.apply(changed(25, store.Object{Name: "s/v2/b", Revision: 25}))
			all, _ := n.allowed("s")
			assert.Equal(t, []string{"v1/a"}, all)
			n.applyRollouts(c.orders)
			all, _ = n.allowed("s")
			assert.Equal(t, c.all, all)
		})
	}
}

// Guards against a wait for the orders on each change of an entry: a version that already gets
// work needs none.
func TestAKnownVersionWaitsForNoOrders(t *testing.T) {
	n := versionedNode()
	n.applyRollouts(listed(10))
	n.engineTable.apply(entries(2, "s/v1/a"))
	n.engineTable.apply(entries(25, "s/v1/a", "s/v1/b"))
	all, _ := n.allowed("s")
	assert.Equal(t, []string{"v1/a", "v1/b"}, all)
	n.engineTable.apply(entries(26, "s/v2/c"))
	all, _ = n.allowed("s")
	assert.Empty(t, all)
	n.engineTable.apply(entries(27, "s/v1/a", "s/v2/c"))
	all, _ = n.allowed("s")
	assert.Empty(t, all, "a version that was gone may be the target of an order by now")
	n.applyRollouts(listed(27))
	all, _ = n.allowed("s")
	assert.Equal(t, []string{"v1/a", "v2/c"}, all)
}

// Guards against an order that starts with the elapsed time of the one it replaced, whose status
// is still beside it.
func TestAReplacingOrderBeginsWhenItIsObserved(t *testing.T) {
	reverted := rollout.Status{State: rollout.Reverted, Target: "v2", Made: 5, Used: 2 * time.Second}
	n := versionedNode()
	n.applyRollouts(listed(9, order("s", "v2", 5, 6, reverted)))
	before := time.Now()
	n.applyRollouts(changed(12, order("s", "v3", 5, 12, reverted)))
	r, ok := n.rollouts.Load().Of("s")
	require.True(t, ok)
	assert.Equal(t, rollout.Ordered, r.State())
	assert.False(t, r.LearnedAt.Before(before))
}

// The age of a status is known only if its write was observed, and a repeated one keeps its age.
func TestWhenAStatusWasLearned(t *testing.T) {
	moving := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Stage: rollout.Moving, Left: 5 * time.Second}
	n := versionedNode()
	of := func() rollout.Rollout {
		r, ok := n.rollouts.Load().Of("s")
		require.True(t, ok)
		return r
	}
	n.applyRollouts(listed(9, order("s", "v2", 5, 6, moving)))
	assert.True(t, of().AgeUnknown)
	first := of().LearnedAt
	n.applyRollouts(listed(10, order("s", "v2", 5, 6, moving)))
	assert.Equal(t, first, of().LearnedAt)
	moving.Writes++
	n.applyRollouts(changed(11, order("s", "v2", 5, 11, moving)))
	assert.False(t, of().AgeUnknown, "its write was observed")
	assert.True(t, of().LearnedAt.After(first))
	n = versionedNode()
	n.applyRollouts(listed(1))
	n.applyRollouts(changed(5, order("s", "v2", 5, 5, rollout.Status{})))
	assert.False(t, of().AgeUnknown)
	n.applyRollouts(changed(6, order("s", "v2", 5, 6, moving)))
	assert.False(t, of().AgeUnknown)
}

// Guards against one request for the orders per change of an entry: they are requested at
// intervals, and no longer once known.
func TestOrdersAreRequestedAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := versionedNode()
		n.applyRollouts(listed(10))
		n.engineTable.apply(entries(2, "s/v1/a"))
		for i := range store.Revision(50) {
			n.engineTable.apply(changed(25+i, store.Object{Name: "s/v2/b", Revision: 25 + i}))
			assert.True(t, n.engineTable.requestingOrders)
		}
		n.applyRollouts(listed(90))
		time.Sleep(ordersRefreshInterval)
		synctest.Wait()
		assert.False(t, n.engineTable.requestingOrders)
		all, _ := n.allowed("s")
		assert.Equal(t, []string{"v1/a", "v2/b"}, all)
	})
}
