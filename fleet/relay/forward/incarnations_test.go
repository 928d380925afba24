package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// restartEndpoint starts a new incarnation of the only endpoint and makes it known to the node.
func (f *fleet) restartEndpoint() {
	e := f.engines[0]
	e.Born++
	f.picker.Begin(e.Incarnation(), time.Now())
	f.directory.Store(engine.NewDirectory(2, []engine.Engine{e}))
}

// A call sent to an incarnation that ends without an answer may have run, so it must not be refused
// as not run. If it may run only once, it is not sent again. A repeatable call goes to the new
// incarnation, though that has the same id and address, up to the attempts of its route.
func TestEndedIncarnationMayHaveRunTheCall(t *testing.T) {
	cases := []struct {
		name, path string
		ended      int // incarnations that end with the call
		status     int
		runs       int
	}{
		{"once", "/once/", 1, http.StatusBadGateway, 1},
		{"once, in a stream", "/stream/", 1, http.StatusBadGateway, 1},
		{"again", "/repeat/", 1, http.StatusOK, 2},
		{"again, in a stream", "/resume/", 1, http.StatusOK, 2},
		{"again, and all attempts are used up", "/repeat/", 2, http.StatusBadGateway, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var arrived atomic.Int32
			f := newFleet(t, 1000, func(f *fleet, w http.ResponseWriter, r *http.Request) {
				if int(arrived.Add(1)) > c.ended {
					events(0, 3, true)(f, w, r)
					return
				}
				f.restartEndpoint()
				reset(f, w, r)
			})
			got := f.do(t, f.request(t, "POST", c.path, "body"))
			assert.Equal(t, c.status, got.status)
			assert.Len(t, f.received(), c.runs)
			for _, r := range f.received() {
				assert.Equal(t, "e0", r.header.Get("Instance"), "the id alone names the expected instance")
			}
		})
	}
}

// Idle connections to an ended incarnation would cost a call each. Those in use must stay open:
// a call sent just before the node learned of the new incarnation may be running there.
func TestIdleConnectionsOfAnIncarnationAreDropped(t *testing.T) {
	answer := make(chan bool)
	f := newFleet(t, 1000, func(f *fleet, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Call") == "held" {
			<-answer
		}
		good("answer")(f, w, r)
	})
	address := f.engines[0].Address
	assert.Equal(t, http.StatusOK, f.do(t, f.request(t, "POST", "/once/", "body")).status)
	assert.Eventually(t, func() bool { return f.connections.DropIdle(address) == 1 }, 5*time.Second, time.Millisecond)
	held := make(chan int)
	go func() { held <- f.do(t, f.request(t, "POST", "/once/", "body", "Call", "held")).status }()
	assert.Eventually(t, func() bool { return len(f.received()) == 2 }, 5*time.Second, time.Millisecond)
	assert.Zero(t, f.connections.DropIdle(address))
	answer <- true
	assert.Equal(t, http.StatusOK, <-held)
}
