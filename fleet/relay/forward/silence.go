package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// How long an endpoint may be silent after a call was sent to it before a call that may
// run again goes elsewhere: some times what was expected, since one connection may go
// silent for good while the endpoint is well, and an endpoint may go dark. The kernel
// feels it after three seconds, when most calls are late.
const (
	silentFactor = 4
	silentLeast  = 300 * time.Millisecond
)

// errSilent ends an attempt whose endpoint said nothing for too long.
var errSilent = errors.New("the endpoint was silent for longer than expected")

// patience is how long this attempt waits for the head of an answer; 0 is as long as
// the call does. A call that may not be sent again waits: silence is no answer.
func (j *job) patience(t *choice.Placement) time.Duration {
	if !j.route.MayRepeat() || j.attempts+1 >= max(j.route.Attempts, 1) {
		return 0
	}
	expected := time.Duration(t.FirstMs * float64(time.Millisecond))
	return max(silentFactor*expected, silentLeast)
}

// whileSilent cancels an attempt after so long, unless what it returns is called before.
func whileSilent(patience time.Duration, cancel context.CancelCauseFunc) (heard func()) {
	if patience <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(patience, func() { cancel(errSilent) })
	return func() { timer.Stop() }
}

// pool is the connections to endpoints that are open, by address, so that one which
// fell silent takes those that rest beside it along: they are as old, and their silence
// would cost a call each. It is safe for concurrent use.
type pool struct {
	mu   sync.Mutex
	open map[string]map[*pooled]bool // by address
}

// pooled is one connection; busy while a call uses it.
type pooled struct {
	net.Conn
	pool    *pool
	address string
	busy    bool
}

func newPool() *pool { return &pool{open: map[string]map[*pooled]bool{}} }

// dialed adds a connection, which a call is about to use.
func (p *pool) dialed(c net.Conn, address string) net.Conn {
	one := &pooled{Conn: c, pool: p, address: address, busy: true}
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

// use notes whether a call uses a connection.
func use(c net.Conn, busy bool) {
	if one, ok := c.(*pooled); ok {
		one.pool.mu.Lock()
		one.busy = busy
		one.pool.mu.Unlock()
	}
}

// dropIdle closes the connections to a place that no call uses, and tells how many.
func (p *pool) dropIdle(address string) int {
	p.mu.Lock()
	var idle []*pooled
	for one := range p.open[address] {
		if !one.busy {
			idle = append(idle, one)
		}
	}
	p.mu.Unlock()
	for _, one := range idle {
		_ = one.Close()
	}
	return len(idle)
}
