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

// way is how a node is reached, which breaks with it.
type way struct {
	store.Reader
	to *hand
}

func (l *way) List(ctx context.Context, kind string) ([]store.Object, store.Revision, error) {
	if err := l.to.broken(ctx, 0); err != nil {
		return nil, 0, err
	}
	return l.Reader.List(ctx, kind)
}

// Watch loses an answer that would come after the link broke.
func (l *way) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
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
	cache *store.Cache
	least store.Origin
}

func (c cacheReader) List(context.Context, string) ([]store.Object, store.Revision, error) {
	return c.cache.ListFrom(c.least)
}

func (c cacheReader) Watch(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	return c.cache.WatchFrom(ctx, c.least, since, wait)
}

// platformStore is the store itself, as a cache that only the test changes.
type platformStore struct {
	store.Store
	cacheReader
	mu           sync.Mutex
	away         bool
	calls, pings int
}

func (p *platformStore) count(to *int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	*to++
	if p.away {
		return store.ErrRefused
	}
	return nil
}

// turn has the store go away or come back, and returns the calls and pings since it last did.
func (p *platformStore) turn(away bool) (calls, pings int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls, pings = p.calls, p.pings
	p.away, p.calls, p.pings = away, 0, 0
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

// hand is one node of the chain from the store to those that act on its news.
type hand struct {
	cache *store.Cache
	mu    sync.Mutex
	fail  string                       // how its links fail; "" is not
	seen  map[store.Revision]time.Time // when each revision was in force
}

// follow starts a node that asks some sources, or the store where there are none.
func follow(ctx context.Context, s store.Store, rest time.Duration, firsthand bool, from ...*hand) *hand {
	h := &hand{cache: store.NewCache(), seen: map[store.Revision]time.Time{}}
	least := store.FromWatcher
	if firsthand {
		least = store.FromStore
	}
	var sources []store.Source
	for i, f := range from {
		sources = append(sources, store.Source{Name: fmt.Sprint("source", i), Reader: &way{cacheReader{f.cache, least}, f}, Watches: firsthand})
	}
	sourced := store.NewSourced(s, func() []store.Source { return sources })
	w := store.Watching{Kind: "k", History: 20 * time.Second, Rest: func() time.Duration { return restAfter(sourced.Origin("k"), rest) }}
	go store.Follow(ctx, sourced, w, func(c store.Change) {
		h.cache.Apply(c, sourced.Origin("k"))
		h.note(c)
	})
	return h
}

// fails breaks the node's links: "silent" or "refused".
func (h *hand) fails(how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail = how
}

// broken waits as long as a silent peer is waited for.
func (h *hand) broken(ctx context.Context, wait time.Duration) error {
	h.mu.Lock()
	fail := h.fail
	h.mu.Unlock()
	switch fail {
	case "silent":
		select {
		case <-ctx.Done():
		case <-time.After(wait + store.AnswerBegins):
		}
		return errors.New("silent")
	case "refused":
		return errors.New("refused")
	}
	return nil
}

func (h *hand) note(c store.Change) {
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
	if _, known := h.seen[at]; !known {
		h.seen[at] = time.Now()
	}
}

// A change is in force in time at a node that is told by its zone's delegates, which are
// told by the region's two that watch the store, also when one of them is lost in silence
// just before the change, and when another change came just before.
func TestNewsArrivesInTimeWhenAHandIsLost(t *testing.T) {
	const (
		short = 2 * time.Second // the shortest bound that settings have by default
		long  = 3 * time.Second // of the shorter ones of several zones and regions
	)
	rest := fraction(max(policyRestShare, engineRestShare), short)
	cases := []struct {
		name string
		fail string
		lost func(watchers, delegates []*hand) []*hand
		most time.Duration
	}{
		{"nobody", "silent", func(_, _ []*hand) []*hand { return nil }, short},
		{"a watcher is silent", "silent", func(w, _ []*hand) []*hand { return w[:1] }, short},
		{"a watcher refuses", "refused", func(w, _ []*hand) []*hand { return w[:1] }, short},
		{"a delegate is silent", "silent", func(_, d []*hand) []*hand { return d[:1] }, short},
		{"a watcher and a delegate are silent", "silent", func(w, d []*hand) []*hand { return []*hand{w[0], d[0]} }, short},
		{"all delegates of the zone refuse", "refused", func(_, d []*hand) []*hand { return d }, short},
		{"all but the store refuse", "refused", func(w, d []*hand) []*hand { return append(append([]*hand{}, w...), d...) }, short},
		{"both watchers are silent", "silent", func(w, _ []*hand) []*hand { return w }, long},
		{"all delegates of the zone are silent", "silent", func(_, d []*hand) []*hand { return d }, short},
		{"all delegates of the region are silent", "silent", func(w, d []*hand) []*hand { return append(append([]*hand{}, w...), d...) }, long},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				held := store.NewCache()
				held.Apply(store.Snapshot{Revision: 1}, store.FromStore)
				s := &platformStore{cacheReader: cacheReader{held, store.FromStore}}
				watchers := []*hand{follow(ctx, s, rest, false), follow(ctx, s, rest, false)}
				time.Sleep(time.Second)
				delegates := []*hand{follow(ctx, s, rest, true, watchers[0], watchers[1]), follow(ctx, s, rest, true, watchers[1], watchers[0])}
				time.Sleep(time.Second)
				far := follow(ctx, s, rest, false) // in another region
				node := follow(ctx, s, rest, false, delegates[0], delegates[1], watchers[0], watchers[1], far)
				time.Sleep(5300 * time.Millisecond)
				held.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 2}}}, Revision: 2}, store.FromStore)
				time.Sleep(10 * time.Millisecond)
				for _, h := range c.lost(watchers, delegates) {
					h.fails(c.fail)
				}
				changed := time.Now()
				held.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 3}}}, Revision: 3}, store.FromStore)
				time.Sleep(3 * long)
				node.mu.Lock()
				defer node.mu.Unlock()
				in, arrived := node.seen[3]
				assert.True(t, arrived)
				assert.Less(t, in.Sub(changed), c.most)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A region that is cut off from the store as a whole, and finds it back, asks it by the two
