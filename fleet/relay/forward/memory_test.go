package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

// A call that exceeds the node's memory budget is refused as not run, with a Retry-After. Calls
// release their memory however they end.
func TestACallThatDoesNotFitIsRefused(t *testing.T) {
	const bound = 200 << 10
	f := newFleet(t, 1000, good("ok"))
	f.policy.Limits.BodyBytes = 1 << 20
	f.memory = memory.NewBudget(bound)
	f.start(t, f.engines)
	large := strings.Repeat("x", 160<<10)
	for range 3 {
		got := f.do(t, f.request(t, "POST", "/single/x", large))
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Contains(t, got.body, "no-memory")
		assert.NotEmpty(t, got.header.Get("Retry-After"))
		got = f.do(t, f.request(t, "POST", "/single/x", "small"))
		assert.Equal(t, http.StatusOK, got.status)
		got = f.do(t, f.request(t, "POST", "/nowhere/x", "small"))
		assert.Equal(t, http.StatusNotFound, got.status)
	}
	assert.Eventually(t, func() bool { return f.memory.State().Held == 0 }, time.Second, time.Millisecond)
	assert.Equal(t, int64(3), f.memory.State().Rejected)
	assert.Len(t, f.received(), 3, "refused calls must reach no endpoint")
}
