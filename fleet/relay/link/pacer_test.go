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

// However many bodies wait, at five times what the link carries, answers leave at once,
// and the link is never asked for more than it carries.
func TestAnswersLeaveBeforePrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := link.NewPacer(tenMbit)
		var mu sync.Mutex
		var left int
		var all sync.WaitGroup
		const body, each = 12_000, 1_920 * time.Microsecond // five times the link
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

func TestNothingWaitsWhileTheLinkHasRoom(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		every     time.Duration
	}{{"room", tenMbit, 20 * time.Millisecond}, {"width not known", 0, 0}}
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

// wire is a link that carries bytes in the order in which they were written, whoever
// wrote them, and tells nobody how much waits.
type wire struct {
	net.Conn
	perSecond float64
	mu        *sync.Mutex
	free      *time.Time // when what was written so far has left
}

func (w wire) Write(b []byte) (int, error) {
	w.left(len(b))
	return len(b), nil
}

// left is how long it takes until bytes that are written now have left.
func (w wire) left(bytes int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.free.Before(now) {
		*w.free = now
	}
	*w.free = w.free.Add(time.Duration(float64(bytes) / w.perSecond * float64(time.Second)))
	return w.free.Sub(now)
}

// What a node says to the store and to other nodes leaves within half a second, whatever
// callers and endpoints are sent meanwhile: five times what the link carries.
func TestControlLeavesSoonWhateverCallersSend(t *testing.T) {
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
				assert.Less(t, out.left(300), 500*time.Millisecond, "a watch's head")
			}
			all.Wait()
			time.Sleep(time.Second) // the pump ends
		})
	}
}
