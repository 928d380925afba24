package limit

import (
	"sync"
	"time"
)

// Bounds of the delay after which a caller is to retry.
const (
	minDelay = 300 * time.Millisecond
	maxDelay = 10 * time.Second
)

// RetrySchedule schedules the retries of callers that are refused due to the limits of a service's
// endpoints. Each gets its own time, at the rate that the limits allow. It is safe for
// concurrent use.
type RetrySchedule struct {
	mu   sync.Mutex
	next map[string]time.Time // by service
}

// NewRetrySchedule returns a schedule without pending retries.
func NewRetrySchedule() *RetrySchedule { return &RetrySchedule{next: map[string]time.Time{}} }

// After returns how long a caller is to wait, given the calls per second that the service
// accepts from this node. Callers beyond the maximum delay get no slot of their own: more of
// them wait than can be served.
func (r *RetrySchedule) After(service string, perSecond float64, now time.Time) time.Duration {
	if perSecond <= 0 {
		return maxDelay
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next[service]
	if at.Before(now) {
		at = now
	}
	delay := at.Sub(now) + time.Duration(float64(time.Second)/perSecond)
	if delay > maxDelay {
		return maxDelay
	}
	r.next[service] = now.Add(delay)
	return max(delay, minDelay)
}
