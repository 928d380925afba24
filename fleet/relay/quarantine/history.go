package quarantine

import (
	"sync"
	"time"
)

// mostAnswered is how many requests one generation of a history holds: some tens of kilobytes.
const mostAnswered = 2048

// history is which requests were answered whole of late: the latest few thousand. It is
// safe for concurrent use.
type history struct {
	mu      sync.Mutex
	current map[Print]struct{}
	before  map[Print]struct{}
	since   time.Time // of the current generation
}

// add notes that a request was answered. A request that is asked for again and again stays
// known, however many others are answered once.
func (h *history) add(p Print, now time.Time, memory time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil || len(h.current) >= mostAnswered || now.Sub(h.since) >= memory {
		h.before, h.current, h.since = h.current, map[Print]struct{}{}, now
	}
	h.current[p] = struct{}{}
}

func (h *history) has(p Print) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, late := h.current[p]
	_, before := h.before[p]
	return late || before
}
