package link

import (
	"sync"
	"sync/atomic"
	"time"
)

// Class orders what waits for the way out of a full link.
type Class int32

// The classes, the most urgent first. What a node says to the store and to other nodes
// is of none: it never waits.
const (
	Answers Class = iota // of endpoints to callers, and plain calls: small, and soon late
	Prompts              // bodies of calls that generate: large, with seconds to go
	classes
)

// pacedShare is the share of the link that callers and endpoints get: the rest is left to
// heads, acknowledgements and what nodes and the store say, which so never waits behind a
// queue of bodies in the link.
const pacedShare = 0.85

// pacerBurst is what may leave at once after a pause: less than a link carries in the
// time that a plain call has to spare.
const pacerBurst = 20 * time.Millisecond

// Pacer lets what is written leave no faster than the link carries it, the most urgent
// first. It is safe for concurrent use.
type Pacer struct {
	perSecond float64 // bytes; 0: nothing waits
	waits     atomic.Int64

	mu      sync.Mutex
	free    float64 // bytes that may leave now; below 0 what was sent ahead
	at      time.Time
	waiting [classes][]waiter
	pumps   bool
}

type waiter struct {
	bytes int
	may   chan struct{}
}

// NewPacer returns a pacer of a link of so many bytes a second; 0 is not known.
func NewPacer(perSecond float64) *Pacer {
	paced := perSecond * pacedShare
	return &Pacer{perSecond: paced, free: pacerBurst.Seconds() * paced, at: time.Now()}
}

// Waited is how many writes have had to wait.
func (p *Pacer) Waited() int64 { return p.waits.Load() }

// Wait returns when so many bytes of a class may leave.
func (p *Pacer) Wait(bytes int, c Class) {
	if p.perSecond <= 0 {
		return
	}
	if may := p.enter(bytes, c); may != nil {
		p.waits.Add(1)
		<-may
	}
}

// enter takes the bytes, or queues for them: nil says that they may leave now.
func (p *Pacer) enter(bytes int, c Class) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()
	if p.free > 0 && !p.anyWaits() {
		p.free -= float64(bytes)
		return nil
	}
	w := waiter{bytes: bytes, may: make(chan struct{})}
	p.waiting[c] = append(p.waiting[c], w)
	if !p.pumps {
		p.pumps = true
		go p.pump()
	}
	return w.may
}

func (p *Pacer) refill() {
	now := time.Now()
	p.free = min(p.free+now.Sub(p.at).Seconds()*p.perSecond, pacerBurst.Seconds()*p.perSecond)
	p.at = now
}

func (p *Pacer) anyWaits() bool {
	for _, queue := range p.waiting {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// pump lets what waits leave, until nothing does.
func (p *Pacer) pump() {
	for {
		pause, more := p.release()
		if !more {
			return
		}
		time.Sleep(pause)
	}
}

// release lets go what may leave now, and is how long the rest has to wait.
func (p *Pacer) release() (pause time.Duration, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()
	for p.free > 0 {
		w, ok := p.next()
		if !ok {
			p.pumps = false
			return 0, false
		}
		p.free -= float64(w.bytes)
		close(w.may)
	}
	const leastPause = time.Millisecond // a timer's worth
	return max(time.Duration(-p.free/p.perSecond*float64(time.Second)), leastPause), true
}

func (p *Pacer) next() (waiter, bool) {
	for c, queue := range p.waiting {
		if len(queue) > 0 {
			p.waiting[c] = queue[1:]
			return queue[0], true
		}
	}
	return waiter{}, false
}
