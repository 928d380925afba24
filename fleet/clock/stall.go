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
func (d *StallDetector) Check() time.Duration {
	d.observe()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported || d.ended.IsZero() {
		return 0
	}
	d.reported = true
	return d.lasted
}

// observe records a stall that has just ended; ended is the end of the last one.
func (d *StallDetector) observe() (now, ended time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.now()
	if elapsed := now.Sub(d.checked); elapsed >= minStall {
		d.ended, d.lasted, d.reported = now, elapsed, false
	}
	d.checked = now
	return now, d.ended
}

// StalledSince reports whether the process has stalled since a time of this clock.
func (d *StallDetector) StalledSince(t time.Time) bool {
	_, ended := d.observe()
	return ended.After(t)
}

// Backlog returns for how much longer the backlog after a stall may be unread; zero if there
// was no recent stall.
func (d *StallDetector) Backlog() time.Duration {
	now, ended := d.observe()
	if ended.IsZero() {
		return 0
	}
	return max(ended.Add(backlogTime).Sub(now), 0)
}
