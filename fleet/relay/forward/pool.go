package forward

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/link"
)

// pool is the connections to endpoints that are open, by address, so that one which
// fell silent takes those that rest beside it along: they are as old, and their silence
// would cost a call each. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	open map[string]map[*pooled]bool // by address
}

// pooled is one connection, and the call that uses it.
type pooled struct {
	net.Conn
	pool    *pool
	address string
	holder  atomic.Pointer[hold] // nil: no call uses it; it changes under the pool's lock
	dropped bool                 // it was closed while it rested; under the pool's lock
	metered *link.Conn           // nil: nothing is counted
	keeps   atomic.Int64         // for how long the endpoint keeps it while it rests, in nanoseconds; 0: it did not say
}

// hold is one call's use of a connection. How far the call was written is the call's own:
// the transport may hand the connection on before the call has left it, and says that it
// rests only after that.
type hold struct {
	conn    *pooled // nil: not a connection of the pool
	sending atomic.Int32
}

// How far a call was written to its connection.
const (
	untouched int32 = iota // not a byte
	written                // something, perhaps
	barred                 // nothing, and nothing ever will be
)

func newPool() *pool { return &pool{open: map[string]map[*pooled]bool{}} }

// dialed adds a connection, which a call is about to use.
func (p *pool) dialed(c net.Conn, address string) net.Conn {
	one := &pooled{Conn: c, pool: p, address: address}
	one.holder.Store(&hold{conn: one})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] == nil {
		p.open[address] = map[*pooled]bool{}
	}
	p.open[address][one] = true
	return one
}

// Close implements net.Conn.
func (c *pooled) Close() error {
	c.pool.mu.Lock()
	delete(c.pool.open[c.address], c)
	if len(c.pool.open[c.address]) == 0 {
		delete(c.pool.open, c.address)
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *pooled) Write(b []byte) (int, error) {
	h := c.holder.Load()
	if h == nil {
		return c.Conn.Write(b)
	}
	first := h.sending.CompareAndSwap(untouched, written)
	if !first && h.sending.Load() == barred {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		h.sending.Store(untouched)
	}
	return n, err
}

// use notes that a call uses a connection from now on. One that was dropped meanwhile
// takes nothing of it.
func use(c net.Conn) *hold {
	one, ok := c.(*pooled)
	if !ok {
		return &hold{}
	}
	h := &hold{conn: one}
	one.pool.mu.Lock()
	defer one.pool.mu.Unlock()
	if one.dropped {
		h.sending.Store(barred)
	}
	one.holder.Store(h)
	return h
}

// keepsFor notes for how long the endpoint keeps the call's connection while it rests.
func (h *hold) keepsFor(d time.Duration) {
	if h != nil && h.conn != nil && d > 0 {
		h.conn.keeps.Store(int64(d))
	}
}

// forgottenMargin is how much sooner than its endpoint forgets it a connection is not used again: the endpoint
// counts from the end of its answer, and the next call is on its way for a while.
const forgottenMargin = 250 * time.Millisecond

// forgotten is whether the endpoint has forgotten the call's connection, or is about to, after it rested
// for so long.
func (h *hold) forgotten(rested time.Duration) bool {
	if h.conn == nil {
		return false
	}
	keeps := time.Duration(h.conn.keeps.Load())
	return keeps > 0 && rested >= keeps-forgottenMargin
}

// release notes that the call has left its connection, which another call may have by now.
func (h *hold) release() {
	if h.conn == nil {
		return
	}
	h.conn.pool.mu.Lock()
	defer h.conn.pool.mu.Unlock()
	h.conn.holder.CompareAndSwap(h, nil)
}

// bar sees to it that nothing of a call is ever written to its connection; false where
// something may have been. A connection may be closed between the moment at which the
// transport hands it out and the call's first byte, with those that rest beside a silent
// one: such a call was never sent, and may go elsewhere even if it may run only once.
func (h *hold) bar() bool {
	if h.conn == nil {
		return false
	}
	if h.sending.CompareAndSwap(untouched, barred) {
		_ = h.conn.Close()
	}
	return h.sending.Load() == barred
}

// classify says what a call is about to send.
func classify(c net.Conn, class link.Class) {
	if one, ok := c.(*pooled); ok && one.metered != nil {
		one.metered.Classify(class)
	}
}

// DropIdle closes the connections to a place that no call uses, and tells how many: its
// endpoint's life has ended, and they died with it.
func (t *Transport) DropIdle(address string) int { return t.pool.dropIdle(address) }

// DropAllIdle closes the connections to endpoints that no call uses, and tells how many.
func (t *Transport) DropAllIdle() int {
	t.pool.mu.Lock()
	addresses := lo.Keys(t.pool.open)
	t.pool.mu.Unlock()
	return lo.SumBy(addresses, t.pool.dropIdle)
}

// dropIdle closes the connections to a place that no call uses, and tells how many.
func (p *pool) dropIdle(address string) int {
	p.mu.Lock()
	var idle []*pooled
	for one := range p.open[address] {
		if one.holder.Load() == nil {
			one.dropped = true // under the lock: a call that is handed it from now on is never sent on it
			idle = append(idle, one)
		}
	}
	p.mu.Unlock()
	for _, one := range idle {
		_ = one.Close()
	}
	return len(idle)
}
