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
func StartTimeout(d time.Duration, end func()) *Timeout { return waitFor(d, end, time.Now) }

func waitFor(d time.Duration, end func(), now func() time.Time) *Timeout {
	p := &Timeout{end: end, now: now, due: now().Add(d)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(d, p.fire)
	return p
}

func (p *Timeout) fire() {
	if p.expired() {
		p.end()
	}
}

// expired reports whether the timeout ends now. Otherwise it was extended or stopped.
func (p *Timeout) expired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	switch {
	case p.done:
		return false
	case now.Sub(p.due) >= stallDelay && p.extensions < maxExtensions:
		p.extensions++
		p.due = now.Add(backlogTime)
		p.timer.Reset(backlogTime)
		return false
	}
	p.done = true
	return true
}

// Stop cancels the timeout; the message was received.
func (p *Timeout) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	p.timer.Stop()
}
