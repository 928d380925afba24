package forward

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/link"
	"github.com/lynxshed/lynxshed/fleet/response"
)

// pool tracks the open connections to endpoints by address. When one falls silent, the idle ones
// to the same address are closed, too: they are as old, and each would cost a call if it is silent.
// It is safe for concurrent use.
type pool struct {
	tunnels Tunnels // nil: none

	mu           sync.Mutex
	open         map[string]map[*pooledConn]bool // by address
	told         map[string]toldBirth            // by address: the last birth that the endpoint told
	unidentified map[string]map[*pooledConn]bool // by address, since the last birth; also those that are closed
}

// pooledConn is a connection and the call that uses it.
type pooledConn struct {
	net.Conn
	pool         *pool
	address      string
	opened       time.Time
	via          string                  // the node that a tunnel leads through; "": direct
	service      string                  // of the endpoint of a tunnel
	user         atomic.Pointer[connUse] // nil: idle; changed under the pool's lock
	dropped      bool                    // closed while idle; guarded by the pool's lock
	metered      *link.Conn              // nil: not metered
	born         int64                   // of the endpoint's incarnation; 0: not known; guarded by the pool's lock
	unidentified bool                    // the endpoint did not tell its incarnation; guarded by the pool's lock
	onIdentified []func()                // called once it is identified; guarded by the pool's lock
	heads        response.Heads          // of its answers
	idleTimeout  atomic.Int64            // how long the endpoint keeps it open while idle, in nanoseconds; 0: unknown
}

// connUse is one call's use of a connection. Each use has its own write state, since the transport
// may give the connection to the next call before the previous one has released it. The transport
// reports it as idle only afterwards.
type connUse struct {
	conn  *pooledConn // nil: not from the pool
	state atomic.Int32
}

// Write states of a call on its connection.
const (
	unwritten int32 = iota // no byte has been written
	written                // some bytes may have been written
	blocked                // no byte has been or will be written
)

func newPool() *pool {
	return &pool{open: map[string]map[*pooledConn]bool{}, told: map[string]toldBirth{}, unidentified: map[string]map[*pooledConn]bool{}}
}

// add adds a new direct connection, which a call is about to use.
func (p *pool) add(c net.Conn, address string) *pooledConn {
	return p.track(&pooledConn{Conn: c, address: address})
}

// addTunnel adds a new connection to an endpoint through another node.
func (p *pool) addTunnel(c net.Conn, e engine.Engine, via string) *pooledConn {
	return p.track(&pooledConn{Conn: c, address: e.Address, service: e.Service, via: via})
}

func (p *pool) track(one *pooledConn) *pooledConn {
	one.pool, one.opened = p, clock.Now()
	one.user.Store(&connUse{conn: one})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[one.address] == nil {
		p.open[one.address] = map[*pooledConn]bool{}
	}
	p.open[one.address][one] = true
	return one
}

