package clock

import (
	"context"
	"time"
)

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
