package clock

import (
	"sync"
	"time"
)

// Limits of the extension of a timeout after a stall of the process.
const (
	stallDelay    = 20 * time.Millisecond  // a timer that fires this late indicates a stall
	backlogTime   = 100 * time.Millisecond // time to read what arrived during a stall
	maxExtensions = 3                      // extensions of one timeout by backlogTime
)

// Timeout is a timeout for a message. It is safe for concurrent use.
type Timeout struct {
	end func()
	now func() time.Time

	mu         sync.Mutex
	timer      *time.Timer
	due        time.Time
	extensions int
	done       bool
}

// StartTimeout calls end after d, unless Stop is called before. If the process stalls at the end
// of d, the timeout is extended by a short time: the message may be in the backlog of its
// sockets, and a stall of its own must not count as silence of others.
func StartTimeout(d time.Duration, end func()) *Timeout { return newTimeout(d, end, time.Now) }

func newTimeout(d time.Duration, end func(), now func() time.Time) *Timeout {
	t := &Timeout{end: end, now: now, due: now().Add(d)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

func (t *Timeout) fire() {
	if t.expired() {
		t.end()
	}
}

// expired reports whether the timeout ends now. Otherwise it was extended or stopped.
func (t *Timeout) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	switch {
	case t.done:
		return false
	case now.Sub(t.due) >= stallDelay && t.extensions < maxExtensions:
		t.extensions++
		t.due = now.Add(backlogTime)
		t.timer.Reset(backlogTime)
		return false
	}
	t.done = true
	return true
}

// Stop cancels the timeout; the message was received.
func (t *Timeout) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = true
	t.timer.Stop()
}
