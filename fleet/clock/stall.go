package clock

import (
	"sync"
	"time"
)

// leastStandstill is the time between two looks from which a process stood still: shorter
// ones come on any busy machine, and are within what changes may take to be in force.
const leastStandstill = time.Second

// Standstills knows when the process last went on after it had stood still: its host left
// the VM out, or it was stopped. No clock tells of that, and so whoever is about to act
// looks too, before the timer that looks at intervals has run. It is safe for concurrent
// use.
type Standstills struct {
	now func() time.Time

	mu     sync.Mutex
	looked time.Time
	over   time.Time     // zero: it never stood still
	lasted time.Duration // the last time
	told   bool
}

// NewStandstills returns one that counts from now on. Look has to be called at intervals.
func NewStandstills() *Standstills { return newStandstills(Now) }

func newStandstills(now func() time.Time) *Standstills { return &Standstills{now: now, looked: now()} }

// Look takes note of a standstill that is just over, and returns how long it lasted; zero
// where there was none since the last time that it told of one.
func (s *Standstills) Look() time.Duration {
	s.look()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told || s.over.IsZero() {
		return 0
	}
	s.told = true
	return s.lasted
}

func (s *Standstills) look() (now, over time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.now()
	if passed := now.Sub(s.looked); passed >= leastStandstill {
		s.over, s.lasted, s.told = now, passed, false
	}
	s.looked = now
	return now, s.over
}

// Since is whether the process stood still after a moment of this clock.
func (s *Standstills) Since(t time.Time) bool {
	_, over := s.look()
	return over.After(t)
}

// Unread is how much longer what arrived while the process stood still may lie unread in its
// sockets; zero where it did not of late.
func (s *Standstills) Unread() time.Duration {
	now, over := s.look()
	if over.IsZero() {
		return 0
	}
	return max(over.Add(readsFor).Sub(now), 0)
}
