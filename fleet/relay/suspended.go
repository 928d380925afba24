package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// A VM may be suspended for seconds. All that is decided by age goes by a clock that counts
// that time (fleet/clock); what waits does not, since timers run by the steady clock. So a
// node finds out by itself that it was suspended, and has what slept with it decided anew.

const (
	wakeEvery       = 200 * time.Millisecond // between two looks at the clocks
	leastSuspension = 250 * time.Millisecond // shorter ones change nothing that a busy VM would not
	confirmMost     = 1500 * time.Millisecond
)

// watchSuspensions has the node take note of suspensions until ctx ends.
func (n *Node) watchSuspensions(ctx context.Context) {
	known := clock.Suspended()
	every(ctx, wakeEvery, func() {
		if d := n.standstills.Look(); d > 0 {
			n.log.WithField("ms", d.Milliseconds()).Warn("the process stood still: calls to the store that failed meanwhile say nothing of it")
		}
		if d := clock.Suspended() - known; d >= leastSuspension {
			known += d
			n.woke(d)
		}
	})
}

// woke does what follows from a suspension. Connections that were open may carry nothing
// any more, and whoever uses one would find out by a call: they are given up, and new ones
// made as they are needed. What the store says is listed anew, and the balancer sends
// nobody until it is known.
func (n *Node) woke(slept time.Duration) {
	n.confirming.begin()
	ended := n.handler.EndOverdue()
	idle := n.dropAllIdle()
	n.adapter.DropIdle()
	n.gossip.DropIdle()
	n.bounds.Settle(clock.Now())
	n.engineTable.expire()
	n.trials.woke(clock.Now())
	n.health.Renew()
	n.metrics.Suspended(slept)
	n.log.WithFields(log.Fields{"ms": slept.Milliseconds(), "callsEnded": ended, "connections": idle}).Warn("the VM was suspended: connections are given up, and what the store says is listed anew")
}

// confirming is whether what this node knew before a suspension was heard again. It is
// safe for concurrent use.
type confirming struct {
	mu              sync.Mutex
	until           time.Time // it is waited for at the most; zero: nothing is to be heard
	policy, engines bool      // were heard since
}

func (c *confirming) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.policy, c.engines = clock.Now().Add(confirmMost), false, false
}

func (c *confirming) heardPolicy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = true
}

func (c *confirming) heardEngines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = true
}

// over is whether all was heard again, or was waited for long enough: while the store is
// away a node that was suspended is as good as any other.
func (c *confirming) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.policy && c.engines || !clock.Now().Before(c.until)
}
