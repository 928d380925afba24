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

// A call whose deadline passed while the VM was suspended is ended as timed out when the VM resumes,
// since its timer did not run. Its endpoint notices that, and the answer does not state that the call did
// not run. A call with time left goes on, with less of it.
func TestOverdueCallsAreEnded(t *testing.T) {
	t.Cleanup(func() { clock.Suspend(-35 * time.Second) }) // reset for later tests
	f := newFleet(t, 1000, hang)
	ended := make(chan answer)
	go func() { ended <- f.do(t, f.request(t, "POST", "/once/", "", "Deadline", "30000")) }()
	require.Eventually(t, func() bool { return len(f.received()) == 1 }, time.Second, time.Millisecond)
	clock.Suspend(10 * time.Second)
	assert.Zero(t, f.handler.EndOverdue(), "it has 20 s left")
	clock.Suspend(25 * time.Second)
	assert.Equal(t, 1, f.handler.EndOverdue())
	assert.Equal(t, http.StatusGatewayTimeout, (<-ended).status)
	assert.Eventually(t, func() bool { return f.left.Load() == 1 }, time.Second, time.Millisecond)
	assert.Zero(t, f.handler.EndOverdue())
}

// The duration of a call during which the VM was suspended is no evidence on its endpoint or version.
func TestCallDuringSuspensionIsNoEvidence(t *testing.T) {
	const suspended = time.Second
	f := movingFleet(t, inProgress(rollout.Status{Share: 1}), false, good("old"), func(f *fleet, w http.ResponseWriter, r *http.Request) {
		clock.Suspend(suspended)
		t.Cleanup(func() { clock.Suspend(-suspended) }) // reset for later tests
		good("new")(f, w, r)
	})
	require.Equal(t, http.StatusOK, f.do(t, f.request(t, http.MethodGet, "/repeat/", "")).status)
	samples := f.samples.list(t, 1)
	assert.True(t, samples[0].Target)
	assert.Zero(t, samples[0].Slowness)
}
