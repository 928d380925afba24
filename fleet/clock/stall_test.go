package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// After a stall, code may act before the periodic check runs. It must detect the stall itself,
// and the periodic check must still report it.
func TestAStallIsDetectedByTheFirstCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		every   time.Duration // between two periodic checks
		after   time.Duration // between the last periodic check and the query
		stalled bool
		backlog time.Duration
	}{
		{"running", 200 * time.Millisecond, 300 * time.Millisecond, false, 0},
		{"busy VM", minStall / 2, minStall - time.Millisecond, false, 0},
		{"stall", 200 * time.Millisecond, minStall, true, backlogTime},
		{"long stall", 200 * time.Millisecond, time.Hour, true, backlogTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			now := start
			s := newStallDetector(func() time.Time { return now })
			for range 10 {
				now = now.Add(c.every)
				s.Check()
			}
			before := now
			now = now.Add(c.after)
			assert.Equal(t, c.backlog, s.Backlog())
			assert.Equal(t, c.stalled, s.StalledSince(before))
			assert.False(t, s.StalledSince(now), "no stall after the last check")
			assert.Equal(t, c.stalled, s.Check() > 0, "reported, whichever check found it")
			assert.Zero(t, s.Check(), "reported once only")
			now = now.Add(backlogTime)
			assert.Zero(t, s.Backlog(), "the backlog has been read")
		})
	}
}
