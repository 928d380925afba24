package store_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

func named(names ...string) []store.Object {
	var all []store.Object
	for _, n := range names {
		all = append(all, store.Object{Name: n, Revision: 1})
	}
	return all
}

// A cache answers as the store that it follows would, and not at all if its content comes
// from too far away or the store is lost.
func TestACacheAnswersForItsStore(t *testing.T) {
	changed := store.Update{Events: []store.Event{{Object: store.Object{Name: "c", Revision: 7}}, {Object: store.Object{Name: "a"}, Gone: true}}, Revision: 7}
	snapshot := store.Snapshot{Objects: named("a", "b"), Revision: 5}
	cases := []struct {
		name    string
		changes []store.Change
		from    store.Origin
		since   store.Revision
		listed  []string // nil: refused
		events  []string
		at      store.Revision
		err     error
	}{
		{"nothing yet", nil, store.FromStore, 5, nil, nil, 0, store.ErrUnfit},
		{"listed", []store.Change{snapshot}, store.FromStore, 5, []string{"a", "b"}, nil, 5, nil},
		{"changed", []store.Change{snapshot, changed}, store.FromStore, 5, []string{"b", "c"}, []string{"c", "a gone"}, 7, nil},
		{"nothing newer", []store.Change{snapshot, changed}, store.FromStore, 7, []string{"b", "c"}, nil, 7, nil},
		{"asked after a newer revision", []store.Change{snapshot}, store.FromStore, 9, []string{"a", "b"}, nil, 9, nil},
		{"older than the list", []store.Change{snapshot}, store.FromStore, 4, []string{"a", "b"}, nil, 0, store.ErrCompacted},
		{"from a watcher", []store.Change{snapshot, changed}, store.FromWatcher, 5, []string{"b", "c"}, []string{"c", "a gone"}, 7, nil},
		{"from another peer", []store.Change{snapshot}, store.FromOther, 5, nil, nil, 0, store.ErrUnfit},
		{"the store is lost", []store.Change{snapshot, store.Lost{Err: errors.New("lost")}}, store.FromStore, 5, nil, nil, 0, store.ErrUnfit},
		{"and available again", []store.Change{snapshot, store.Lost{Err: errors.New("lost")}, changed}, store.FromStore, 5, []string{"b", "c"}, []string{"c", "a gone"}, 7, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cache := store.NewCache()
				for _, change := range c.changes {
					cache.Apply(change, c.from)
				}
				objects, _, err := cache.List()
				assert.Equal(t, c.listed == nil, errors.Is(err, store.ErrUnfit))
				assert.ElementsMatch(t, c.listed, namesOf(objects))
				events, at, err := cache.Watch(t.Context(), c.since, time.Second)
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, c.events, eventNames(events))
				assert.Equal(t, c.at, at)
			})
		})
	}
}

func namesOf(objects []store.Object) []string {
	var names []string
	for _, o := range objects {
		names = append(names, o.Name)
	}
	return names
}

func eventNames(events []store.Event) []string {
	var names []string
	for _, e := range events {
		name := e.Object.Name
		if e.Gone {
			name += " gone"
		}
		names = append(names, name)
	}
	return names
}

// A pending watch ends at once on a change and when the store is lost.
func TestCacheWakesPendingWatches(t *testing.T) {
	cases := []struct {
		name   string
		change store.Change
		err    error
	}{
		{"a change", store.Update{Events: []store.Event{{Object: store.Object{Name: "c"}}}, Revision: 6}, nil},
		{"the store is lost", store.Lost{Err: errors.New("lost")}, store.ErrUnfit},
		{"listed again", store.Snapshot{Objects: named("a"), Revision: 9}, store.ErrCompacted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cache := store.NewCache()
				cache.Apply(store.Snapshot{Revision: 5}, store.FromStore)
				go func() {
					time.Sleep(300 * time.Millisecond)
					cache.Apply(c.change, store.FromStore)
				}()
				began := time.Now()
				_, _, err := cache.Watch(t.Context(), 5, 10*time.Second)
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, 300*time.Millisecond, time.Since(began))
			})
		})
	}
}

func TestACacheForgetsOldEvents(t *testing.T) {
	cache := store.NewCache()
	cache.Apply(store.Snapshot{Revision: 1}, store.FromStore)
	for i := range store.Revision(2000) {
		cache.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: fmt.Sprint(i % 3), Revision: i + 2}}}, Revision: i + 2}, store.FromStore)
	}
	_, _, err := cache.Watch(t.Context(), 1, time.Millisecond)
	assert.ErrorIs(t, err, store.ErrCompacted)
	events, at, err := cache.Watch(t.Context(), 1900, time.Millisecond)
	assert.NoError(t, err)
	assert.Equal(t, store.Revision(2001), at)
	assert.Len(t, events, 3, "the last change of each object")
}

