package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// A repeatable call goes to another endpoint if the head of its answer takes longer than
// silentFactor times the expected time, and at least minSilence: one connection may fall silent for
// good while the endpoint is healthy, or the endpoint may become unreachable. The kernel detects
// that only after three seconds, too late for most calls.
const (
	silentFactor = 4
	minSilence   = 300 * time.Millisecond
)

// errSilent ends an attempt whose endpoint sent nothing for too long.
var errSilent = errors.New("the endpoint was silent for longer than expected")

// headTimeout returns after what time without the head of an answer an endpoint is silent for
// longer than expected.
func headTimeout(t *choice.Placement) time.Duration {
	expected := time.Duration(t.FirstMs * float64(time.Millisecond))
	return max(silentFactor*expected, minSilence)
}

// mayAbandon reports whether an attempt that was sent may be given up before the call's deadline.
// A call that may not be sent again waits until then, since silence does not show whether it ran.
func (j *job) mayAbandon() bool {
	return j.route.MayRepeat() && j.attempts+1 < max(j.route.Attempts, 1)
}

// startHeadTimer acts on a silent endpoint, unless stop is called first: it cancels the attempt if
// the call may go elsewhere.
func (j *job) startHeadTimer(t *choice.Placement, used *connUse, cancel context.CancelCauseFunc) (stop func()) {
	onSilence := func() { cancel(errSilent) }
	if !j.mayAbandon() {
		onSilence = func() { j.recordNoAnswer(t, used) }
	}
	return clock.StartTimeout(headTimeout(t), onSilence).Stop
}
