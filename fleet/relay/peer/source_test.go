package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

func notBusy() bool { return false }

// A delay caused by this node's own busy link must not make its sources count as silent.
func TestBusyLinkExtendsTimeouts(t *testing.T) {
	for _, busy := range []bool{false, true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(store.AnswerTimeout + 200*time.Millisecond)
			_, _ = w.Write([]byte(`{"revision":7}`))
		}))
		isBusy := func() bool { return busy }
		answer, err := Remote{client: sourceClient(isBusy), address: strings.TrimPrefix(server.URL, "http://"), busy: isBusy, eras: store.NewEras()}.Watch(t.Context(), "k", 1, 10*time.Millisecond)
		assert.Equal(t, busy, err == nil, "%v", err)
		assert.Equal(t, busy, answer.Revision == 7)
		server.Close()
	}
}

// remoteTo returns a remote whose peer answers from a cache.
func remoteTo(t *testing.T, cache *store.Cache) Remote {
	t.Helper()
	server := httptest.NewServer(CacheHandler(map[string]*store.Cache{"k": cache}))
	t.Cleanup(server.Close)
	return Remote{client: sourceClient(notBusy), address: strings.TrimPrefix(server.URL, "http://"), busy: notBusy, eras: store.NewEras()}
}

func TestAPeerAnswersForTheStore(t *testing.T) {
	ctx := context.Background()
	cache := store.NewCache()
	r := remoteTo(t, cache)
	_, err := r.List(ctx, "k")
	assert.ErrorIs(t, err, store.ErrUnfit)
	_, err = r.List(ctx, "other")
	assert.ErrorContains(t, err, "status 404")

	o := store.Object{Kind: "k", Name: "n", Revision: 4, Data: json.RawMessage(`{"a":1}`)}
	cache.Apply(store.Snapshot{Objects: []store.Object{o}, Revision: 4}, store.FromStore)
	list, err := r.List(ctx, "k")
	require.NoError(t, err)
	assert.Equal(t, []store.Object{o}, list.Objects)
	assert.Equal(t, store.Revision(4), list.Revision)

	cache.Apply(store.Update{Events: []store.Event{{Object: store.Object{Name: "n"}, Gone: true}}, Revision: 6}, store.FromStore)
	events, err := r.Watch(ctx, "k", 4, time.Second)
	require.NoError(t, err)
	assert.Equal(t, []store.Event{{Object: store.Object{Kind: "k", Name: "n"}, Gone: true}}, events.Events)
	assert.Equal(t, store.Revision(6), events.Revision)
	events, err = r.Watch(ctx, "k", 6, 10*time.Millisecond)
	require.NoError(t, err)
	assert.Equal(t, store.Revision(6), events.Revision)
	_, err = r.Watch(ctx, "k", 3, time.Second)
	assert.ErrorIs(t, err, store.ErrCompacted)
	cache.Apply(store.Lost{Err: errors.New("lost")}, store.FromStore)
	_, err = r.Watch(ctx, "k", 6, time.Second)
	assert.ErrorIs(t, err, store.ErrUnfit)
}

// A bad entry is passed on as such, with what is known of it, so that a node that asks a
// delegate gets the same as one that asks the store, from a list and from a watch. A later
// valid entry is passed on too.
func TestPeerPassesOnBadEntries(t *testing.T) {
	good := func(name string, revision store.Revision) store.Object {
		return store.Object{Kind: "k", Name: name, Revision: revision, Data: json.RawMessage(`{"a":1}`)}
	}
	bad := func(name string) store.Object {
		return store.Object{Kind: "k", Name: name, Revision: 6, Fault: "entry: no JSON ÿ <"}
	}
	passed := func(name string) store.Object {
		o := bad(name)
		o.Fault = strings.ToValidUTF8(o.Fault, "�")
		return o
	}
	unread := store.Object{Kind: "k", Name: "y", Revision: 6, Data: json.RawMessage(`"of another type"`)}
	cache := store.NewCache()
	r := remoteTo(t, cache)
	cache.Apply(store.Snapshot{Objects: []store.Object{good("x", 4), good("y", 4), good("z", 4)}, Revision: 4}, store.FromStore)
	cache.Apply(store.Update{Events: []store.Event{{Object: bad("x")}, {Object: unread}, {Object: bad("")}}, Revision: 6}, store.FromStore)
	list, err := r.List(t.Context(), "k")
	require.NoError(t, err)
	assert.Equal(t, store.Revision(6), list.Revision)
	assert.ElementsMatch(t, []store.Object{passed("x"), unread, good("z", 4), passed("")}, list.Objects)
	events, err := r.Watch(t.Context(), "k", 4, time.Second)
	require.NoError(t, err)
	assert.Equal(t, []store.Event{{Object: passed("x")}, {Object: unread}, {Object: passed("")}}, events.Events)
	cache.Apply(store.Update{Events: []store.Event{{Object: good("x", 8)}}, Revision: 8}, store.FromStore)
	events, err = r.Watch(t.Context(), "k", 6, time.Second)
	require.NoError(t, err)
	assert.Equal(t, []store.Event{{Object: good("x", 8)}}, events.Events)
}

