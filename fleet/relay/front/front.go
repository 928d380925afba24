// Package front takes callers' connections under bounds that may change while it
// serves: a new connection gets the bounds in force, an older one keeps its own,
// so that no call in progress is cut off by a change.
package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds are what a caller may send, and how long it may take.
type Bounds struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for the whole head of a call
	IdleTimeout   time.Duration // between two calls on a connection
}

// DefaultBounds hold while nothing else is known.
var DefaultBounds = Bounds{HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second}

// Or returns the bounds with what is not given taken from others.
func (b Bounds) Or(others Bounds) Bounds {
	if b.HeaderBytes <= 0 {
		b.HeaderBytes = others.HeaderBytes
	}
	if b.HeaderTimeout <= 0 {
		b.HeaderTimeout = others.HeaderTimeout
	}
	if b.IdleTimeout <= 0 {
		b.IdleTimeout = others.IdleTimeout
	}
	return b
}

// Door is where callers connect.
type Door struct {
	handler  http.Handler
	listener net.Listener

	mu     sync.Mutex
	bounds Bounds
	newest *room
	rooms  []*room
	parked bool // connections are not kept any more
}

// room serves the connections that came under one set of bounds.
type room struct {
	server *http.Server
	conns  *handedOver
}

// Listen opens a door at an address, IP:PORT, with the default bounds.
func Listen(address string, h http.Handler) (*Door, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers at %s", address)
	}
	d := &Door{handler: h, listener: listener}
	d.Bound(DefaultBounds)
	return d, nil
}

// Address is where the door listens.
func (d *Door) Address() net.Addr { return d.listener.Addr() }

// Bound sets the bounds of new connections; true where they differ from before.
func (d *Door) Bound(b Bounds) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.newest != nil && b == d.bounds {
		return false
	}
	r := &room{conns: newHandedOver(d.listener.Addr())}
	r.server = &http.Server{Handler: d.handler, ReadHeaderTimeout: b.HeaderTimeout, IdleTimeout: b.IdleTimeout, MaxHeaderBytes: b.HeaderBytes}
	if d.parked {
		r.server.SetKeepAlivesEnabled(false)
	}
	d.bounds, d.newest = b, r
	d.rooms = append(d.rooms, r)
	go func() { _ = r.server.Serve(r.conns) }()
	return true
}

// Serve takes connections until the door is closed.
func (d *Door) Serve() error {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "take a caller's connection")
			}
			time.Sleep(acceptPause)
			continue
		}
		d.mu.Lock()
		r := d.newest
		d.mu.Unlock()
		r.conns.take(conn)
	}
}

// acceptPause is how long the door waits where the process has no descriptor
// left for one more connection.
const acceptPause = 5 * time.Millisecond

// StopKeeping ends idle connections, and others after their call.
func (d *Door) StopKeeping() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parked = true
	for _, r := range d.rooms {
		r.server.SetKeepAlivesEnabled(false)
	}
}

// Close ends every connection at once.
func (d *Door) Close() error {
	err := d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.rooms {
		err = errors.CombineErrors(err, r.server.Close())
	}
	return err
}

// handedOver is a listener of connections that the door took.
type handedOver struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newHandedOver(address net.Addr) *handedOver {
	return &handedOver{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (h *handedOver) take(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *handedOver) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedOver) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handedOver) Addr() net.Addr { return h.address }