// that watch it, and hardly by those that are told by others: the return is no herd, and
// each node has what changed meanwhile in time.
func TestARegionThatComesBackIsNoHerd(t *testing.T) {
	const (
		nodes   = 40
		contact = 3 * time.Second // the shortest in which all has to be in force again
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		held := store.NewCache()
		held.Apply(store.Snapshot{Revision: 1}, store.FromStore)
		platform := &platformStore{cacheReader: cacheReader{held, store.FromStore}}
		s := func() store.Store { return store.Probed(platform) }
		rest := fraction(engineRestShare, 2*time.Second)
		watchers := []*hand{follow(ctx, s(), rest, false), follow(ctx, s(), rest, false)}
		time.Sleep(time.Second)
		var delegates, others []*hand
		for i := range 4 {
			delegates = append(delegates, follow(ctx, s(), rest, true, watchers[i%2], watchers[1-i%2]))
		}
		time.Sleep(time.Second)
		for i := range nodes {
			zone := i % 2 * 2
			others = append(others, follow(ctx, s(), rest, false, delegates[zone+i/2%2], delegates[zone+1-i/2%2], watchers[0], watchers[1]))
		}
		time.Sleep(20 * time.Second)
		calls, _ := platform.turn(true)
		assert.Less(t, calls, 20, "two watch, and nobody else asks")
		for _, w := range watchers { // as a heartbeat does that finds the store lost
			w.cache.Apply(store.Lost{Err: store.ErrRefused}, store.FromOther)
		}
		held.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 2}}}, Revision: 2}, store.FromStore) // ends the watches
		time.Sleep(10 * time.Second)
		calls, pings := platform.turn(false)
		assert.LessOrEqual(t, calls, 2+len(watchers)+len(delegates)+nodes/4)
		assert.LessOrEqual(t, pings, 10*(nodes+len(delegates))+100)
		held.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 3}}}, Revision: 3}, store.FromStore)
		back := time.Now()
		time.Sleep(10 * time.Second)
		calls, _ = platform.turn(false)
		assert.LessOrEqual(t, calls, 2*len(watchers)+nodes/4, "lists and watches of the two, and few others'")
		for i, h := range append(append(watchers, delegates...), others...) {
			h.mu.Lock()
			in, arrived := h.seen[3]
			h.mu.Unlock()
			assert.True(t, arrived, i)
			assert.Less(t, in.Sub(back), contact, i)
		}
		cancel()
		synctest.Wait()
	})
}
