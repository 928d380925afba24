package dial

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// longAgo is a deadline that has passed; the zero time is none.
var longAgo = time.Time{}.Add(1)

// Dialer opens connections of type Conn.
type Dialer struct{ net.Dialer }

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Conn is a connection whose Read returns io.EOF only if the other end closed it in order. The kernel
// reports a reset or a timeout once, to a read or a write; a read after such a write returns io.EOF.
// It supports one reader beside any writers.
type Conn struct {
	net.Conn
	ended atomic.Bool // Read has returned io.EOF

	mu     sync.Mutex // held during a write
	failed error      // the failure of the connection that a write returned; nil: none
}

// NewConn wraps a connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if isFailure(err) {
		c.failed = err
	}
	if c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errors.Wrap(net.ErrClosed, "write after the other end closed the connection")
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	return n, c.whyEnded()
}

// whyEnded returns io.EOF, or the failure that a write returned instead of the read. A write that the
// kernel has told the failure may not have returned yet; one that waits for the other end is interrupted.
func (c *Conn) whyEnded() error {
	c.ended.Store(true)
	_ = c.Conn.SetWriteDeadline(longAgo)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return errors.Wrap(c.failed, "the connection failed while it was written to")
	}
	return io.EOF
}

// isFailure reports whether a write's error is a failure of the connection. EPIPE is none by itself: after
// a reset the first call to notice it gets another error, unless the other end had closed in order before.
func isFailure(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
