package store

import "sync"

// Eras tracks the newest era of the store that a node knows of. The store begins a new
// era each time it is restored from a backup: writes acknowledged after it was made
// are lost, and their revision numbers are assigned again. It is safe for concurrent use.
type Eras struct {
	mu     sync.Mutex
	newest int64
	known  bool
	risen  bool
	onRise []func(before, now int64)
}

// NewEras returns a tracker that knows no era yet.
func NewEras() *Eras { return &Eras{} }

// OnRise registers a function that is called for each new era after the first one
// observed. It must be called before any era is observed.
func (e *Eras) OnRise(notify func(before, now int64)) { e.onRise = append(e.onRise, notify) }

// Newest returns the newest known era; 0 if the store reports none.
func (e *Eras) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Known reports whether the store or another node reported any era.
func (e *Eras) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Risen reports whether a new era began since the first one observed.
func (e *Eras) Risen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.risen
}

// Observe records an era that the store or another node reported.
func (e *Eras) Observe(era int64) {
	e.mu.Lock()
	before, rises := e.newest, e.known && era > e.newest
	e.newest, e.known, e.risen = max(e.newest, era), true, e.risen || rises
	e.mu.Unlock()
	if !rises {
		return
	}
	for _, notify := range e.onRise {
		notify(before, era)
	}
}
