package forward_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// The transport may hand out a connection at the moment in which it is dropped as idle. Not a byte
// of the call was sent, so it goes to another endpoint even if it may run only once.
func TestCallOnDroppedConnectionIsSentElsewhere(t *testing.T) {
	const calls = 20
	f := movingFleet(t, inProgress(rollout.Status{Stage: rollout.Moving}), false, good("old"), good("one"), good("two"))
	dropped := 0
	drop := func() { // between the choice of a connection and its use
		for _, s := range f.servers {
			dropped += f.handler.Transport.DropIdle(s.Listener.Addr().String())
		}
	}
	for i := range calls {
		if i%2 == 1 {
			f.samples.before(drop)
		}
		got := f.do(t, f.request(t, "POST", "/once/", "body", "Call", "c"+strconv.Itoa(i)))
		assert.Equal(t, 200, got.status, got.body)
	}
	assert.Positive(t, dropped)
	assert.Len(t, f.received(), calls, "each must run once")
}
