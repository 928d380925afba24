package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// A call whose time was over while the VM was suspended is ended when the node wakes, as
// one that timed out: its endpoint feels it, and nobody is told that it has not run. One
// that has time left goes on, and is told to have less of it.
func TestCallsWhoseTimeIsOverAreEnded(t *testing.T) {
	t.Cleanup(func() { clock.Suspend(-35 * time.Second) }) // tests after it are of another process
	f := newFleet(t, 1000, hang)
	ended := make(chan answer)
	go func() { ended <- f.do(t, f.request(t, "POST", "/once/", "", "Deadline", "30000")) }()
	require.Eventually(t, func() bool { return len(f.seen()) == 1 }, time.Second, time.Millisecond)
	clock.Suspend(10 * time.Second)
	assert.Zero(t, f.handler.EndOverdue(), "it has 20 s left")
	clock.Suspend(25 * time.Second)
	assert.Equal(t, 1, f.handler.EndOverdue())
	assert.Equal(t, http.StatusGatewayTimeout, (<-ended).status)
	assert.Eventually(t, func() bool { return f.left.Load() == 1 }, time.Second, time.Millisecond)
	assert.Zero(t, f.handler.EndOverdue())
}

// What a call takes during which the VM slept says nothing of its endpoint, and nothing of
// the version that is tried.
func TestACallDuringWhichTheVMSleptTeachesNothing(t *testing.T) {
	const slept = time.Second
	f := movingFleet(t, inProgress(rollout.Status{Share: 1}), false, good("old"), func(f *fleet, w http.ResponseWriter, r *http.Request) {
		clock.Suspend(slept)
		t.Cleanup(func() { clock.Suspend(-slept) }) // tests after it are of another process
		good("new")(f, w, r)
	})
	require.Equal(t, http.StatusOK, f.do(t, f.request(t, http.MethodGet, "/repeat/", "")).status)
	seen := f.samples.list(t, 1)
	assert.True(t, seen[0].Target)
	assert.Zero(t, seen[0].Slowness)
}
