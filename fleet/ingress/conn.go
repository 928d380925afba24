package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

// phase is the progress of a connection's current call.
type phase int

const (
	unused  phase = iota // no call has come yet
	idle                 // between two calls
	reading              // part of a call has been read
	serving              // the handler is running
	written              // the handler has returned; its answer may not have been sent yet
)

// String returns the phase as it is logged.
func (p phase) String() string {
	return [...]string{"fresh", "resting", "reading", "serving", "written"}[p]
}

// conn is a caller's connection that tracks the progress of its call. Its lock orders a stop,
// which closes idle connections, and a call that comes at the same time: either the call
// reaches the handler and is answered, or the handler receives nothing of it. net/http alone
// does not ensure this. It considers a connection idle until the header of the next call is
// parsed, although on a slow VM the bytes may have been read long before, so that it closes
// connections of calls that it then passes to the handler (54 to 85 of 2,000 calls sent while
// a stop began). It is safe for concurrent use.
type conn struct {
	net.Conn
	listener      *Listener
	opened        time.Time
	headerTimeout time.Duration // for the header of a call

	lease *memory.Lease

	mu           sync.Mutex
	phase        phase
	readingSince time.Time // when the first bytes of the call were read, in phase reading
	calls        int       // passed to the handler
	unanswered   int64     // bytes read since the last answer
	callerClosed bool
	closed       bool
	evicted      bool
	unreadBody   bool      // the call is answered before its body has come
	idleSince    time.Time // when it was opened or its last answer was sent
	bodySince    time.Time // since when the handler reads the body; zero: it does not
	writeSince   time.Time // since when a write is in progress; zero: none is

	headBytes     int64     // reserved for the header of the call, beside callHeadBytes
	writeDeadline time.Time // when the deadline for writes was set last
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	inHead, ok := c.recordRead(n, err)
	if !ok || inHead && !c.reserveHead() {
		return 0, net.ErrClosed // also discards bytes that were read: the connection is closed
	}
	return n, err
}

// recordRead records what was read. It returns false if the connection is closed.
func (c *conn) recordRead(n int, err error) (inHead, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, false
	}
	if n > 0 {
		c.unanswered += int64(n)
		if c.phase == unused || c.phase == idle {
			c.phase, c.readingSince = reading, time.Now()
		}
	}
	if err != nil && !isTimeout(err) {
		c.callerClosed = true
	}
	return c.phase == reading, true
}

// Write implements net.Conn. It sends nothing once the connection is marked as closed: net/http
// answers 400 where it gets an error in the middle of a header, and the socket may still be open.
// A caller that reads nothing for unreadTimeout loses its connection.
func (c *conn) Write(p []byte) (written int, err error) {
	defer c.endWrite()
	for len(p) > 0 && err == nil {
		if !c.beginWrite() {
			return written, net.ErrClosed
		}
		n := 0
		n, err = c.Conn.Write(p[:min(len(p), writePiece)])
		written, p = written+n, p[n:]
	}
	return written, err
}

// beginWrite records that a write is in progress. It returns false if the connection is closed.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.writeSince = time.Now()
	if c.writeSince.Sub(c.writeDeadline) > c.listener.unread/3 {
		c.writeDeadline = c.writeSince
		_ = c.Conn.SetWriteDeadline(c.writeSince.Add(c.listener.unread))
	}
	return true
}

func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeSince = time.Time{}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Close implements net.Conn. It logs a warning if bytes of a call were read, the handler has
// not answered it and the caller has not closed the connection: the header was invalid, the
// answer was aborted or the call was lost. The fields show the progress of the call and
// whether a stop had begun.
func (c *conn) Close() error {
	c.mu.Lock()
	lost := !c.closed && !c.callerClosed && c.unanswered > 0 && c.phase != written
	lingers := c.unreadBody && !c.callerClosed && !c.closed
	c.closed = true
	fields := c.fields()
	c.mu.Unlock()
	if lost {
		c.listener.log.WithFields(fields).Warn("caller's connection closed with an open call")
	}
	if lingers {
		return c.linger()
	}
	return c.release()
}

// linger closes the connection later in the direction from the caller. Bytes that arrive at a closed
// connection reset it, and the caller that still sends would lose its answer.
func (c *conn) linger() error {
	time.AfterFunc(c.listener.lingerTime, func() { _ = c.release() })
	return c.CloseWrite()
}

// CloseWrite closes the sending direction if the connection supports it. net/http does so after
// it refused a call before reading its body, so that the caller reads the answer and gets no reset.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Arguments of SetLinger.
const (
	closesInOrder = -1
	closesByReset = 0
)

// setLinger sets how the connection closes, if it supports that.
func (c *conn) setLinger(seconds int) {
	if lingering, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = lingering.SetLinger(seconds) // fails only if it is closed
	}
}

// fields returns log fields for the progress of the call. The caller must hold c.mu.
func (c *conn) fields() log.Fields {
	return log.Fields{
		"caller": c.RemoteAddr().String(), "phase": c.phase.String(), "unansweredBytes": c.unanswered,
		"calls": c.calls, "openMs": time.Since(c.opened).Milliseconds(), "stopping": c.listener.closing.Load(), "evicted": c.evicted,
	}
}

// closeIfIdle closes the connection if it is idle between two calls, and reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	wasIdle := c.phase == idle && !c.closed
	if wasIdle {
		c.closed = true
	}
	c.mu.Unlock()
	if wasIdle {
		_ = c.release()
	}
	return wasIdle
}

// release closes a connection that is marked as closed.
func (c *conn) release() error {
	c.listener.remove(c)
	c.lease.End()
	return c.Conn.Close()
}

// begin records that a call is passed to the handler. It returns false if the connection is
// closed. That happens to pipelined calls: the bytes of the next call may have been read
// ahead, together with the previous one, so that the connection counted as idle.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.phase = serving
	c.calls++
	return true
}

// unreadBodyTimeout is how long the remainder of a call may take that is answered before all of it has
// come. net/http, which reads some of it to keep the connection, itself sets no limit.
const unreadBodyTimeout = 500 * time.Millisecond

// boundUnread bounds the time for the remainder of a call that is answered now.
func (c *conn) boundUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		c.unreadBody = true
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// end records that the handler has returned.
func (c *conn) end() {
	c.mu.Lock()
	c.phase = written
	c.mu.Unlock()
	if c.listener.closing.Load() {
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// markIdle records that the last answer was sent completely. After DisableKeepAlives it closes the
// connection, since an answer whose header is older than the stop has no "Connection: close".
func (c *conn) markIdle() {
	c.mu.Lock()
	c.phase, c.unanswered, c.idleSince, c.unreadBody = idle, 0, time.Now(), false
	c.mu.Unlock()
	c.returnHead()
	if c.listener.draining.Load() {
		c.closeIfIdle()
	}
}

// busy reports whether a call is in progress or its answer is still being sent. Bytes that
// do not form a call count only for the header timeout, since net/http waits for the rest of
// them as long as it waits for a call.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, c.phase == unused, c.phase == idle:
		return false
	case c.phase == reading:
		return time.Since(c.readingSince) < c.headerTimeout
	}
	return true
}

// connContextKey is the context key of a call's connection.
type connContextKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

func onStateChange(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.markIdle()
	}
}
