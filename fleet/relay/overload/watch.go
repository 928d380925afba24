package overload

import (
	"context"
	"time"

	"github.com/apex/log"
)

// readInterval is the interval between two readings, in which an overloaded node answers some dozens
// of calls.
const readInterval = 200 * time.Millisecond

// Watch reads the node's load for a gate until ctx ends, and logs when calls begin and cease to go
// to other nodes.
func Watch(ctx context.Context, g *Gate, l log.Interface) {
	waits := NewWaitReader()
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := g.Read(waits.Mean())
		if s.Changed {
			logChange(s, l)
		}
		if s.Closed > 0 {
			l.WithFields(log.Fields{"closed": s.Closed, "accepted": s.Accepted, "kept": s.Kept}).Warn("overloaded by new connections: some are closed unread")
		}
	}
}

func logChange(s State, l log.Interface) {
	entry := l.WithFields(log.Fields{"waitMs": s.Wait.Milliseconds(), "slowBodies": s.SlowBodies, "bodies": s.Bodies, "calls": s.Calls, "kept": s.Kept})
	if s.Kept < 1 {
		entry.Warn("overloaded: redirecting calls of the heaviest customers")
		return
	}
	entry.Info("no longer overloaded: keeping all calls")
}
