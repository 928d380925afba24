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
		in   orders.Input
		want orders.Effect
	}{
		{"no giver", orders.Input{At: start}, orders.TakeLease{Lease: own}},
		{"another giver", orders.Input{At: start, Lease: other}, orders.Nothing{Why: "another node gives the orders"}},
		{"its lease has expired here, but not by every clock", orders.Input{At: start.Add(2 * time.Second), Lease: other}, orders.Nothing{Why: "another node gives the orders"}},
		{"the giver is gone", orders.Input{At: start, Lease: other, GiverGone: true}, orders.TakeLease{Lease: own}},
		{"the own lease expires soon", orders.Input{At: start, Lease: orders.Lease{Giver: "n@2", Until: start.Add(time.Second)}}, orders.TakeLease{Lease: own}},
		{"the longest queue first", orders.Input{At: start, Lease: own, Version: 9}, orders.SendOrder{Engine: engines[0], Load: orders.Load{Endpoint: "e1", Model: "large"}, Fence: 9}},
		{"one at a time", orders.Input{At: start, Lease: own, LastOrder: start.Add(-time.Second)}, orders.Nothing{Why: "one order at a time"}},
		{"no order to an engine without fence check while the old lease may be valid", orders.Input{
			At: start, PreviousUntil: start.Add(-time.Second), Lease: orders.Lease{Giver: "n@2", Until: own.Until, Done: []orders.Load{{Endpoint: "e1", Model: "large"}, {Endpoint: "e1", Model: "small"}}},
		}, orders.Nothing{Why: "all is ordered"}},
		{"order to an engine without fence check after the old lease", orders.Input{
			At: start, PreviousUntil: start.Add(-time.Minute), Lease: orders.Lease{Giver: "n@2", Until: own.Until, Done: []orders.Load{{Endpoint: "e1", Model: "large"}, {Endpoint: "e1", Model: "small"}}},
		}, orders.SendOrder{Engine: engines[1], Load: orders.Load{Endpoint: "e2", Model: "large"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.in.Self, c.in.Engines, c.in.Waiting = "n@2", engines, waiting
			assert.Equal(t, c.want, orders.Decide(c.in))
		})
	}
}

// fakeStore is a platform.Store with one object, and an engine that checks fences.
type fakeStore struct {
	platform.Store
	object  platform.Object
	limited bool
	fence   int64
	loaded  []string
	now     time.Time
}

func (s *fakeStore) Get(context.Context, string) (platform.Object, error) {
	if s.object.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, key string, version platform.Version, value any) (platform.Version, error) {
	if version != s.object.Version {
		return 0, platform.ErrConflict
	}
	data, err := json.Marshal(value)
	s.object = platform.Object{Key: key, Version: version + 1, Value: data}
	return version + 1, err
}

func (s *fakeStore) Weights(context.Context, string) error {
	if s.limited {
		return platform.ErrLimited
	}
	return nil
}

func (s *fakeStore) Load(_ context.Context, _ orders.Engine, fence int64, model string) error {
	if fence < s.fence {
		return errors.New("older fence")
	}
	s.fence = fence
	s.loaded = append(s.loaded, model)
	return nil
}

func (s *fakeStore) giver(self ident.Incarnation, gone ident.Incarnation) *orders.Giver {
	now := func() time.Time { return s.now }
	return orders.New(orders.Dependencies{
		Self: func() ident.Incarnation { return self }, Zone: "z", Store: s, Sender: s,
		Gone:    func(i ident.Incarnation) bool { return i == gone },
		Engines: func() []orders.Engine { return engines[:1] },
		Waiting: waiting, Leads: func() bool { return true }, Now: now, Events: event.New("n", 10, now),
	})
}

func steps(s *fakeStore, g *orders.Giver, count int) (last error) {
	for range count {
		s.now = s.now.Add(3 * time.Second)
		last = g.Step(context.Background())
	}
	return last
}

func TestAGiverOrdersEachLoadOnce(t *testing.T) {
	s := &fakeStore{now: start}
	require.NoError(t, steps(s, s.giver("n@1", ""), 12))
	assert.Equal(t, []string{"large", "small"}, s.loaded)
}

// A giver that stalls past its lease still takes it for valid when it resumes. Its order carries
// an older fence and must be refused.
func TestAPausedGiverIsFenced(t *testing.T) {
	s := &fakeStore{now: start}
	old := s.giver("n@1", "")
	require.NoError(t, steps(s, old, 2)) // takes the lease and gives one order
	require.Equal(t, []string{"large"}, s.loaded)
	next := s.giver("m@2", "n@1")
	require.NoError(t, steps(s, next, 4))
	require.Equal(t, []string{"large", "small"}, s.loaded)
	s.now = start.Add(9 * time.Second) // the old giver resumes and takes its lease for valid
	assert.Error(t, old.Step(context.Background()))
	assert.Equal(t, []string{"large", "small"}, s.loaded, "its order is refused")
}

func TestTheWeightStoresLimitDelaysOrders(t *testing.T) {
	s := &fakeStore{now: start, limited: true}
	g := s.giver("n@1", "")
	require.Error(t, steps(s, g, 2))
	assert.Empty(t, s.loaded)
	s.limited = false
	require.NoError(t, steps(s, g, 3))
	assert.NotEmpty(t, s.loaded)
}