// A source that accepts a call and does not answer is detected soon; an answer that has
// begun may take longer. Large answers are compressed.
func TestSilentSourceDiffersFromSlowOne(t *testing.T) {
	big := strings.Repeat(`{"route":"a"},`, 5000)
	cases := []struct {
		name  string
		begin time.Duration // until the answer begins
		rest  time.Duration // from then until it ends
		fails bool
	}{
		{"at once", 0, 0, false},
		{"slow after it has begun", 0, 700 * time.Millisecond, false},
		{"silent", 5 * time.Second, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(c.begin):
				case <-r.Context().Done():
					return
				}
				_, _ = w.Write([]byte(`{"revision":3,`))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(c.rest)
				_, _ = w.Write([]byte(`"objects":[]}`))
			}))
			defer server.Close()
			began := time.Now()
			_, err := Remote{client: sourceClient(notBusy), address: strings.TrimPrefix(server.URL, "http://"), busy: notBusy, eras: store.NewEras()}.Watch(t.Context(), "k", 1, 10*time.Millisecond)
			assert.Equal(t, c.fails, err != nil)
			assert.Less(t, time.Since(began), 3*time.Second)
		})
	}
	cache := store.NewCache()
	cache.Apply(store.Snapshot{Objects: []store.Object{{Name: "n", Revision: 1, Data: json.RawMessage("[" + strings.TrimSuffix(big, ",") + "]")}}, Revision: 1}, store.FromStore)
	req := httptest.NewRequest(http.MethodGet, objectsPath+"k", nil)
	req.Header.Set("Accept-Encoding", "gzip")
	answer := httptest.NewRecorder()
	CacheHandler(map[string]*store.Cache{"k": cache}).ServeHTTP(answer, req)
	assert.Equal(t, "gzip", answer.Header().Get("Content-Encoding"))
	assert.Less(t, answer.Body.Len(), len(big)/10)
	list, err := remoteTo(t, cache).List(t.Context(), "k")
	require.NoError(t, err)
	require.Len(t, list.Objects, 1)
	assert.Greater(t, len(list.Objects[0].Data), 50_000)
}

// Guards against content that becomes younger with each node that passes it on.
func TestTheAgeOfContentIsPassedOn(t *testing.T) {
	const age, tolerance = 800 * time.Millisecond, 300 * time.Millisecond
	first, second := store.NewCache(), store.NewCache()
	first.ApplyFrom(store.Snapshot{Revision: 4}, store.Provenance{Origin: store.FromStore, Confirmed: time.Now().Add(-age)})
	for _, hop := range []struct{ from, to *store.Cache }{{first, second}, {second, nil}} {
		a, err := remoteTo(t, hop.from).List(t.Context(), "k")
		require.NoError(t, err)
		assert.InDelta(t, age, time.Since(a.Confirmed), float64(tolerance))
		if hop.to != nil {
			hop.to.ApplyFrom(store.Snapshot{Revision: 4}, store.Provenance{Origin: store.FromWatcher, Confirmed: a.Confirmed})
		}
	}
	cases := []struct {
		name, answer string
		age          time.Duration
	}{
		{"an earlier build sends no age", `{"revision":3}`, 0},
		{"below zero", `{"revision":3,"ageMs":-500}`, 0},
		{"beyond any time", `{"revision":3,"ageMs":9223372036854775807}`, 24 * time.Hour},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.answer)) }))
		a, err := Remote{client: sourceClient(notBusy), address: server.Listener.Addr().String(), busy: notBusy, eras: store.NewEras()}.List(t.Context(), "k")
		require.NoError(t, err, c.name)
		assert.InDelta(t, c.age, time.Since(a.Confirmed), float64(tolerance), c.name)
		server.Close()
	}
}

func TestInvalidPeerRequestsAreRefused(t *testing.T) {
	cache := store.NewCache()
	cache.Apply(store.Snapshot{Revision: 1}, store.FromStore)
	handler := CacheHandler(map[string]*store.Cache{"k": cache})
	for _, target := range []string{"/objects/k?since=x&waitMs=1", "/objects/k?since=1&waitMs=soon", "/objects/k?since="} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, target, nil))
		assert.Equal(t, http.StatusBadRequest, answer.Code, target)
	}
}

// In a large fleet a node asks its zone's delegates, then some of other zones. Delegates ask
// those that watch the store, for what they have from it. These have no sources.
func TestNodesAskTheDelegatesOfTheirZone(t *testing.T) {
	all := members(73)
	writers := Writers(all, func() []Member { return all })
	delegate, _ := lo.Find(all, func(m Member) bool { return writers[m.Name] })
	first := gossipOf(delegate.Name, all)
	first.registry.self = delegate
	watchers := first.watchers(writers)
	assert.Len(t, watchers, regionWatchers)
	zoneOf := map[string]string{}
	for _, self := range all {
		zoneOf[self.Name] = self.Zone
	}
	for _, self := range all {
		var near, any []Member
		for _, m := range all {
			if !writers[m.Name] || m.Name == self.Name {
				continue
			}
			any = append(any, m)
			if m.Zone == self.Zone {
				near = append(near, m)
			}
		}
		g := gossipOf(self.Name, all)
		g.registry.self = self
		sources := *g.sourcesOf(writers, watchers, near, any)
		switch {
		case watchers[self.Name]:
			assert.Empty(t, sources)
			continue
		case writers[self.Name]:
			assert.Len(t, sources, regionWatchers)
			for _, s := range sources {
				assert.True(t, watchers[s.Name])
				assert.True(t, s.Watches)
			}
			continue
		}
		assert.Len(t, sources, zoneWriters+maxFarSources)
		for i, s := range sources {
			assert.True(t, writers[s.Name])
			assert.False(t, s.Watches)
			assert.Equal(t, i < zoneWriters, zoneOf[s.Name] == self.Zone)
		}
	}
}

// The nodes with the fastest links watch for others.
func TestFastestLinksWatchForOthers(t *testing.T) {
	all := members(73)
	for i := range all {
		all[i].LinkMbps = 10
		if i%9 == 0 {
			all[i].LinkMbps = 200
		}
	}
	writers := Writers(all, func() []Member { return ranked(all) })
	for _, m := range all {
		if writers[m.Name] {
			assert.Equal(t, 200.0, m.LinkMbps)
		}
	}
}
