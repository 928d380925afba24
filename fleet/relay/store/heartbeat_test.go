package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Ping implements store.Store.
func (s *silence) Ping(ctx context.Context) error {
	silent, _, _ := s.now()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// cacheReader reads a node's caches as a peer does.
type cacheReader map[string]*store.Cache

func (c cacheReader) List(_ context.Context, kind string) ([]store.Object, store.Revision, error) {
	return c[kind].List()
}

func (c cacheReader) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	return c[kind].Watch(ctx, since, wait)
}

var heartbeatKinds = []string{"policy", "endpoints", "evacuations"}

// followAll follows every kind, the first one as leader, and passes on each change.
func followAll(ctx context.Context, s *store.Sourced, health *store.Health, longest func() time.Duration, apply func(kind string, c store.Change)) {
	for i, kind := range heartbeatKinds {
		w := store.FollowOptions{Kind: kind, Rest: store.FixedRest(time.Millisecond), History: 20 * time.Second, Health: health, Leads: i == 0}
		if i == 0 {
			w.MaxWait = longest
		}
		go store.Follow(ctx, s, w, func(c store.Change) { apply(kind, c) })
	}
}

// A node whose sources are silently partitioned from the store, while it is not, receives
// changes within the time in which a leaving endpoint must get no new work, whenever the
// partition begins and for every kind.
func TestChangesArriveWhileSourcesArePartitioned(t *testing.T) {
	for _, leaving := range []time.Duration{2 * time.Second, 3 * time.Second} {
		for begins := 5 * time.Second; begins < 8*time.Second; begins += 230 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) { testPartitionedSource(t, leaving, begins) })
		}
	}
}

func testPartitionedSource(t *testing.T, leaving, begins time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	behind := &silence{revision: 1, changed: make(chan struct{})} // the store as the source observes it
	reached := &silence{revision: 1, changed: make(chan struct{})}
	source := source(ctx, behind, leaving)
	node := store.NewSourced(reached, func() []store.Source { return []store.Source{{Name: "a", Reader: answering{source}}} })
	var mu sync.Mutex
	known := map[string]time.Time{}
	time.Sleep(time.Second)
	followAll(ctx, node, store.NewHealth(), func() time.Duration { return time.Hour }, func(kind string, c store.Change) {
		mu.Lock()
		defer mu.Unlock()
		s, listed := c.(store.Snapshot)
		u, updated := c.(store.Update)
		if _, before := known[kind]; !before && (listed && s.Revision == 2 || updated && u.Revision == 2) {
			known[kind] = time.Now()
		}
	})
	time.Sleep(begins)
	behind.set(true, 1)
	reached.set(false, 2)
	changed := time.Now()
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, known, len(heartbeatKinds))
	for kind, at := range known {
		assert.Less(t, at.Sub(changed), leaving, "%s, %s", kind, begins)
	}
}

// source returns the caches of a node that watches the store for others.
func source(ctx context.Context, s store.Store, leaving time.Duration) cacheReader {
	caches := cacheReader{}
	for _, kind := range heartbeatKinds {
		caches[kind] = store.NewCache()
	}
	health := store.NewHealth()
	direct := store.NewSourced(s, func() []store.Source { return nil })
	followAll(ctx, direct, health, func() time.Duration { return 2 * time.Second }, func(kind string, c store.Change) {
		caches[kind].Apply(c, direct.Origin(kind))
	})
	heartbeat := store.Heartbeat{
		Store: s, Every: leaving * 15 / 100, Health: health, Log: &log.Logger{Handler: discard.New()},
		Serves: func() bool { return true },
		Lost: func(err error) {
			for _, cache := range caches {
				cache.Apply(store.Lost{Err: err}, store.FromOther)
			}
		},
	}
	go heartbeat.Run(ctx)
	return caches
}

// Soon after the store is available again, the source answers for every kind, although
// watches were sent during the silence.
func TestSourceServesAgainAfterAnOutage(t *testing.T) {
	for length := 500 * time.Millisecond; length < 9*time.Second; length += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			s := &silence{revision: 1, changed: make(chan struct{})}
			source := source(ctx, s, 3*time.Second)
			time.Sleep(5 * time.Second)
			s.set(true, 1)
			time.Sleep(length)
			s.set(false, 2)
			time.Sleep(3 * time.Second)
			for _, kind := range heartbeatKinds {
				_, at, err := source.List(ctx, kind)
				assert.NoError(t, err, "%s after %s", kind, length)
				assert.Equal(t, store.Revision(2), at)
			}
		})
	}
}
