package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// quietStore lists at once; its watches return no events.
type quietStore struct {
	store.Store
	lists, watches int
}

func (s *quietStore) List(context.Context, string) ([]store.Object, store.Revision, error) {
	s.lists++
	return nil, store.Revision(s.lists), nil
}

func (s *quietStore) Watch(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.watches++
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, since, nil
	}
}

// Request has the kind listed at once. Otherwise a watch ends by itself and nothing is listed
// again.
func TestRelistRequestListsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &quietStore{}
		var again store.Relist
		again.Request() // no follower yet
		var delivered []string
		go store.Follow(ctx, s, store.FollowOptions{Kind: "k", Rest: store.FixedRest(0), Relist: &again}, func(c store.Change) { delivered = append(delivered, describe(c)) })
		time.Sleep(30 * time.Second)
		synctest.Wait()
		assert.Equal(t, []string{"snapshot 1", "update 1"}, delivered)
		again.Request()
		again.Request()
		synctest.Wait()
		assert.Equal(t, []string{"snapshot 1", "update 1", "snapshot 2"}, delivered)
		time.Sleep(time.Second)
		again.Request()
		synctest.Wait()
		assert.Equal(t, []string{"snapshot 1", "update 1", "snapshot 2", "snapshot 3"}, delivered)
		cancel()
		synctest.Wait()
	})
}

// A restarted watch of a small kind continues from its revision; any other kind is listed
// again.
func TestRestartedWatchOfSmallKindDoesNotList(t *testing.T) {
	for _, small := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, health := &quietStore{}, store.NewHealth()
			go store.Follow(ctx, s, store.FollowOptions{Kind: "k", Rest: store.FixedRest(0), Health: health, SmallChanges: small}, func(store.Change) {})
			for range 3 {
				time.Sleep(3 * time.Second)
				health.Renew()
			}
			synctest.Wait()
			if small {
				assert.Equal(t, 1, s.lists)
				assert.Equal(t, 4, s.watches)
			} else {
				assert.Equal(t, 4, s.lists)
			}
			cancel()
			synctest.Wait()
		})
	}
}
