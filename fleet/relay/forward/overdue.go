package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// errOverdue ends a call whose time was over while the VM was suspended: the timer that
// would have ended it stood still.
var errOverdue = errors.New("the call's time was over while the VM was suspended")

// underWay is the calls that are under way, and how each is ended. It is safe for
// concurrent use.
type underWay struct {
	mu    sync.Mutex
	calls map[*job]context.CancelCauseFunc
}

func (u *underWay) add(j *job, end context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.calls == nil {
		u.calls = map[*job]context.CancelCauseFunc{}
	}
	u.calls[j] = end
}

func (u *underWay) remove(j *job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.calls, j)
}

// EndOverdue ends the calls whose time is over, and tells how many. A call is answered as
// one that timed out: it may have run.
func (h *Handler) EndOverdue() int {
	h.underWay.mu.Lock()
	defer h.underWay.mu.Unlock()
	now, ended := clock.Now(), 0
	for j, end := range h.underWay.calls {
		if !now.Before(j.end) {
			end(errOverdue)
			ended++
		}
	}
	return ended
}

// context of the call: it ends with the caller's connection or the deadline.
func (j *job) context() (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(j.r.Context())
	ctx, cancel := context.WithTimeout(ctx, clock.Until(j.end))
	j.underWay.add(j, end)
	return ctx, func() {
		j.underWay.remove(j)
		cancel()
		end(nil)
	}
}

// isOverdue is whether a call ended since its time was over.
func isOverdue(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(context.Cause(ctx), errOverdue)
}

// awake is since when the VM was not suspended. What a call takes during which it was says
// nothing of an endpoint, and is not learned from.
type awake struct {
	slept time.Duration
	stood func(since time.Time) bool // nil: the process never stands still
}

func newAwake(stood func(since time.Time) bool) awake { return awake{clock.Suspended(), stood} }

// still is whether the VM was not suspended since.
func (a awake) still() bool { return clock.Suspended() == a.slept }

// teaches is whether the time since a moment of the call says something of an endpoint: the
// VM was not suspended, nor did the process stand still, so that answers lay unread.
func (a awake) teaches(since time.Time) bool {
	return a.still() && (a.stood == nil || !a.stood(since))
}
