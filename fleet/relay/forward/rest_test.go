package forward_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// resting turns every call away and asks to rest.
func resting(rest time.Duration) script {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Rest", rest.String())
		status(http.StatusServiceUnavailable, true)(f, w, r)
	}
}

// An endpoint that asked to rest gets no call that another may take, and its refusals cost callers
// at most one attempt.
func TestRestingEndpointIsExcluded(t *testing.T) {
	f := newFleet(t, 1000, resting(time.Minute), good("well"))
	for i := range 20 {
		got := f.do(t, f.request(t, "POST", "/repeat/", "body", "Call", "c"+strconv.Itoa(i)))
		assert.Equal(t, http.StatusOK, got.status)
	}
	assert.LessOrEqual(t, lo.Count(f.ran(), "e0"), 1)
}

// While all endpoints of a service rest, calls are refused at once with the remaining rest as
// Retry-After: no tokens are acquired, and nothing is sent.
func TestCallIsRefusedAtOnceWhileAllEndpointsRest(t *testing.T) {
	f := newFleet(t, 0, resting(3*time.Second), resting(3*time.Second))
	for _, e := range f.engines {
		f.notices.Observe(e, call.Rest{For: 3 * time.Second}, clock.Now())
	}
	got := f.do(t, f.request(t, "POST", "/stream/", "body", "Prompt", "900", "Output", "90"))
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.JSONEq(t, `{"reason":"endpoints-resting"}`, got.body)
	assert.Equal(t, "3.00", got.header.Get("Retry-After"))
	assert.Empty(t, f.received())
}

// The reason and the Retry-After of a call that was turned away and may not be sent again.
func TestRetryAfterOfTurnedAwayCall(t *testing.T) {
	cases := []struct {
		name          string
		scripts       []script
		reason, after string
	}{
		{"others may take it", []script{resting(time.Minute), resting(time.Minute)}, "endpoint-turned-away", "0.05"},
		{"all rest", []script{resting(2 * time.Second)}, "endpoints-resting", "2.00"},
		{"full, and no time is named", []script{status(http.StatusServiceUnavailable, true)}, "endpoints-full", "0.20"},
	}
	for _, c := range cases {
		f := newFleet(t, 1000, c.scripts...)
		got := f.do(t, f.request(t, "POST", "/single/", "body"))
		assert.JSONEq(t, `{"reason":"`+c.reason+`"}`, got.body, c.name)
		assert.Equal(t, c.after, got.header.Get("Retry-After"), c.name)
	}
}

// An endpoint may ask to rest while a call waits for its connection. Not a byte of the call is sent
// there, so it goes to another endpoint even if it may run only once.
func TestRestBeforeFirstByteMovesTheCall(t *testing.T) {
	f := newFleet(t, 1000, good("one"), good("two"))
	dial, asked := f.connections.DialContext, ""
	f.connections.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if e, ok := lo.Find(f.engines, func(e engine.Engine) bool { return e.Address == address }); ok && asked == "" {
			asked = e.ID
			f.notices.Observe(e, call.Rest{For: time.Minute}, clock.Now())
		}
		return c, err
	}
	got := f.do(t, f.request(t, "POST", "/once/", "body"))
	assert.Equal(t, http.StatusOK, got.status, got.body)
	assert.NotEmpty(t, asked)
	assert.Zero(t, lo.Count(f.ran(), asked))
	assert.Len(t, f.received(), 1, "it must run once")
}