// Close implements net.Conn.
func (c *pooledConn) Close() error {
	c.pool.mu.Lock()
	delete(c.pool.open[c.address], c)
	if len(c.pool.open[c.address]) == 0 {
		delete(c.pool.open, c.address)
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *pooledConn) Write(b []byte) (int, error) {
	c.heads.Wrote()
	u := c.user.Load()
	if u == nil {
		return c.Conn.Write(b)
	}
	first := u.state.CompareAndSwap(unwritten, written)
	if !first && u.state.Load() == blocked {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		u.state.Store(unwritten)
	}
	return n, err
}

// startUse records that a call uses a connection from now on. If the connection has been dropped
// in the meantime, nothing of the call is written to it.
func startUse(c net.Conn) *connUse {
	one, ok := c.(*pooledConn)
	if !ok {
		return &connUse{}
	}
	u := &connUse{conn: one}
	one.pool.mu.Lock()
	defer one.pool.mu.Unlock()
	if one.dropped {
		u.state.Store(blocked)
	}
	one.user.Store(u)
	return u
}

// setIdleTimeout records how long the endpoint keeps the call's connection open while idle.
func (u *connUse) setIdleTimeout(d time.Duration) {
	if u != nil && u.conn != nil && d > 0 {
		u.conn.idleTimeout.Store(int64(d))
	}
}

// idleMargin is how long before the endpoint's idle timeout a connection is no longer used: the
// endpoint counts from the end of its answer, and the next call takes a while to arrive.
const idleMargin = 250 * time.Millisecond

// idleExpired reports whether the endpoint has closed the call's connection, or is about to, after
// it was idle for the given time.
func (u *connUse) idleExpired(idle time.Duration) bool {
	if u.conn == nil {
		return false
	}
	timeout := time.Duration(u.conn.idleTimeout.Load())
	return timeout > 0 && idle >= timeout-idleMargin
}

// release records that the call no longer uses its connection, which another call may use by now.
// A tunnel that is no longer needed is closed: it costs another node and takes longer.
func (u *connUse) release() {
	if u.conn == nil {
		return
	}
	u.conn.pool.mu.Lock()
	idle := u.conn.user.CompareAndSwap(u, nil)
	surplus := idle && u.conn.isSurplus()
	if surplus {
		u.conn.dropped = true
	}
	u.conn.pool.mu.Unlock()
	if surplus {
		_ = u.conn.Close()
	}
}

// via returns the node that the call's connection leads through; "" means that it is direct.
func (u *connUse) via() string {
	if u == nil || u.conn == nil {
		return ""
	}
	return u.conn.via
}

// born returns the birth of the incarnation at the other end of the call's connection; 0: not known.
func (u *connUse) born() int64 {
	born, _ := u.incarnation()
	return born
}

// block prevents any byte of the call from being written to its connection. It returns false if
// some may have been. A connection may be closed as idle, beside a silent one, after the transport
// has handed it out and before the call's first byte: such a call was never sent and may go
// to another endpoint even if it may run only once.
func (u *connUse) block() bool {
	if u.conn == nil {
		return false
	}
	if u.state.CompareAndSwap(unwritten, blocked) {
		_ = u.conn.Close()
	}
	return u.state.Load() == blocked
}

// classify sets the class of what a call is about to send.
func classify(c net.Conn, class link.Class) {
	if one, ok := c.(*pooledConn); ok && one.metered != nil {
		one.metered.Classify(class)
	}
}

// DropIdle closes the idle connections to an address and returns how many. It is for an endpoint
// whose incarnation has ended, and its connections with it.
func (t *Transport) DropIdle(address string) int { return t.pool.dropIdle(address) }

// DropAllIdle closes all idle connections to endpoints and returns how many.
func (t *Transport) DropAllIdle() int {
	return t.pool.dropIdleWhere(func(*pooledConn) bool { return true })
}

// dropIdle closes the idle connections to an address and returns how many.
func (p *pool) dropIdle(address string) int {
	p.mu.Lock()
	idle := dropFrom(nil, p.open[address], func(*pooledConn) bool { return true })
	p.mu.Unlock()
	return closeAll(idle)
}

// dropIdleWhere closes the idle connections that match and returns how many.
func (p *pool) dropIdleWhere(matches func(*pooledConn) bool) int {
	p.mu.Lock()
	var idle []*pooledConn
	for _, open := range p.open {
		idle = dropFrom(idle, open, matches)
	}
	p.mu.Unlock()
	return closeAll(idle)
}

// dropFrom marks the idle connections that match, and appends them to a list. The pool's lock is
// held: a call that gets one from now on never writes to it.
func dropFrom(dropped []*pooledConn, open map[*pooledConn]bool, matches func(*pooledConn) bool) []*pooledConn {
	for one := range open {
		if one.user.Load() == nil && matches(one) {
			one.dropped = true
			dropped = append(dropped, one)
		}
	}
	return dropped
}

func closeAll(connections []*pooledConn) int {
	for _, one := range connections {
		_ = one.Close()
	}
	return len(connections)
}