// asked is a reader that records its calls, and may fail, hang or lag.
type asked struct {
	store.Store
	name  string
	calls *[]string
	mu    *sync.Mutex
	err   error
	hangs bool
	at    store.Revision // revision of its lists; 0 means 3
}

func (a *asked) setErr(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

func (a *asked) answer(ctx context.Context, wait time.Duration) error {
	a.mu.Lock()
	*a.calls = append(*a.calls, a.name)
	err := a.err
	a.mu.Unlock()
	if a.hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (a *asked) List(ctx context.Context, _ string) ([]store.Object, store.Revision, error) {
	return nil, lo.CoalesceOrEmpty(a.at, 3), a.answer(ctx, 0)
}

func (a *asked) Watch(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	return nil, since, a.answer(ctx, wait)
}

// The first source that did not fail recently is asked, then the next, and the store if
// none is left, so that the loss of a source costs a bounded time and revisions never go
// back.
func TestSourcesAreAskedBeforeTheStore(t *testing.T) {
	refused := errors.Wrap(store.ErrUnfit, "peer")
	cases := []struct {
		name    string
		a, b    asked
		hangs   bool // the store
		sources int
		rounds  int
		want    []string
		direct  bool
		maxTime time.Duration // for all rounds
	}{
		{"none named", asked{}, asked{}, false, 0, 1, []string{"store"}, true, 8 * time.Second},
		{"the first", asked{}, asked{}, false, 2, 2, []string{"a", "a"}, false, 2 * time.Second},
		{"the first lost the store", asked{err: refused}, asked{}, false, 2, 2, []string{"a", "b", "a", "b"}, false, 2 * time.Second},
		{"the first hangs", asked{hangs: true}, asked{}, false, 2, 2, []string{"a", "b", "b"}, false, 5500 * time.Millisecond},
		{"both lost the store", asked{err: refused}, asked{err: refused}, false, 2, 3, []string{"a", "b"}, false, 0},
		{"both fail", asked{err: errDead}, asked{err: errDead}, false, 2, 3, []string{"a", "b", "store", "store", "store"}, true, 4500 * time.Millisecond},
		{"they fail, and the store is silent", asked{err: errDead}, asked{err: errDead}, true, 2, 1, []string{"a", "b", "store"}, false, 2200 * time.Millisecond},
		{"its history is compacted", asked{err: store.ErrCompacted}, asked{}, false, 2, 1, []string{"a"}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []string
				var mu sync.Mutex
				readers := []store.Source{}
				for i, r := range []asked{c.a, c.b} {
					r.name, r.calls, r.mu = string(rune('a'+i)), &calls, &mu
					readers = append(readers, store.Source{Name: r.name, Reader: answering{&r}})
				}
				s := store.NewSourced(&asked{name: "store", calls: &calls, mu: &mu, hangs: c.hangs}, func() []store.Source { return readers[:c.sources] })
				began := time.Now()
				for range c.rounds {
					_, _, _ = s.Watch(t.Context(), "kind", 5, 8*time.Second)
				}
				assert.Equal(t, c.want, calls)
				assert.Equal(t, c.direct, s.Origin("kind") == store.FromStore)
				assert.LessOrEqual(t, time.Since(began), c.maxTime)
			})
		})
	}
}

var errDead = errors.New("connection refused")

// Ping implements store.Store.
func (a *asked) Ping(ctx context.Context) error {
	pinged := *a
	pinged.name += " pinged"
	return pinged.answer(ctx, 0)
}

// If all sources report that they lost the store, this node finds out within a second
// whether it reaches the store, since it must apply changes. If so, it asks the store; if
// not, it only pings it from time to time. The first source that has the store again
// serves this node.
func TestStoreLostBySources(t *testing.T) {
	cases := []struct {
		name    string
		reached bool
	}{{"this node reaches it", true}, {"this node lost it too", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []string
				var mu sync.Mutex
				source := &asked{name: "a", calls: &calls, mu: &mu, err: errors.Wrap(store.ErrUnfit, "peer")}
				platform := &asked{name: "store", calls: &calls, mu: &mu, hangs: !c.reached}
				s := store.NewSourced(platform, func() []store.Source { return []store.Source{{Name: "a", Reader: answering{source}}} })
				const length = 2 * time.Minute
				began, first := time.Now(), time.Duration(0)
				for time.Since(began) < length {
					_, _, err := s.Watch(t.Context(), "kind", 5, time.Second)
					if err == nil && first == 0 {
						first = time.Since(began)
					}
					time.Sleep(100 * time.Millisecond)
				}
				pings, direct := lo.Count(calls, "store pinged"), lo.Count(calls, "store")
				assert.LessOrEqual(t, pings, int(length/time.Second))
				assert.Equal(t, c.reached, s.Origin("kind") == store.FromStore)
				if c.reached {
					assert.LessOrEqual(t, first, time.Second+700*time.Millisecond, "a watch waits for a second")
					assert.Greater(t, direct, int(length/(2*time.Second)))
				} else {
					assert.Zero(t, direct)
					assert.GreaterOrEqual(t, pings, int(length/(5*time.Second)))
				}
				source.err = nil
				time.Sleep(time.Second)
				_, _, err := s.Watch(t.Context(), "kind", 5, time.Second)
				assert.NoError(t, err)
				assert.False(t, s.Origin("kind") == store.FromStore)
			})
		})
	}
}

