package orders_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/orders"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var engines = []orders.Engine{
	{Name: "e1", ChecksFence: true, Models: []string{"small", "large"}},
	{Name: "e2", ChecksFence: false, Models: []string{"large"}},
}

func waiting(model string) int { return map[string]int{"large": 7}[model] }

func TestDecide(t *testing.T) {
	own := orders.Lease{Giver: "n@2", Until: start.Add(orders.LeaseTime)}
	other := orders.Lease{Giver: "m@1", Until: start.Add(time.Second)}
	cases := []struct {
		name string
		seen orders.Seen
		want orders.Effect
	}{
		{"nobody gives orders", orders.Seen{At: start}, orders.Take{Lease: own}},
		{"another does", orders.Seen{At: start, Lease: other}, orders.Nothing{Why: "another node gives the orders"}},
		{"its time is over here, but not by every clock", orders.Seen{At: start.Add(2 * time.Second), Lease: other}, orders.Nothing{Why: "another node gives the orders"}},
		{"it is gone", orders.Seen{At: start, Lease: other, GiverGone: true}, orders.Take{Lease: own}},
		{"the own lease runs out", orders.Seen{At: start, Lease: orders.Lease{Giver: "n@2", Until: start.Add(time.Second)}}, orders.Take{Lease: own}},
		{"the longest line first", orders.Seen{At: start, Lease: own, Version: 9}, orders.Give{Engine: engines[0], Load: orders.Load{Endpoint: "e1", Model: "large"}, Fence: 9}},
		{"one at a time", orders.Seen{At: start, Lease: own, Moved: start.Add(-time.Second)}, orders.Nothing{Why: "one order at a time"}},
		{"an engine that does not check waits the old giver out", orders.Seen{
			At: start, Before: start.Add(-time.Second), Lease: orders.Lease{Giver: "n@2", Until: own.Until, Done: []orders.Load{{Endpoint: "e1", Model: "large"}, {Endpoint: "e1", Model: "small"}}},
		}, orders.Nothing{Why: "all is ordered"}},
		{"and is told then", orders.Seen{
			At: start, Before: start.Add(-time.Minute), Lease: orders.Lease{Giver: "n@2", Until: own.Until, Done: []orders.Load{{Endpoint: "e1", Model: "large"}, {Endpoint: "e1", Model: "small"}}},
		}, orders.Give{Engine: engines[1], Load: orders.Load{Endpoint: "e2", Model: "large"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.seen.Self, c.seen.Engines, c.seen.Waiting = "n@2", engines, waiting
			assert.Equal(t, c.want, orders.Decide(c.seen))
		})
	}
}

// world is a store with one object, and an engine that checks fences.
type world struct {
	platform.Store
	object  platform.Object
	limited bool
	fence   int64
	loaded  []string
	now     time.Time
}

func (w *world) Get(context.Context, string) (platform.Object, error) {
	if w.object.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return w.object, nil
}

func (w *world) Put(_ context.Context, key string, version platform.Version, value any) (platform.Version, error) {
	if version != w.object.Version {
		return 0, platform.ErrConflict
	}
	data, err := json.Marshal(value)
	w.object = platform.Object{Key: key, Version: version + 1, Value: data}
	return version + 1, err
}

func (w *world) Weights(context.Context, string) error {
	if w.limited {
		return platform.ErrLimited
	}
	return nil
}

func (w *world) Load(_ context.Context, _ orders.Engine, fence int64, model string) error {
	if fence < w.fence {
		return errors.New("older fence")
	}
	w.fence = fence
	w.loaded = append(w.loaded, model)
	return nil
}

func (w *world) giver(self ident.Incarnation, gone ident.Incarnation) *orders.Giver {
	now := func() time.Time { return w.now }
	return orders.New(orders.Parts{
		Self: func() ident.Incarnation { return self }, Zone: "z", Store: w, Sender: w,
		Gone:    func(i ident.Incarnation) bool { return i == gone },
		Engines: func() []orders.Engine { return engines[:1] },
		Waiting: waiting, Leads: func() bool { return true }, Now: now, Events: event.New("n", 10, now),
	})
}

func steps(w *world, g *orders.Giver, count int) (last error) {
	for range count {
		w.now = w.now.Add(3 * time.Second)
		last = g.Step(context.Background())
	}
	return last
}

func TestAGiverOrdersEachLoadOnce(t *testing.T) {
	w := &world{now: start}
	require.NoError(t, steps(w, w.giver("n@1", ""), 12))
	assert.Equal(t, []string{"large", "small"}, w.loaded)
}

func TestAPausedGiverIsFencedOff(t *testing.T) {
	w := &world{now: start}
	old := w.giver("n@1", "")
	require.NoError(t, steps(w, old, 2)) // it has taken the lease and given one order
	require.Equal(t, []string{"large"}, w.loaded)
	next := w.giver("m@2", "n@1")
	require.NoError(t, steps(w, next, 4))
	require.Equal(t, []string{"large", "small"}, w.loaded)
	w.now = start.Add(9 * time.Second) // the old one wakes and believes in its lease
	assert.Error(t, old.Step(context.Background()))
	assert.Equal(t, []string{"large", "small"}, w.loaded, "its order is refused")
}

func TestTheWeightStoresLimitDelays(t *testing.T) {
	w := &world{now: start, limited: true}
	g := w.giver("n@1", "")
	require.Error(t, steps(w, g, 2))
	assert.Empty(t, w.loaded)
	w.limited = false
	require.NoError(t, steps(w, g, 3))
	assert.NotEmpty(t, w.loaded)
}
