package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// A call that is found when the process goes on is decided by what it knew before.
func TestACallWaitsUntilWhatCameBesideItIsRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		unread func() time.Duration
		gone   time.Duration // when the caller goes
		waits  time.Duration
	}{
		{"it never stands still", nil, time.Minute, 0},
		{"it ran", func() time.Duration { return 0 }, time.Minute, 0},
		{"it stood still", func() time.Duration { return time.Second }, time.Minute, time.Second},
		{"its caller goes", func() time.Duration { return time.Second }, time.Second / 4, time.Second / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.gone)
				defer cancel()
				began := time.Now()
				New(Options{Unread: c.unread}).awaitRead(ctx)
				assert.Equal(t, c.waits, time.Since(began))
			})
		})
	}
}