// If the sources of the zone lost the store, a source of another zone that has it answers
// the same call and the following ones. A source whose list is older than one already received
// is skipped.
func TestSourceThatHasTheStoreIsFoundAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []string
		var mu sync.Mutex
		unfit := errors.Wrap(store.ErrUnfit, "peer")
		readers := []store.Source{}
		for _, r := range []*asked{{name: "a", err: unfit}, {name: "b", err: unfit}, {name: "c", err: unfit}, {name: "behind", at: 2}, {name: "far", at: 9}} {
			r.calls, r.mu = &calls, &mu
			readers = append(readers, store.Source{Name: r.name, Reader: answering{r}})
		}
		s := store.NewSourced(&asked{name: "store", calls: &calls, mu: &mu, hangs: true}, func() []store.Source { return readers })
		_, at, err := s.List(t.Context(), "kind")
		require.NoError(t, err)
		assert.Equal(t, store.Revision(2), at)
		readers = append(readers[4:5:5], readers[:4]...)
		_, at, err = s.List(t.Context(), "kind")
		require.NoError(t, err)
		assert.Equal(t, store.Revision(9), at)
		readers = append(readers[1:5:5], readers[0])
		calls = nil
		for range 5 {
			_, at, err = s.List(t.Context(), "kind")
			require.NoError(t, err)
			assert.Equal(t, store.Revision(9), at)
		}
		assert.NotContains(t, calls, "store")
		assert.NotContains(t, calls, "store pinged")
	})
}

// A follower whose sources all lost the store asks them again several times a second,
// leader or not, since this node must apply changes as soon as a source has them.
func TestLostSourcesAreRetriedSoon(t *testing.T) {
	for _, leads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			var calls []string
			var mu sync.Mutex
			source := &asked{name: "a", calls: &calls, mu: &mu, err: errors.Wrap(store.ErrUnfit, "peer")}
			s := store.NewSourced(&asked{name: "store", calls: &calls, mu: &mu, err: errDead}, func() []store.Source { return []store.Source{{Name: "a", Reader: answering{source}}} })
			health := store.NewHealth()
			listed := make(chan time.Time, 100)
			go store.Follow(ctx, s, store.FollowOptions{Kind: "kind", Rest: store.FixedRest(time.Millisecond), Health: health, Leads: leads}, func(c store.Change) {
				if _, ok := c.(store.Snapshot); ok {
					listed <- time.Now()
				}
			})
			time.Sleep(20 * time.Second)
			recovered := time.Now()
			source.setErr(nil)
			assert.LessOrEqual(t, (<-listed).Sub(recovered), 1500*time.Millisecond, "the backoff of a source is a second")
		})
	}
}

