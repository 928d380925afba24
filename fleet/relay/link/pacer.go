package link

import (
	"sync"
	"sync/atomic"
	"time"
)

// Class is the priority of writes that wait for a full link.
type Class int32

// The classes, most urgent first. Traffic to the store and to other nodes has no class and never
// waits.
const (
	Answers Class = iota // answers to callers and plain calls: small, with short deadlines
	Prompts              // bodies of calls that generate tokens: large, with seconds to spare
	classes
)

// pacedShare is the share of the link for traffic with callers and endpoints. The rest is left for
// headers, acknowledgements and traffic with other nodes and the store, which thus never queues
// behind bodies.
const pacedShare = 0.85

// pacerBurst is the burst after an idle period, as time at the paced rate: shorter than the delay
// that a plain call can afford.
const pacerBurst = 20 * time.Millisecond

// Pacer limits writes to the capacity of the link and orders them by class. It is safe for
// concurrent use.
type Pacer struct {
	perSecond float64 // bytes; 0: no pacing
	waits     atomic.Int64

	mu      sync.Mutex
	free    float64 // bytes that may be written now; negative after a write that exceeded it
	at      time.Time
	waiting [classes][]waiter
	pumping bool // the pump goroutine runs
}

type waiter struct {
	bytes int
	ready chan struct{} // closed when the bytes may be written
}

// NewPacer returns a pacer for a link with a capacity in bytes per second; 0 means unknown.
func NewPacer(perSecond float64) *Pacer {
	paced := perSecond * pacedShare
	return &Pacer{perSecond: paced, free: pacerBurst.Seconds() * paced, at: time.Now()}
}

// Waited returns the number of writes that have been delayed.
func (p *Pacer) Waited() int64 { return p.waits.Load() }

// Wait blocks until a number of bytes of a class may be written.
func (p *Pacer) Wait(bytes int, c Class) {
	if p.perSecond <= 0 {
		return
	}
	if ready := p.enter(bytes, c); ready != nil {
		p.waits.Add(1)
		<-ready
	}
}

// enter returns nil if the bytes may be written now, and otherwise queues them.
func (p *Pacer) enter(bytes int, c Class) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()
	if p.free > 0 && !p.anyWaiting() {
		p.free -= float64(bytes)
		return nil
	}
	w := waiter{bytes: bytes, ready: make(chan struct{})}
	p.waiting[c] = append(p.waiting[c], w)
	if !p.pumping {
		p.pumping = true
		go p.pump()
	}
	return w.ready
}

func (p *Pacer) refill() {
	now := time.Now()
	p.free = min(p.free+now.Sub(p.at).Seconds()*p.perSecond, pacerBurst.Seconds()*p.perSecond)
	p.at = now
}

func (p *Pacer) anyWaiting() bool {
	for _, queue := range p.waiting {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// pump releases waiting writes until none is left.
func (p *Pacer) pump() {
	for {
		pause, more := p.release()
		if !more {
			return
		}
		time.Sleep(pause)
	}
}

// release releases the writes that may proceed now. It returns how long the others have to wait, and
// false if there are none.
func (p *Pacer) release() (pause time.Duration, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill()
	for p.free > 0 {
		w, ok := p.next()
		if !ok {
			p.pumping = false
			return 0, false
		}
		p.free -= float64(w.bytes)
		close(w.ready)
	}
	const minPause = time.Millisecond // shorter timers are not worthwhile
	return max(time.Duration(-p.free/p.perSecond*float64(time.Second)), minPause), true
}

// next removes the first waiter of the most urgent class.
func (p *Pacer) next() (waiter, bool) {
	for c, queue := range p.waiting {
		if len(queue) > 0 {
			p.waiting[c] = queue[1:]
			return queue[0], true
		}
	}
	return waiter{}, false
}
