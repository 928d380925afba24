package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/response"
)

const (
	connectTimeout = 500 * time.Millisecond
	maxIdleConns   = 256
	idleConnTime   = 60 * time.Second
)

// Network opens the listeners and connections of a node. The demo replaces it
// by one that can interrupt, pause and kill.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of a process that uses the operating system's TCP stack.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func newHTTPClient(n Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			c, err := n.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &checkedConn{Conn: dial.NewConn(c)}, nil
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTime,
		DisableCompression:  true,

		MaxResponseHeaderBytes: dial.MaxHeadBytes,
	}}
}

// checkedConn counts the bytes written to a connection, and fails at a head that net/http misreads.
type checkedConn struct {
	net.Conn
	written atomic.Int64
	heads   response.Heads
}

var _ backend.WriteCounter = (*checkedConn)(nil)

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.heads.Wrote()
	c.written.Add(int64(len(b))) // before, since the other side may answer before Write returns
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if misread := c.heads.Read(b[:n]); misread != nil {
		return 0, misread
	}
	return n, err
}

// Written implements backend.WriteCounter.
func (c *checkedConn) Written() int64 { return c.written.Load() }
