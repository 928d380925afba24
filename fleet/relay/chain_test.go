package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// sourceLink reads the cache of a node, and fails as the node fails.
type sourceLink struct {
	store.Reader
	to *chainNode
}

func (l *sourceLink) List(ctx context.Context, kind string) ([]store.Object, store.Revision, error) {
	if err := l.to.broken(ctx, 0); err != nil {
		return nil, 0, err
	}
	return l.Reader.List(ctx, kind)
}

// Watch loses an answer that would arrive after the node failed.
func (l *sourceLink) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := l.to.broken(ctx, wait); err != nil {
		return nil, 0, err
	}
	began := time.Now()
	events, at, err := l.Reader.Watch(ctx, kind, since, wait)
	if broke := l.to.broken(ctx, max(wait-time.Since(began), 0)); broke != nil {
		return nil, 0, broke
	}
	return events, at, err
}

// cacheReader reads a node's cache as a peer does.
type cacheReader struct {
	cache     *store.Cache
	minOrigin store.Origin
}

func (c cacheReader) List(context.Context, string) ([]store.Object, store.Revision, error) {
	return c.cache.ListFrom(c.minOrigin)
}

func (c cacheReader) Watch(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	return c.cache.WatchFrom(ctx, c.minOrigin, since, wait)
}

// platformStore is the store itself, as a cache that only the test changes.
type platformStore struct {
	store.Store
	cacheReader
	mu           sync.Mutex
	unavailable  bool
	calls, pings int
}

func (p *platformStore) count(to *int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	*to++
	if p.unavailable {
		return store.ErrRefused
	}
	return nil
}

// setUnavailable makes the store unavailable or available again, and returns the calls and pings
// since the last change.
func (p *platformStore) setUnavailable(unavailable bool) (calls, pings int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls, pings = p.calls, p.pings
	p.unavailable, p.calls, p.pings = unavailable, 0, 0
	return calls, pings
}

func (p *platformStore) List(ctx context.Context, kind string) ([]store.Object, store.Revision, error) {
	if err := p.count(&p.calls); err != nil {
		return nil, 0, err
	}
	return p.cacheReader.List(ctx, kind)
}

func (p *platformStore) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := p.count(&p.calls); err != nil {
		return nil, 0, err
	}
	return p.cacheReader.Watch(ctx, kind, since, wait)
}

func (p *platformStore) Ping(context.Context) error { return p.count(&p.pings) }

// chainNode is one node of the chain from the store to the nodes that act on updates.
type chainNode struct {
	cache   *store.Cache
	mu      sync.Mutex
	failure string                       // how its links fail; "" means they work
	inForce map[store.Revision]time.Time // when each revision came into force
}

// follow starts a node that asks the given sources, or the store if there are none.
func follow(ctx context.Context, s store.Store, rest time.Duration, firsthand bool, from ...*chainNode) *chainNode {
	h := &chainNode{cache: store.NewCache(), inForce: map[store.Revision]time.Time{}}
	minOrigin := store.FromWatcher
	if firsthand {
		minOrigin = store.FromStore
	}
	var sources []store.Source
	for i, f := range from {
		sources = append(sources, store.Source{Name: fmt.Sprint("source", i), Reader: &sourceLink{cacheReader{f.cache, minOrigin}, f}, Watches: firsthand})
	}
	sourced := store.NewSourced(s, func() []store.Source { return sources })
	w := store.FollowOptions{Kind: "k", History: 20 * time.Second, Rest: func() time.Duration { return restAfter(sourced.Origin("k"), rest) }}
	go store.Follow(ctx, sourced, w, func(c store.Change) {
		h.cache.Apply(c, sourced.Origin("k"))
		h.record(c)
	})
	return h
}

// fails breaks the links of the node: "silent" or "refused".
func (h *chainNode) fails(how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failure = how
}

// broken returns an error if the links are broken, after the timeout for a silent peer.
func (h *chainNode) broken(ctx context.Context, wait time.Duration) error {
	h.mu.Lock()
	fail := h.failure
	h.mu.Unlock()
	switch fail {
	case "silent":
		select {
		case <-ctx.Done():
		case <-time.After(wait + store.AnswerTimeout):
		}
		return errors.New("silent")
	case "refused":
		return errors.New("refused")
	}
	return nil
}

func (h *chainNode) record(c store.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := store.Revision(0)
	switch c := c.(type) {
	case store.Snapshot:
		at = c.Revision
	case store.Update:
		at = c.Revision
	case store.Lost:
		return
	}
	if _, known := h.inForce[at]; !known {
		h.inForce[at] = time.Now()
	}
}

