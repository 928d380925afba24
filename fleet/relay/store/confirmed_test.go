package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Guards against a cache that answers for the store though nothing has confirmed its content for too long.
func TestACacheAnswersOnlyWithConfirmedContent(t *testing.T) {
	const maxAge = 2 * time.Second
	cases := []struct {
		name string
		age  time.Duration // of the content as it is applied
		rest time.Duration // until the cache is asked
		err  error
	}{
		{"confirmed now", 0, 0, nil},
		{"confirmed as long ago as it may be", 500 * time.Millisecond, 1500 * time.Millisecond, nil},
		{"confirmed longer ago than it may be", 500 * time.Millisecond, 1600 * time.Millisecond, store.ErrUnfit},
		{"too old as it is applied", 3 * time.Second, 0, store.ErrUnfit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cache := store.NewCache().WithMaxAge(maxAge)
				confirmed := time.Now().Add(-c.age)
				cache.ApplyFrom(store.Snapshot{Objects: named("a"), Revision: 5}, store.Provenance{Origin: store.FromStore, Confirmed: confirmed})
				time.Sleep(c.rest)
				list, err := cache.ListFrom(store.FromStore)
				assert.ErrorIs(t, err, c.err)
				watched, err := cache.WatchFrom(t.Context(), store.FromStore, 5, 0)
				assert.ErrorIs(t, err, c.err)
				if c.err == nil {
					assert.Equal(t, []time.Time{confirmed, confirmed}, []time.Time{list.Confirmed, watched.Confirmed})
				}
			})
		})
	}
}

// Guards against nodes that wait at a source whose content has become too old meanwhile, and against a
// confirmation that takes a wait at each node on its way.
func TestAWatchEndsAsItsContentIsConfirmedOrTooOld(t *testing.T) {
	cases := []struct {
		name string
		next store.Change // applied after half a second; nil: nothing
		took time.Duration
		err  error
	}{
		{"nothing confirms it", nil, 1501 * time.Millisecond, store.ErrUnfit},
		{"it is confirmed", store.Update{Revision: 7}, 500 * time.Millisecond, nil},
		{"it changes", store.Update{Events: []store.Event{{Object: store.Object{Name: "a", Revision: 7}}}, Revision: 7}, 500 * time.Millisecond, nil},
		{"the store is lost", store.Lost{}, 500 * time.Millisecond, store.ErrUnfit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cache := store.NewCache().WithMaxAge(1500 * time.Millisecond)
				cache.Apply(store.Snapshot{Revision: 5}, store.FromStore)
				began := time.Now()
				if c.next != nil {
					time.AfterFunc(500*time.Millisecond, func() { cache.Apply(c.next, store.FromStore) })
				}
				a, err := cache.WatchFrom(t.Context(), store.FromStore, 5, time.Minute)
				assert.ErrorIs(t, err, c.err)
				assert.Equal(t, c.took, time.Since(began))
				if c.err == nil {
					assert.Equal(t, store.Revision(7), a.Revision)
					assert.Equal(t, time.Now(), a.Confirmed)
				}
			})
		})
	}
}

// delayedStore is a store whose answers arrive late.
type delayedStore struct {
	store.Store
	delay  time.Duration
	events []store.Event // that end a watch at once
}

func (d delayedStore) List(context.Context, string) ([]store.Object, store.Revision, error) {
	time.Sleep(d.delay)
	return nil, 5, nil
}

func (d delayedStore) Watch(_ context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if len(d.events) == 0 {
		time.Sleep(wait)
	}
	time.Sleep(d.delay)
	return d.events, since, nil
}

// Guards against counting the time that an answer takes to arrive as time for which its content holds.
func TestWhenTheStoreConfirmedAnAnswer(t *testing.T) {
	const delay, wait = 300 * time.Millisecond, time.Second
	event := []store.Event{{Object: store.Object{Name: "a", Revision: 6}}}
	cases := []struct {
		name string
		call func(s *store.Sourced) error
		with delayedStore
		want time.Duration // after the call was sent
	}{
		{"a list, as it is sent", func(s *store.Sourced) error { _, _, err := s.List(context.Background(), "k"); return err }, delayedStore{delay: delay}, 0},
		{"a watch without events, as its wait ends", watchOnce, delayedStore{delay: delay}, wait},
		{"a watch with events, as they arrive", watchOnce, delayedStore{delay: delay, events: event}, delay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.NewSourced(c.with, func() []store.Source { return nil })
				sent := time.Now()
				assert.NoError(t, c.call(s))
				assert.Equal(t, c.want, s.Provenance("k").Confirmed.Sub(sent))
			})
		})
	}
}

func watchOnce(s *store.Sourced) error {
	_, _, err := s.Watch(context.Background(), "k", 5, time.Second)
	return err
}
