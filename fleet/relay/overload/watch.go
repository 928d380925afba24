package overload

import (
	"context"
	"time"

	"github.com/apex/log"
)

// readEvery is the time between two readings: a node that is overloaded answers
// within it some dozens of calls.
const readEvery = 200 * time.Millisecond

// Watch reads the node's load for a gate until ctx ends, and tells when calls begin
// and cease to go to other nodes.
func Watch(ctx context.Context, g *Gate, l log.Interface) {
	waits := NewWaits()
	ticker := time.NewTicker(readEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s := g.Read(waits.Mean()); s.Changed {
			tell(s, l)
		}
	}
}

func tell(s State, l log.Interface) {
	entry := l.WithFields(log.Fields{"waitMs": s.Wait.Milliseconds(), "slowBodies": s.Slow, "bodies": s.Bodies, "calls": s.Calls, "kept": s.Kept})
	if s.Kept < 1 {
		entry.Warn("overloaded: calls of the heaviest customers are handed on")
		return
	}
	entry.Info("no longer overloaded: every call is kept")
}
