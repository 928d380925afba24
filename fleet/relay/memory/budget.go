// Package memory bounds the memory of a node's calls. A process with a memory limit then refuses
// calls that do not fit, instead of being killed together with all its calls.
package memory

import "sync"

// Budget bounds the total memory of the calls in progress. A budget without a bound only counts. It is
// safe for concurrent use.
type Budget struct {
	bound int64 // bytes; 0: unbounded

	mu       sync.Mutex
	held     int64 // bytes
	peak     int64 // bytes
	rejected int64 // failed calls of Take
}

// NewBudget returns a budget with a bound in bytes; 0 means unbounded.
func NewBudget(bytes int64) *Budget { return &Budget{bound: bytes} }

// Take reserves bytes, or returns false if they do not fit.
func (b *Budget) Take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound > 0 && b.held+bytes > b.bound {
		b.rejected++
		return false
	}
	b.held += bytes
	b.peak = max(b.peak, b.held)
	return true
}

// Release releases bytes that were taken.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
}

// State is a snapshot of a budget.
type State struct {
	Bound, Held, Peak int64 // bytes
	Rejected          int64 // failed calls of Take
}

// State returns the budget's state, for metrics.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Bound: b.bound, Held: b.held, Peak: b.peak, Rejected: b.rejected}
}