// A store that is lost again while this node asks it is only pinged from then on.
func TestStoreLostAgainIsOnlyPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []string
		var mu sync.Mutex
		source := &asked{name: "a", calls: &calls, mu: &mu, err: errors.Wrap(store.ErrUnfit, "peer")}
		platform := &asked{name: "store", calls: &calls, mu: &mu}
		s := store.NewSourced(platform, func() []store.Source { return []store.Source{{Name: "a", Reader: answering{source}}} })
		for range 10 {
			_, _, _ = s.Watch(t.Context(), "kind", 5, time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		require.True(t, s.Origin("kind") == store.FromStore)
		platform.err = errDead
		calls = nil
		for range 20 {
			_, _, _ = s.Watch(t.Context(), "kind", 5, time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		assert.LessOrEqual(t, lo.Count(calls, "store"), 2)
	})
}

// A node that reaches nobody, because its link is full or it is partitioned, must not take
// that for an outage of the store in which entries expire.
func TestIsolatedNodeDoesNotSuspectTheStore(t *testing.T) {
	refused := errors.Wrap(store.ErrUnfit, "peer")
	cases := []struct {
		name      string
		source    asked
		sources   int
		leads     bool
		store     error
		suspected bool
	}{
		{"the source is silent and so is the store", asked{hangs: true}, 1, false, errDead, false},
		{"the same for the leader", asked{hangs: true}, 1, true, errDead, false},
		{"the source can't be reached", asked{err: errDead}, 1, false, errDead, false},
		{"the source lost the store", asked{err: refused}, 1, false, errDead, true},
		{"the source lost the store, for the leader", asked{err: refused}, 1, true, errDead, true},
		{"only the source lost the store", asked{err: refused}, 1, false, nil, false},
		{"only the source, for the leader", asked{err: refused}, 1, true, nil, false},
		{"no source is named", asked{}, 0, false, errDead, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []string
				var mu sync.Mutex
				source := c.source
				source.name, source.calls, source.mu = "a", &calls, &mu
				platform := &asked{name: "store", calls: &calls, mu: &mu, err: c.store}
				s := store.NewSourced(platform, func() []store.Source { return []store.Source{{Name: "a", Reader: answering{&source}}}[:c.sources] })
				health := store.NewHealth()
				ctx, cancel := context.WithCancel(t.Context())
				var lost atomic.Int32
				w := store.FollowOptions{Kind: "k", Rest: store.FixedRest(0), Health: health, Leads: c.leads}
				go store.Follow(ctx, s, w, func(change store.Change) {
					if _, ok := change.(store.Lost); ok {
						lost.Add(1)
					}
				})
				suspected := false
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					suspected = suspected || health.Suspected()
				}
				assert.EqualValues(t, 1, lost.Load(), "reported once")
				assert.Equal(t, c.suspected, suspected)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A store that was unavailable to this node too, and answers again, is left to the sources
// for a moment: they reach it as well, and one list of theirs serves many nodes.
func TestRecoveredStoreIsLeftToSourcesFirst(t *testing.T) {
	cases := []struct {
		name   string
		after  time.Duration // until the source has the store again
		direct int           // calls to the store, at most
	}{
		{"the source reaches it soon", 250 * time.Millisecond, 0},
		{"the source does not reach it again", time.Hour, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []string
				var mu sync.Mutex
				source := &asked{name: "a", calls: &calls, mu: &mu, err: errors.Wrap(store.ErrUnfit, "peer")}
				platform := &asked{name: "store", calls: &calls, mu: &mu, err: errDead}
				s := store.NewSourced(platform, func() []store.Source { return []store.Source{{Name: "a", Reader: answering{source}}} })
				list := func(length time.Duration) (answered bool) {
					for began := time.Now(); time.Since(began) < length; time.Sleep(50 * time.Millisecond) {
						_, _, err := s.List(t.Context(), "kind")
						answered = answered || err == nil
					}
					return answered
				}
				require.False(t, list(5*time.Second))
				platform.setErr(nil)
				calls = nil
				for !lo.Contains(calls, "store pinged") {
					require.False(t, list(50*time.Millisecond))
				}
				source.setErr(lo.Ternary(c.after < time.Minute, nil, errors.Wrap(store.ErrUnfit, "peer")))
				require.True(t, list(3*time.Second), "one of them answers")
				assert.Equal(t, c.direct == 0, lo.Count(calls, "store") == 0)
			})
		})
	}
}

// A node passes on to its zone what it has from a watcher, but not to nodes that pass on
// what they receive. A pending watch also ends once the origin is no longer near enough.
func TestUpdatesPassThroughTwoNodesAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cases := []struct {
			from  store.Origin
			least store.Origin
			err   error
		}{
			{store.FromStore, store.FromStore, nil},
			{store.FromStore, store.FromWatcher, nil},
			{store.FromWatcher, store.FromWatcher, nil},
			{store.FromWatcher, store.FromStore, store.ErrUnfit},
			{store.FromOther, store.FromWatcher, store.ErrUnfit},
			{store.FromOther, store.FromStore, store.ErrUnfit},
		}
		for _, c := range cases {
			cache := store.NewCache()
			cache.Apply(store.Snapshot{Revision: 5}, c.from)
			_, err := cache.ListFrom(c.least)
			assert.ErrorIs(t, err, c.err)
			_, err = cache.WatchFrom(t.Context(), c.least, 5, time.Second)
			assert.ErrorIs(t, err, c.err)
		}
		cache := store.NewCache()
		cache.Apply(store.Snapshot{Revision: 5}, store.FromStore)
		time.AfterFunc(time.Second, func() { cache.Apply(store.Update{Revision: 6}, store.FromWatcher) })
		began := time.Now()
		_, err := cache.WatchFrom(t.Context(), store.FromStore, 5, time.Minute)
		assert.ErrorIs(t, err, store.ErrUnfit)
		assert.Equal(t, time.Second, time.Since(began))
	})
}
