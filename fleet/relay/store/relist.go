package store

import "sync"

// Relist makes a follower list its kind at once instead of waiting for its watch to end.
// It is safe for concurrent use; a nil Relist never requests a list.
type Relist struct {
	mu    sync.Mutex
	watch chan struct{} // closed to end the current watch
}

// Request ends the current watch and has the kind listed. It has no effect while the
// follower is listing already; a caller that still lacks something asks again.
func (r *Relist) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watch != nil {
		close(r.watch)
		r.watch = nil
	}
}

// Requested returns a channel that is closed to end the watch that is about to begin.
func (r *Relist) Requested() <-chan struct{} {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watch == nil {
		r.watch = make(chan struct{})
	}
	return r.watch
}
