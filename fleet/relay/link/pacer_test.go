package link_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/link"
)

const tenMbit = 1_250_000 // bytes a second

// With prompts at five times the capacity of the link, answers are still not delayed behind them, and
// the total stays below the capacity.
func TestAnswersLeaveBeforePrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := link.NewPacer(tenMbit)
		var mu sync.Mutex
		var left int
		var all sync.WaitGroup
		const body, each = 12_000, 1_920 * time.Microsecond // five times the link's capacity
		began := time.Now()
		for time.Since(began) < 4*time.Second {
			all.Go(func() {
				p.Wait(body, link.Prompts)
				mu.Lock()
				left += body
				mu.Unlock()
			})
			time.Sleep(each)
			if time.Since(began)%(10*each) == 0 {
				sent := time.Now()
				p.Wait(800, link.Answers)
				assert.Less(t, time.Since(sent), 50*time.Millisecond)
			}
		}
		mu.Lock()
		assert.Less(t, float64(left), 4*0.9*tenMbit)
		assert.Greater(t, float64(left), 4*0.7*tenMbit)
		mu.Unlock()
		all.Wait()
		time.Sleep(time.Second) // the pump ends
		assert.Positive(t, p.Waited())
	})
}

func TestNothingWaitsWhileTheLinkHasCapacity(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		every     time.Duration
	}{{"room", tenMbit, 20 * time.Millisecond}, {"unknown capacity", 0, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := link.NewPacer(c.perSecond)
				time.Sleep(time.Second)
				began := time.Now()
				for range 100 {
					p.Wait(12_000, link.Prompts)
					time.Sleep(c.every)
				}
				assert.Equal(t, 100*c.every, time.Since(began))
				assert.Zero(t, p.Waited())
			})
		})
	}
}

// wire is a link with one unbounded queue for the writes of all connections.
type wire struct {
	net.Conn
	perSecond float64
	mu        *sync.Mutex
	free      *time.Time // when the queue is empty
}

func (w wire) Write(b []byte) (int, error) {
	w.delay(len(b))
	return len(b), nil
}

// delay queues bytes and returns how long it takes until they have been sent.
func (w wire) delay(bytes int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.free.Before(now) {
		*w.free = now
	}
	*w.free = w.free.Add(time.Duration(float64(bytes) / w.perSecond * float64(time.Second)))
	return w.free.Sub(now)
}

// Traffic to the store and to other nodes leaves within half a second even if writes to callers and
// endpoints amount to five times the link's capacity.
func TestControlTrafficIsNotDelayedByCalls(t *testing.T) {
	for _, class := range []link.Class{link.Answers, link.Prompts} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var free time.Time
			out := wire{perSecond: tenMbit, mu: &mu, free: &free}
			meter := link.NewMeter(10)
			ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
			defer stop()
			var all sync.WaitGroup
			for ctx.Err() == nil {
				all.Go(func() {
					c := meter.Conn(out)
					c.Classify(class)
					_, err := c.Write(make([]byte, 12_000))
					assert.NoError(t, err)
				})
				time.Sleep(1_920 * time.Microsecond)
				assert.Less(t, out.delay(300), 500*time.Millisecond, "headers of a watch request")
			}
			all.Wait()
			time.Sleep(time.Second) // the pump ends
		})
	}
}
