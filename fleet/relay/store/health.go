package store

import (
	"context"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// Health is what the followers of one node share about the store: one of them
// leads, and asks again while the store is lost; the others wait for it. So a
// store that refuses is asked once, not once for each kind that is followed.
//
// A store that falls silent may swallow a watch that is sent to it meanwhile, and
// say nothing of it when it is back. So whoever finds it back, this node's syncer
// of budgets or a peer, tells, and watches that wait are sent anew.
type Health struct {
	mu         sync.Mutex
	lost       chan struct{} // closed when the leader has an answer again; nil while it has
	renew      chan struct{} // closed when watches are to be sent anew
	renewedAt  time.Time
	reconnects uint64
	away       map[string]bool // parts of the node that get no answer
	backAt     time.Time       // when one of them last had an answer again
	stood      func(since time.Time) bool
}

// doubtAfter is how long after the store's return what it lists may still lack
// entries that lapsed while it was away (the platform's page on discovery).
const doubtAfter = 2 * time.Second

// Lost notes that a part of the node gets no answer from the store.
func (h *Health) Lost(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.away[part] = true
}

// Doubted is whether entries may be missing from the store only because it is or
// was away.
func (h *Health) Doubted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.away) > 0 || !h.backAt.IsZero() && clock.Since(h.backAt) < doubtAfter
}

// found notes that a part of the node that got no answer has one again.
func (h *Health) found(part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away[part] {
		delete(h.away, part)
		h.backAt = clock.Now()
	}
}

// renewPause is the least time between two rounds of watches sent anew.
const renewPause = time.Second

// NewHealth returns the health of a store that answers as far as is known.
func NewHealth() *Health { return &Health{renew: make(chan struct{}), away: map[string]bool{}} }

// WithStandstills has calls that fail after the process stood still say nothing of the
// store; stood is whether it did since a moment. It is to be set before anybody asks.
func (h *Health) WithStandstills(stood func(since time.Time) bool) *Health {
	h.stood = stood
	return h
}

// Stood is whether the process stood still since a moment: what waited in between was not
// read, and what failed failed for want of it.
func (h *Health) Stood(since time.Time) bool { return h.stood != nil && h.stood(since) }

// Reconnected notes that a part of this node found the store back.
func (h *Health) Reconnected(part string) {
	h.found(part)
	h.mu.Lock()
	h.reconnects++
	h.mu.Unlock()
	h.Renew()
}

// Reconnects is how often this node found the store back, for its peers.
func (h *Health) Reconnects() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reconnects
}

// Restored notes that the store came back from a copy: entries may be missing that are to
// be written again, and what waits watches a history that is gone.
func (h *Health) Restored() {
	h.mu.Lock()
	h.backAt, h.renewedAt = clock.Now(), time.Time{}
	h.mu.Unlock()
	h.Renew()
}

// Renew has the watches that wait sent anew.
func (h *Health) Renew() { h.tryRenew() }

// tryRenew is whether it does so: not where that was done a moment ago.
func (h *Health) tryRenew() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	if now.Sub(h.renewedAt) < renewPause {
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

// leaderPart names the follower that leads among the parts of a node.
const leaderPart = "leader"

// leaderLost notes that the leader got no answer; where the node is alone, that says
// nothing of the store.
func (h *Health) leaderLost(alone bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !alone {
		h.away[leaderPart] = true
	}
	if h.lost == nil {
		h.lost = make(chan struct{})
	}
}

// leaderAnswered notes that the leader got one, and wakes those who wait.
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
