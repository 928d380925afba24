package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A process that acts before its timers run finds out by itself that it stood still.
func TestAStandstillIsFoundByWhoeverLooksFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		looks  time.Duration // between two
		after  time.Duration // that somebody asks, since the last look
		since  bool
		unread time.Duration
	}{
		{"it ran", 200 * time.Millisecond, 300 * time.Millisecond, false, 0},
		{"a busy machine", leastStandstill / 2, leastStandstill - time.Millisecond, false, 0},
		{"it stood still", 200 * time.Millisecond, leastStandstill, true, readsFor},
		{"for long", 200 * time.Millisecond, time.Hour, true, readsFor},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Now()
			now := began
			s := newStandstills(func() time.Time { return now })
			for range 10 {
				now = now.Add(c.looks)
				s.Look()
			}
			before := now
			now = now.Add(c.after)
			assert.Equal(t, c.unread, s.Unread())
			assert.Equal(t, c.since, s.Since(before))
			assert.False(t, s.Since(now), "what began since is not old")
			assert.Equal(t, c.since, s.Look() > 0, "it is told, whoever found it")
			assert.Zero(t, s.Look(), "once")
			now = now.Add(readsFor)
			assert.Zero(t, s.Unread(), "it is read")
		})
	}
}
