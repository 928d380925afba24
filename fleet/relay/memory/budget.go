// Package memory bounds what a node's calls hold, so that a process whose memory is
// bounded refuses calls that it could not hold rather than ends with all of them.
package memory

import "sync"

// Budget is what calls in progress may hold together. It is safe for concurrent use; a
// budget of no bound lets everything pass and counts it.
type Budget struct {
	bound int64 // bytes; 0 is no bound

	mu    sync.Mutex
	held  int64
	peak  int64
	short int64 // times that something did not fit
}

// NewBudget returns a budget of so many bytes; 0 is no bound.
func NewBudget(bytes int64) *Budget { return &Budget{bound: bytes} }

// Take sets bytes aside, or is false where they do not fit.
func (b *Budget) Take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound > 0 && b.held+bytes > b.bound {
		b.short++
		return false
	}
	b.held += bytes
	b.peak = max(b.peak, b.held)
	return true
}

// Give returns what was taken.
func (b *Budget) Give(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
}

// State is what a budget holds.
type State struct {
	Bound, Held, Peak int64 // bytes
	Short             int64 // times that something did not fit
}

// State is the budget's state, for metrics.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Bound: b.bound, Held: b.held, Peak: b.peak, Short: b.short}
}
