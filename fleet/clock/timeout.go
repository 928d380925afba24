package clock

import (
	"sync"
	"time"
)

// Bounds of waiting on after the process stood still.
const (
	standstill = 20 * time.Millisecond  // a timer that is so late tells of one
	readsFor   = 100 * time.Millisecond // in which what has arrived meanwhile is read
	mostMore   = 3                      // times that this is granted
)

// Patience waits for something to be heard. It is safe for concurrent use.
type Patience struct {
	end func()
	now func() time.Time

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	more  int // times that more was granted
	over  bool
}

// WaitFor calls end after a time, unless Stop is called before. A process that stood still
// at the end of that time waits a little longer: what it waits for may lie unread in its
// sockets, and its own standstill is no silence of others.
func WaitFor(d time.Duration, end func()) *Patience { return waitFor(d, end, time.Now) }

func waitFor(d time.Duration, end func(), now func() time.Time) *Patience {
	p := &Patience{end: end, now: now, due: now().Add(d)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(d, p.fire)
	return p
}

func (p *Patience) fire() {
	if p.isOver() {
		p.end()
	}
}

// isOver is whether the wait ends now; else it goes on, or was stopped.
func (p *Patience) isOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	switch {
	case p.over:
		return false
	case now.Sub(p.due) >= standstill && p.more < mostMore:
		p.more++
		p.due = now.Add(readsFor)
		p.timer.Reset(readsFor)
		return false
	}
	p.over = true
	return true
}

// Stop ends the wait: what was waited for was heard.
func (p *Patience) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	p.timer.Stop()
}
