package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// outage is a store that fails while lost is set, and counts calls by kind.
type outage struct {
	store.Store
	mu    sync.Mutex
	lost  bool
	asked map[string]int
	waits map[string]time.Duration
}

func (o *outage) answer(kind string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked[kind]++
	if o.lost {
		return errors.New("lost")
	}
	return nil
}

func (o *outage) List(_ context.Context, kind string) ([]store.Object, store.Revision, error) {
	return nil, 1, o.answer(kind)
}

func (o *outage) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := o.answer(kind); err != nil {
		return nil, 0, err
	}
	o.mu.Lock()
	o.waits[kind] = max(o.waits[kind], wait)
	o.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, since, ctx.Err()
}

// take returns the calls by kind, resets them and sets lost.
func (o *outage) take(lost bool) map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	asked := o.asked
	o.asked, o.lost = map[string]int{}, lost
	return asked
}

func TestFollowersLeaveRetriesToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		o := &outage{asked: map[string]int{}, waits: map[string]time.Duration{}, lost: true}
		health := store.NewHealth()
		var mu sync.Mutex
		listedAt := map[string]time.Time{}
		follow := func(kind string, leads bool) {
			w := store.FollowOptions{Kind: kind, Rest: store.FixedRest(time.Millisecond), History: 20 * time.Second, Health: health, Leads: leads}
			store.Follow(ctx, o, w, func(c store.Change) {
				if _, ok := c.(store.Snapshot); ok {
					mu.Lock()
					defer mu.Unlock()
					listedAt[kind] = time.Now()
				}
			})
		}
		go follow("led", false)
		go follow("leader", true)
		time.Sleep(20 * time.Second)
		asked := o.take(false)
		assert.GreaterOrEqual(t, asked["leader"], 15, "the leader keeps retrying")
		assert.LessOrEqual(t, asked["led"], 10, "the other one retries rarely")

		reconnected := time.Now()
		time.Sleep(10 * time.Second)
		mu.Lock()
		assert.Less(t, listedAt["leader"].Sub(reconnected), 1300*time.Millisecond)
		assert.Less(t, listedAt["led"].Sub(listedAt["leader"]), 200*time.Millisecond, "the leader's answer wakes the other")
		mu.Unlock()
		time.Sleep(30 * time.Second)
		o.mu.Lock()
		assert.Equal(t, 16*time.Second, o.waits["led"], "a watch ends before the store drops its history")
		o.mu.Unlock()
		cancel()
	})
}

func TestOneFollowersFailuresDoNotWaitForTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		healthy := &outage{asked: map[string]int{}, waits: map[string]time.Duration{}}
		broken := &outage{asked: map[string]int{}, waits: map[string]time.Duration{}, lost: true}
		health := store.NewHealth()
		go store.Follow(ctx, healthy, store.FollowOptions{Kind: "leader", Health: health, Leads: true}, func(store.Change) {})
		go store.Follow(ctx, broken, store.FollowOptions{Kind: "led", Health: health}, func(store.Change) {})
		time.Sleep(20 * time.Second)
		assert.GreaterOrEqual(t, broken.take(true)["led"], 15)
		cancel()
	})
}
