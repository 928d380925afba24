package quarantine

import (
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/recent"
)

// maxAnswered bounds the requests in one generation of an answerHistory: some tens of kilobytes.
const maxAnswered = 2048

// answerHistory is a set of the latest few thousand requests, or parts, that were answered completely.
// It is safe for concurrent use.
type answerHistory struct {
	mu      sync.Mutex
	entries *recent.Map[Fingerprint, struct{}]
}

func newAnswerHistory(memory time.Duration) *answerHistory {
	return &answerHistory{entries: recent.New[Fingerprint, struct{}](maxAnswered, memory)}
}

// add records that a request was answered.
func (h *answerHistory) add(p Fingerprint, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.Put(p, struct{}{}, now)
}

func (h *answerHistory) contains(p Fingerprint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.entries.Get(p)
	return ok
}
