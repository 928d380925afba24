package limit

import (
	"sync"
	"time"
)

// Bounds of when a caller is told to come back.
const (
	soonest = 300 * time.Millisecond
	latest  = 10 * time.Second
)

// Returns says when callers that the limits of a service's endpoints leave out may come
// back: each at a time of its own, as fast as the limits allow. It is safe for concurrent
// use.
type Returns struct {
	mu   sync.Mutex
	next map[string]time.Time // by service
}

// NewReturns returns one that has told nobody to come back.
func NewReturns() *Returns { return &Returns{next: map[string]time.Time{}} }

// After is how long a caller is to wait whose service takes so many calls a second of this
// node. Beyond the latest time no place is promised: more callers wait than can be served.
func (r *Returns) After(service string, perSecond float64, now time.Time) time.Duration {
	if perSecond <= 0 {
		return latest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next[service]
	if at.Before(now) {
		at = now
	}
	wait := at.Sub(now) + time.Duration(float64(time.Second)/perSecond)
	if wait > latest {
		return latest
	}
	r.next[service] = now.Add(wait)
	return max(wait, soonest)
}
