package clock

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// A process that stalls at the end of a timeout must first read its backlog. If nothing was
// received, the timeout must expire all the same.
func TestAStallExtendsATimeout(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for _, c := range []struct {
		name     string
		late     time.Duration // delay of each timer
		received time.Duration // when the timeout is stopped; 0: never
		expires  time.Duration // 0: never
	}{
		{"silence", 0, 0, timeout},
		{"received in time", 0, timeout / 2, 0},
		{"received after the stall", time.Second, timeout + backlogTime/2, 0},
		{"silence and repeated stalls", time.Second, 0, timeout + maxExtensions*backlogTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var delay, expired atomic.Int64
				now := func() time.Time { return time.Now().Add(time.Duration(delay.Load())) }
				running := newTimeout(timeout, func() { expired.Store(int64(time.Since(start))) }, now)
				for range 20 {
					delay.Add(int64(c.late))
					if c.received > 0 && time.Since(start) >= c.received {
						running.Stop()
					}
					time.Sleep(backlogTime / 2)
					synctest.Wait()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, c.expires, time.Duration(expired.Load()).Truncate(time.Millisecond))
			})
		})
	}
}
