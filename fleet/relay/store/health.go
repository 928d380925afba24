package store

import (
	"context"
	"sync"
	"time"
)

// Health is what the followers of one node share about the store: one of them
// leads, and asks again while the store is lost; the others wait for it. So a
// store that refuses is asked once, not once for each kind that is followed.
type Health struct {
	mu   sync.Mutex
	lost chan struct{} // closed when the leader has an answer again; nil while it has
}

// NewHealth returns the health of a store that answers as far as is known.
func NewHealth() *Health { return &Health{} }

// leaderLost notes that the leader got no answer.
func (h *Health) leaderLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost == nil {
		h.lost = make(chan struct{})
	}
}

// leaderAnswered notes that the leader got one, and wakes those who wait.
func (h *Health) leaderAnswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost != nil {
		close(h.lost)
		h.lost = nil
	}
}

// wait returns when the leader has an answer, after most at the latest; false
// at once where the leader has not lost the store.
func (h *Health) wait(ctx context.Context, most time.Duration) bool {
	h.mu.Lock()
	lost := h.lost
	h.mu.Unlock()
	if lost == nil {
		return false
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-lost:
	}
	return true
}
