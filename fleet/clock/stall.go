package clock

import (
	"sync"
	"time"
)

// minStall is the time between two checks from which on the process counts as stalled. Shorter
// gaps occur on any busy VM, and are within the time that changes may take to be in force.
const minStall = time.Second

// StallDetector detects stalls of the process, in which its host did not schedule the VM or the
// process was stopped. No clock shows these. Code that is about to act checks too, since it
// may run before the periodic check does. It is safe for concurrent use.
type StallDetector struct {
	now func() time.Time

	mu       sync.Mutex
	checked  time.Time
	ended    time.Time     // of the last stall; zero if there was none
	lasted   time.Duration // of the last stall
	reported bool
}

// NewStallDetector returns a detector that starts now. Check has to be called periodically.
func NewStallDetector() *StallDetector { return newStallDetector(Now) }

func newStallDetector(now func() time.Time) *StallDetector {
	return &StallDetector{now: now, checked: now()}
}

// Check checks for a stall that has just ended. It returns the length of the last stall once,
// and zero if there was none since it last returned one.
func (s *StallDetector) Check() time.Duration {
	s.observe()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported || s.ended.IsZero() {
		return 0
	}
	s.reported = true
	return s.lasted
}

// observe records a stall that has just ended; ended is the end of the last one.
func (s *StallDetector) observe() (now, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.now()
	if elapsed := now.Sub(s.checked); elapsed >= minStall {
		s.ended, s.lasted, s.reported = now, elapsed, false
	}
	s.checked = now
	return now, s.ended
}

// StalledSince reports whether the process has stalled since a time of this clock.
func (s *StallDetector) StalledSince(t time.Time) bool {
	_, ended := s.observe()
	return ended.After(t)
}

// Backlog returns for how much longer the backlog after a stall may be unread; zero if there
// was no recent stall.
func (s *StallDetector) Backlog() time.Duration {
	now, ended := s.observe()
	if ended.IsZero() {
		return 0
	}
	return max(ended.Add(backlogTime).Sub(now), 0)
}
