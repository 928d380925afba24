package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// silence is a store that drops calls sent while it is silent: such a call gets no answer,
// not even when the store is available again.
type silence struct {
	store.Store
	mu       sync.Mutex
	silent   bool
	revision store.Revision
	changed  chan struct{}
}

func (s *silence) now() (bool, store.Revision, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.revision, s.changed
}

func (s *silence) set(silent bool, revision store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.revision = silent, revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silence) List(ctx context.Context, _ string) ([]store.Object, store.Revision, error) {
	silent, revision, _ := s.now()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return nil, revision, nil
}

func (s *silence) Watch(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	silent, revision, changed := s.now()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if revision == since {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
		_, revision, _ = s.now()
	}
	return nil, revision, nil
}

// Changes arrive soon after a silent store is available again, whenever the silence began
// and whenever watches were sent during it.
func TestWatchSentDuringSilenceIsRestarted(t *testing.T) {
	cases := []struct {
		name   string
		leads  bool // the leader's watch has a maximum wait
		notify func(*store.Health)
	}{
		{"the leader detects it", true, func(*store.Health) {}},
		{"another part of the node reached the store again", false, func(h *store.Health) { h.Reconnected("accounts") }},
		{"a peer did", false, (*store.Health).Renew},
	}
	for _, c := range cases {
		for begins := 500 * time.Millisecond; begins < 4*time.Second; begins += 350 * time.Millisecond {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testRestartedWatch(t, begins, c.leads, c.notify) })
			})
		}
	}
}

func testRestartedWatch(t *testing.T, begins time.Duration, leads bool, notify func(*store.Health)) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &silence{revision: 1, changed: make(chan struct{})}
	health := store.NewHealth()
	var mu sync.Mutex
	delivered := map[string]store.Revision{}
	follow := func(kind string, leader bool) {
		w := store.FollowOptions{Kind: kind, Rest: store.FixedRest(time.Millisecond), History: 20 * time.Second, Health: health, Leads: leader}
		if leader && leads {
			w.MaxWait = func() time.Duration { return 1500 * time.Millisecond }
		}
		store.Follow(ctx, s, w, func(change store.Change) {
			mu.Lock()
			defer mu.Unlock()
			switch change := change.(type) {
			case store.Snapshot:
				delivered[kind] = change.Revision
			case store.Update:
				delivered[kind] = change.Revision
			case store.Lost:
			}
		})
	}
	go follow("leader", true)
	go follow("led", false)
	time.Sleep(begins)
	s.set(true, 2) // pending watches end, and the next ones are dropped
	time.Sleep(8 * time.Second)
	s.set(false, 3)
	time.Sleep(time.Second)
	notify(health)
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, map[string]store.Revision{"leader": 3, "led": 3}, delivered)
}
