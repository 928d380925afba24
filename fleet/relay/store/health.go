package store

import (
	"context"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// Health is the state of the store as the followers of one node share it. One follower
// leads and retries while the store is lost; the others wait for it, so that a store that
// refuses calls is asked once and not once for each kind.
//
// A store that becomes silent may drop a watch sent meanwhile and never answer it. So
// whichever part of the node (such as the budget syncer) or peer first reaches the store
// again reports it, and pending watches are restarted.
type Health struct {
	mu          sync.Mutex
	lost        chan struct{} // closed when the leader gets an answer again; nil while it gets answers
	renew       chan struct{} // closed to restart watches
	renewedAt   time.Time
	reconnects  uint64
	unavailable map[string]bool            // parts of the node that get no answer
	availableAt time.Time                  // when one of them last got an answer again
	stalled     func(since time.Time) bool // nil: stalls are not detected
}

// suspectAfter is how long after an outage the store's lists may still lack entries that
// expired while it was unavailable (see the platform's page on discovery).
const suspectAfter = 2 * time.Second

// Lost records that a part of the node gets no answer from the store.
func (h *Health) Lost(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable[part] = true
}

// Suspected reports whether entries may be missing from the store only because it is or was
// unavailable.
func (h *Health) Suspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.unavailable) > 0 || !h.availableAt.IsZero() && clock.Since(h.availableAt) < suspectAfter
}

// answered records that a part of the node gets answers from the store.
func (h *Health) answered(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable[part] {
		delete(h.unavailable, part)
		h.availableAt = clock.Now()
	}
}

// minRenewInterval is the minimum time between two restarts of the watches.
const minRenewInterval = time.Second

// NewHealth returns the health of a store that is available as far as is known.
func NewHealth() *Health { return &Health{renew: make(chan struct{}), unavailable: map[string]bool{}} }

// WithStalls keeps calls that fail because the process stalled from counting against
// the store; stalled reports whether it did since a time. It must be called before use.
func (h *Health) WithStalls(stalled func(since time.Time) bool) *Health {
	h.stalled = stalled
	return h
}

// Stalled reports whether the process stalled since a time: answers that arrived meanwhile
// were not read, and calls may have failed for that reason.
func (h *Health) Stalled(since time.Time) bool { return h.stalled != nil && h.stalled(since) }

// Reconnected records that a part of this node reached the store again.
func (h *Health) Reconnected(part string) {
	h.answered(part)
	h.mu.Lock()
	h.reconnects++
	h.mu.Unlock()
	h.Renew()
}

// Reconnects returns how often this node reached the store again, for its peers.
func (h *Health) Reconnects() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reconnects
}

// Restored records that the store was restored from a backup: entries that must be written
// again may be missing, and pending watches follow a lost history.
func (h *Health) Restored() {
	h.mu.Lock()
	h.availableAt, h.renewedAt = clock.Now(), time.Time{}
	h.mu.Unlock()
	h.Renew()
}

// Renew restarts pending watches.
func (h *Health) Renew() { h.tryRenew() }

// tryRenew restarts pending watches and reports whether it did: not within
// minRenewInterval of the last restart.
func (h *Health) tryRenew() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	if now.Sub(h.renewedAt) < minRenewInterval {
		return false
	}
	h.renewedAt = now
	close(h.renew)
	h.renew = make(chan struct{})
	return true
}

func (h *Health) renewed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renew
}

// leaderPart is the name of the leading follower among the parts of a node.
const leaderPart = "leader"

// leaderLost records that the leader got no answer. If the node is isolated, that is
// no evidence of an outage.
func (h *Health) leaderLost(isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isolated {
		h.unavailable[leaderPart] = true
	}
	if h.lost == nil {
		h.lost = make(chan struct{})
	}
}

// leaderAnswered records that the leader got an answer, and wakes the followers that wait.
func (h *Health) leaderAnswered() {
	h.mu.Lock()
	lost := h.lost
	h.lost = nil
	h.mu.Unlock()
	if lost != nil {
		close(lost)
		h.Reconnected(leaderPart)
	}
}

// wait blocks until the leader gets an answer, for up to timeout. It returns false at once
// if the leader has not lost the store.
func (h *Health) wait(ctx context.Context, timeout time.Duration) bool {
	h.mu.Lock()
	lost := h.lost
	h.mu.Unlock()
	if lost == nil {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-lost:
	}
	return true
}
