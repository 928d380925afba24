package dialtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Connect opens a connection, as http.Transport.DialContext does.
type Connect = func(ctx context.Context, network, address string) (net.Conn, error)

// FirstWriterFirst wraps the first connection to an address with WriterFirst.
func FirstWriterFirst(to string, connect Connect) Connect {
	var wrapped atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil || address != to || wrapped.Swap(true) {
			return c, err
		}
		return WriterFirst(c), nil
	}
}

// WriterFirst wraps a connection whose other end resets it during a write: the write is told first, and
// returns once a read has been told, too.
func WriterFirst(c net.Conn) net.Conn {
	return &writerFirst{Conn: c, failed: make(chan struct{}), told: make(chan struct{})}
}

type writerFirst struct {
	net.Conn
	once   sync.Once
	failed chan struct{} // closed once a write has failed
	end    sync.Once
	told   chan struct{} // closed once a read has failed or ended
}

const writerFirstTimeout = 20 * time.Second

func (c *writerFirst) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		waitFor(c.told)
	}
	return n, err
}

func (c *writerFirst) Read(b []byte) (int, error) {
	waitFor(c.failed)
	n, err := c.Conn.Read(b)
	if err != nil {
		c.end.Do(func() { close(c.told) })
	}
	return n, err
}

func waitFor(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(writerFirstTimeout):
	}
}
