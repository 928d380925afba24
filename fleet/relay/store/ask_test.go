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

// answering makes a source of a fake store: its content is confirmed whenever it answers.
type answering struct {
	fake interface {
		List(ctx context.Context, kind string) ([]store.Object, store.Revision, error)
		Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
	}
}

// List implements store.Reader.
func (a answering) List(ctx context.Context, kind string) (store.Answer, error) {
	objects, at, err := a.fake.List(ctx, kind)
	return store.Answer{Objects: objects, Revision: at, Confirmed: time.Now()}, err
}

// Watch implements store.Reader.
func (a answering) Watch(ctx context.Context, kind string, since store.Revision, wait time.Duration) (store.Answer, error) {
	events, at, err := a.fake.Watch(ctx, kind, since, wait)
	return store.Answer{Events: events, Revision: at, Confirmed: time.Now()}, err
}

// silentSource is a source that may become silent. Like any Reader it gives up if no answer
// begins in time.
type silentSource struct {
	*silence
}

func (d silentSource) Watch(ctx context.Context, _ string, since store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+store.AnswerTimeout)
	defer cancel()
	for began := time.Now(); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		silent, revision, _ := d.now()
		if !silent && (revision > since || time.Since(began) >= wait) {
			return nil, revision, nil
		}
	}
	return nil, 0, ctx.Err()
}

func (d silentSource) List(ctx context.Context, kind string) ([]store.Object, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, store.AnswerTimeout)
	defer cancel()
	return d.silence.List(ctx, kind)
}

// However many of its sources become silent at the same time, a node receives a change from
// another source or the store within the time in which a leaving endpoint must get no new
// work.
func TestSourcesSilentTogetherCostOneWait(t *testing.T) {
	const sources, leaving = 4, 2 * time.Second
	for silent := range sources + 1 {
		for begins := 3 * time.Second; begins < 4*time.Second; begins += 170 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(50 * time.Millisecond) // the last calls end
				defer cancel()
				platform := &silence{revision: 1, changed: make(chan struct{})}
				var all []store.Source
				for i := range sources {
					all = append(all, store.Source{Name: string(rune('a' + i)), Reader: answering{silentSource{&silence{revision: 1, changed: make(chan struct{})}}}})
				}
				s := store.NewSourced(platform, func() []store.Source { return all })
				var mu sync.Mutex
				var known time.Time
				go store.Follow(ctx, s, store.FollowOptions{Kind: "endpoints", Rest: store.FixedRest(time.Millisecond), History: 20 * time.Second}, func(c store.Change) {
					mu.Lock()
					defer mu.Unlock()
					l, listed := c.(store.Snapshot)
					u, updated := c.(store.Update)
					if known.IsZero() && (listed && l.Revision == 2 || updated && u.Revision == 2) {
						known = time.Now()
					}
				})
				time.Sleep(begins)
				for i, one := range all {
					r := one.Reader.(answering).fake.(silentSource).silence
					r.mu.Lock()
					r.silent, r.revision = i < silent, 2
					r.mu.Unlock()
				}
				platform.set(false, 2)
				changed := time.Now()
				time.Sleep(8 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				assert.False(t, known.IsZero())
				assert.Less(t, known.Sub(changed), leaving, "%d silent", silent)
			})
		}
	}
}
