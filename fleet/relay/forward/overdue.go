package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// errOverdue ends a call whose deadline passed while the VM was suspended: the timer that
// would have ended it did not run.
var errOverdue = errors.New("the call's deadline passed while the VM was suspended")

// errQuarantined ends a call that waits for an endpoint with a part of a prompt that has been
// quarantined since it was sent.
var errQuarantined = errors.New("a part of the call's prompt was quarantined")

// callSet holds the calls in progress and the functions that cancel them. It is safe for
// concurrent use.
type callSet struct {
	mu    sync.Mutex
	calls map[*job]openCall
}

// openCall is what is read of a call in progress while its goroutine works on it.
type openCall struct {
	end      context.CancelCauseFunc
	deadline time.Time
	parts    []quarantine.Fingerprint // of its prompt
	answered *atomic.Bool             // its caller has got part of an answer
}

func (s *callSet) add(j *job, c openCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[*job]openCall{}
	}
	s.calls[j] = c
}

func (s *callSet) remove(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, j)
}

// EndOverdue ends the calls whose deadline has passed and returns how many. They are answered
// as timed out, since they may have run.
func (h *Handler) EndOverdue() int {
	h.inProgress.mu.Lock()
	defer h.inProgress.mu.Unlock()
	now, ended := clock.Now(), 0
	for _, c := range h.inProgress.calls {
		if !now.Before(c.deadline) {
			c.end(errOverdue)
			ended++
		}
	}
	return ended
}

// EndQuarantined ends the calls with a part in their prompts that wait for their answers, and returns
// how many: an endpoint where one waits would crash as it begins it, with all calls there. They are
// answered as quarantined, since they may have run.
func (h *Handler) EndQuarantined(part quarantine.Fingerprint) int {
	h.inProgress.mu.Lock()
	defer h.inProgress.mu.Unlock()
	ended := 0
	for _, c := range h.inProgress.calls {
		if slices.Contains(c.parts, part) && !c.answered.Load() {
			c.end(errQuarantined)
			ended++
		}
	}
	return ended
}

// context returns the call's context, which ends with the caller's connection or the deadline.
func (j *job) context() (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(j.r.Context())
	ctx, cancel := context.WithTimeout(ctx, clock.Until(j.end))
	j.inProgress.add(j, openCall{end: end, deadline: j.end, parts: j.partPrints(), answered: &j.answeredPart})
	return ctx, func() {
		j.inProgress.remove(j)
		cancel()
		end(nil)
	}
}

// isOverdue reports whether a call ended because its deadline passed.
func isOverdue(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), errOverdue)
}

// stallCheck detects suspensions of the VM and stalls of the process during a call. Durations
// that include one are no evidence on an endpoint and are not recorded.
type stallCheck struct {
	suspended time.Duration              // in total, when the call began
	stalled   func(since time.Time) bool // nil: no stalls
}

func newStallCheck(stalled func(since time.Time) bool) stallCheck {
	return stallCheck{clock.Suspended(), stalled}
}

// noSuspension reports whether the VM has not been suspended since the call began.
func (s stallCheck) noSuspension() bool { return clock.Suspended() == s.suspended }

// usable reports whether the time elapsed since a moment of the call is evidence on an endpoint:
// the VM was not suspended, and the process did not stall and leave answers unread.
func (s stallCheck) usable(since time.Time) bool {
	return s.noSuspension() && (s.stalled == nil || !s.stalled(since))
}
