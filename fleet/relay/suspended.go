package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// A VM may be suspended for seconds. Decisions by age use a clock that counts that time
// (fleet/clock); timers do not count it, since they use the monotonic clock. So a node detects its
// suspensions itself and renews the decisions that depended on timers.

const (
	suspensionCheckInterval = 200 * time.Millisecond // between two checks of the clocks
	minSuspension           = 250 * time.Millisecond // shorter ones have no more effect than a busy VM
	confirmTimeout          = 1500 * time.Millisecond
)

// watchSuspensions detects stalls and suspensions until ctx ends.
func (n *Node) watchSuspensions(ctx context.Context) {
	known := clock.Suspended()
	every(ctx, suspensionCheckInterval, func() {
		if d := n.stalls.Check(); d > 0 {
			n.log.WithField("ms", d.Milliseconds()).Warn("process stalled: store calls that failed meanwhile are no evidence against the store")
		}
		if d := clock.Suspended() - known; d >= minSuspension {
			known += d
			n.afterSuspension(d)
		}
	})
}

// afterSuspension handles the end of a suspension. Connections that were open may be dead, and a
// call would be the first to notice: they are closed, and new ones are opened as needed. The store
// is listed again, and the balancer sends no new callers until that is done.
func (n *Node) afterSuspension(suspended time.Duration) {
	n.confirmation.begin()
	ended := n.handler.EndOverdue()
	idle := n.dropAllIdle()
	n.adapter.DropIdle()
	n.gossip.DropIdle()
	n.bounds.Settle(clock.Now())
	n.engineTable.expire()
	n.trials.afterSuspension(clock.Now())
	n.health.Renew()
	n.metrics.Suspended(suspended)
	n.log.WithFields(log.Fields{"ms": suspended.Milliseconds(), "callsEnded": ended, "connections": idle}).Warn("VM was suspended: connections are closed and the store is listed again")
}

// confirmation tracks whether the node has listed the policy and the endpoints again since its VM
// was suspended. It is safe for concurrent use.
type confirmation struct {
	mu              sync.Mutex
	until           time.Time // deadline of the wait; zero: nothing is awaited
	policy, engines bool      // listed since
}

func (c *confirmation) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.policy, c.engines = clock.Now().Add(confirmTimeout), false, false
}

func (c *confirmation) policyReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = true
}

func (c *confirmation) enginesReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = true
}

// done reports whether both were listed again, or the wait timed out: while the store is
// unavailable, a node that was suspended is as good as any other.
func (c *confirmation) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.policy && c.engines || !clock.Now().Before(c.until)
}
