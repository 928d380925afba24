package clock

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// A process that stood still when its patience was at its end reads first what came
// meanwhile; one that hears nothing ends its wait all the same.
func TestAStandstillIsNoSilenceOfOthers(t *testing.T) {
	const patience = 400 * time.Millisecond
	for _, c := range []struct {
		name  string
		late  time.Duration // each timer, as the process goes on
		heard time.Duration // when it is stopped; 0: never
		ends  time.Duration // 0: never
	}{
		{"silence", 0, 0, patience},
		{"heard in time", 0, patience / 2, 0},
		{"heard once it goes on", time.Second, patience + readsFor/2, 0},
		{"silence, and it stands still again and again", time.Second, 0, patience + mostMore*readsFor},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var behind, ended atomic.Int64
				now := func() time.Time { return time.Now().Add(time.Duration(behind.Load())) }
				p := waitFor(patience, func() { ended.Store(int64(time.Since(began))) }, now)
				for range 20 {
					behind.Add(int64(c.late))
					if c.heard > 0 && time.Since(began) >= c.heard {
						p.Stop()
					}
					time.Sleep(readsFor / 2)
					synctest.Wait()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, c.ends, time.Duration(ended.Load()).Truncate(time.Millisecond))
			})
		})
	}
}
