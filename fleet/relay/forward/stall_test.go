package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// A call that is read right after a stall would be decided on outdated state, so it waits until
// the updates that arrived during the stall have been read.
func TestCallWaitsForBacklogAfterStall(t *testing.T) {
	for _, c := range []struct {
		name   string
		unread func() time.Duration
		gone   time.Duration // when the caller leaves
		waits  time.Duration
	}{
		{"no stall detection", nil, time.Minute, 0},
		{"no stall", func() time.Duration { return 0 }, time.Minute, 0},
		{"stall", func() time.Duration { return time.Second }, time.Minute, time.Second},
		{"the caller leaves", func() time.Duration { return time.Second }, time.Second / 4, time.Second / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.gone)
				defer cancel()
				began := time.Now()
				New(Options{Backlog: c.unread}).awaitBacklog(ctx)
				assert.Equal(t, c.waits, time.Since(began))
			})
		})
	}
}
