package store_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// For a kind whose changes can wait, the store is asked only some time after the sources
// became silent, which is no evidence of an outage. It is asked at once before any answer,
// without sources, and after the delay.
func TestKindThatCanWaitDelaysAskingTheStore(t *testing.T) {
	cases := []struct {
		name     string
		answered bool // by a source, before it became silent
		sources  int
		after    time.Duration
		wait     time.Duration
		asks     bool
	}{
		{"silent for a moment", true, 1, time.Second, 10 * time.Second, false},
		{"silent for long", true, 1, 11 * time.Second, 10 * time.Second, true},
		{"no delay", true, 1, time.Second, 0, true},
		{"never answered", false, 1, time.Second, 10 * time.Second, true},
		{"no sources", true, 0, time.Second, 10 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []string
				var mu sync.Mutex
				a := &asked{name: "a", calls: &calls, mu: &mu}
				sources := 1
				s := store.NewSourced(&asked{name: "store", calls: &calls, mu: &mu}, func() []store.Source {
					return lo.Slice([]store.Source{{Name: "a", Reader: answering{a}}}, 0, sources)
				})
				s.DelayStore("kind", func() time.Duration { return c.wait })
				if c.answered {
					_, _, err := s.List(t.Context(), "kind")
					assert.NoError(t, err)
				}
				a.setErr(errDead)
				sources = c.sources
				time.Sleep(c.after)
				for i, call := range []func() error{
					func() error { _, _, err := s.List(t.Context(), "kind"); return err },
					func() error { _, _, err := s.Watch(t.Context(), "kind", 3, 0); return err },
				} {
					calls = nil
					if i > 0 && c.asks {
						time.Sleep(c.wait) // the store's own answer counts too
					}
					err := call()
					assert.Equal(t, c.asks, lo.Contains(calls, "store"))
					if !c.asks {
						assert.True(t, errors.Is(err, store.ErrSourcesLost))
						assert.True(t, errors.Is(err, store.ErrIsolated))
					}
				}
				calls = nil
				_, _, _ = s.List(t.Context(), "another")
				assert.Contains(t, calls, "store")
			})
		})
	}
}
