package store

import (
	"context"
	"sync"
	"time"
)

// SharedCall runs a call for all that need an answer from after they asked: those that ask while it runs share
// the next one. It is safe for concurrent use.
type SharedCall struct {
	interval func() time.Duration // minimum between the starts of two calls
	call     func() bool

	mu      sync.Mutex
	running *sharedRound
	next    *sharedRound
}

// sharedRound is one run of the call.
type sharedRound struct {
	done chan struct{} // closed at its end
	ok   bool
}

// NewSharedCall returns a shared call, which reports whether it succeeded. Two calls begin at least an interval
// apart.
func NewSharedCall(interval func() time.Duration, call func() bool) *SharedCall {
	return &SharedCall{interval: interval, call: call}
}

// Do reports whether a call that began after Do did has succeeded before ctx ends.
func (s *SharedCall) Do(ctx context.Context) bool {
	round := s.join()
	select {
	case <-round.done:
		return round.ok
	case <-ctx.Done():
		return false
	}
}

// join returns the round that begins next.
func (s *SharedCall) join() *sharedRound {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedRound{done: make(chan struct{})}
	}
	round := s.next
	if s.running == nil {
		s.begin()
	}
	return round
}

// begin begins the next round. The lock is held.
func (s *SharedCall) begin() {
	s.running, s.next = s.next, nil
	go s.run(s.running)
}

func (s *SharedCall) run(round *sharedRound) {
	over := time.NewTimer(s.interval())
	defer over.Stop()
	round.ok = s.call()
	close(round.done)
	<-over.C
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running = nil; s.next != nil {
		s.begin()
	}
}