// Guards against late updates at a node that asks the delegates of its zone, which ask the two
// watchers of the region, if one of them fails silently just before the change and another change
// came just before.
func TestUpdatesArriveInTimeWhenANodeFails(t *testing.T) {
	const (
		short = 2 * time.Second // the shortest bound of the default settings
		long  = 3 * time.Second // one of the shorter bounds of several zones and regions
	)
	rest := fraction(max(policyRestShare, engineRestShare), short)
	cases := []struct {
		name  string
		fail  string
		lost  func(watchers, delegates []*chainNode) []*chainNode
		limit time.Duration
	}{
		{"nobody", "silent", func(_, _ []*chainNode) []*chainNode { return nil }, short},
		{"a watcher is silent", "silent", func(w, _ []*chainNode) []*chainNode { return w[:1] }, short},
		{"a watcher refuses", "refused", func(w, _ []*chainNode) []*chainNode { return w[:1] }, short},
		{"a delegate is silent", "silent", func(_, d []*chainNode) []*chainNode { return d[:1] }, short},
		{"a watcher and a delegate are silent", "silent", func(w, d []*chainNode) []*chainNode { return []*chainNode{w[0], d[0]} }, short},
		{"all delegates of the zone refuse", "refused", func(_, d []*chainNode) []*chainNode { return d }, short},
		{"all but the store refuse", "refused", func(w, d []*chainNode) []*chainNode { return append(append([]*chainNode{}, w...), d...) }, short},
		{"both watchers are silent", "silent", func(w, _ []*chainNode) []*chainNode { return w }, long},
		{"all delegates of the zone are silent", "silent", func(_, d []*chainNode) []*chainNode { return d }, short},
		{"all delegates of the region are silent", "silent", func(w, d []*chainNode) []*chainNode { return append(append([]*chainNode{}, w...), d...) }, long},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				storeCache := store.NewCache()
				storeCache.Apply(store.Snapshot{Revision: 1}, store.FromStore)
				s := &platformStore{cacheReader: cacheReader{storeCache, store.FromStore}}
				watchers := []*chainNode{follow(ctx, s, rest, false), follow(ctx, s, rest, false)}
				time.Sleep(time.Second)
				delegates := []*chainNode{follow(ctx, s, rest, true, watchers[0], watchers[1]), follow(ctx, s, rest, true, watchers[1], watchers[0])}
				time.Sleep(time.Second)
				remote := follow(ctx, s, rest, false) // in another region
				node := follow(ctx, s, rest, false, delegates[0], delegates[1], watchers[0], watchers[1], remote)
				time.Sleep(5300 * time.Millisecond)
				storeCache.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 2}}}, Revision: 2}, store.FromStore)
				time.Sleep(10 * time.Millisecond)
				for _, h := range c.lost(watchers, delegates) {
					h.fails(c.fail)
				}
				changed := time.Now()
				storeCache.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 3}}}, Revision: 3}, store.FromStore)
				time.Sleep(3 * long)
				node.mu.Lock()
				defer node.mu.Unlock()
				in, arrived := node.inForce[3]
				assert.True(t, arrived)
				assert.Less(t, in.Sub(changed), c.limit)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a burst of store calls when a whole region reconnects after a partition: the two
// watchers ask the store, and hardly any other node. Each node has the changes in time.
func TestAReconnectingRegionDoesNotFloodTheStore(t *testing.T) {
	const (
		nodes   = 40
		contact = 3 * time.Second // the shortest time in which everything must be in force again
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		storeCache := store.NewCache()
		storeCache.Apply(store.Snapshot{Revision: 1}, store.FromStore)
		platform := &platformStore{cacheReader: cacheReader{storeCache, store.FromStore}}
		s := func() store.Store { return store.Probed(platform) }
		rest := fraction(engineRestShare, 2*time.Second)
		watchers := []*chainNode{follow(ctx, s(), rest, false), follow(ctx, s(), rest, false)}
		time.Sleep(time.Second)
		var delegates, others []*chainNode
		for i := range 4 {
			delegates = append(delegates, follow(ctx, s(), rest, true, watchers[i%2], watchers[1-i%2]))
		}
		time.Sleep(time.Second)
		for i := range nodes {
			zone := i % 2 * 2
			others = append(others, follow(ctx, s(), rest, false, delegates[zone+i/2%2], delegates[zone+1-i/2%2], watchers[0], watchers[1]))
		}
		time.Sleep(20 * time.Second)
		calls, _ := platform.setUnavailable(true)
		assert.Less(t, calls, 20, "two watch, and no other node asks")
		for _, w := range watchers { // as a heartbeat does that finds the store unavailable
			w.cache.Apply(store.Lost{Err: store.ErrRefused}, store.FromOther)
		}
		storeCache.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 2}}}, Revision: 2}, store.FromStore) // ends the watches
		time.Sleep(10 * time.Second)
		calls, pings := platform.setUnavailable(false)
		assert.LessOrEqual(t, calls, 2+len(watchers)+len(delegates)+nodes/4)
		assert.LessOrEqual(t, pings, 10*(nodes+len(delegates))+100)
		storeCache.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 3}}}, Revision: 3}, store.FromStore)
		back := time.Now()
		time.Sleep(10 * time.Second)
		calls, _ = platform.setUnavailable(false)
		assert.LessOrEqual(t, calls, 2*len(watchers)+nodes/4, "lists and watches of the two, and few of others")
		for i, h := range append(append(watchers, delegates...), others...) {
			h.mu.Lock()
			in, arrived := h.inForce[3]
			h.mu.Unlock()
			assert.True(t, arrived, i)
			assert.Less(t, in.Sub(back), contact, i)
		}
		cancel()
		synctest.Wait()
	})
}
