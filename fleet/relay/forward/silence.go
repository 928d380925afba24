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

// headTimeout returns how long this attempt waits for the head of an answer; 0 means until the
// call's deadline. A call that may not be sent again waits until then, since silence does not
// show whether it ran.
func (j *job) headTimeout(t *choice.Placement) time.Duration {
	if !j.route.MayRepeat() || j.attempts+1 >= max(j.route.Attempts, 1) {
		return 0
	}
	expected := time.Duration(t.FirstMs * float64(time.Millisecond))
	return max(silentFactor*expected, minSilence)
}

// startHeadTimer cancels an attempt after the timeout, unless stop is called first.
func startHeadTimer(timeout time.Duration, cancel context.CancelCauseFunc) (stop func()) {
	if timeout <= 0 {
		return func() {}
	}
	return clock.StartTimeout(timeout, func() { cancel(errSilent) }).Stop
}
