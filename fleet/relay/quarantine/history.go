package quarantine

import (
	"sync"
	"time"
)

// maxAnswered bounds the requests in one generation of an answerHistory: some tens of kilobytes.
const maxAnswered = 2048

// answerHistory is a set of the latest few thousand requests that were answered completely. It is
// safe for concurrent use.
type answerHistory struct {
	mu       sync.Mutex
	current  map[Fingerprint]struct{}
	previous map[Fingerprint]struct{}
	since    time.Time // start of the current generation
}

// add records that a request was answered. A request that keeps coming stays known, however
// many other requests are answered once.
func (h *answerHistory) add(p Fingerprint, now time.Time, memory time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil || len(h.current) >= maxAnswered || now.Sub(h.since) >= memory {
		h.previous, h.current, h.since = h.current, map[Fingerprint]struct{}{}, now
	}
	h.current[p] = struct{}{}
}

func (h *answerHistory) contains(p Fingerprint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, current := h.current[p]
	_, previous := h.previous[p]
	return current || previous
}
