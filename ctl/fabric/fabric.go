// Package fabric is the network of a demo: TCP on loopback on which zones can be
// cut from each other and nodes paused or killed.
package fabric

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Place is where an address lies: a zone, or the platform.
type Place string

// Platform is the place of the platform's service.
const Platform Place = "platform"

// ErrCut is what a dial across a cut ends with, after its time is up.
var ErrCut = errors.New("cut off")

// Fabric knows where every address lies and which places are cut off from each other.
type Fabric struct {
	mu     sync.Mutex
	places map[string]Place
	groups map[Place]int
	conns  map[*conn]struct{}
}

// New makes a fabric without cuts.
func New() *Fabric {
	return &Fabric{places: map[string]Place{}, groups: map[Place]int{}, conns: map[*conn]struct{}{}}
}

// Put says where an address lies.
func (f *Fabric) Put(address string, p Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places[address] = p
}

// Cut parts the places into groups that can't reach each other; places that
// stand in no group reach all.
func (f *Fabric) Cut(groups [][]Place) {
	f.mu.Lock()
	f.groups = map[Place]int{}
	for i, group := range groups {
		for _, p := range group {
			f.groups[p] = i + 1
		}
	}
	var broken []*conn
	for c := range f.conns {
		if !f.reaches(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	f.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Heal ends every cut.
func (f *Fabric) Heal() { f.Cut(nil) }

// reaches needs the lock.
func (f *Fabric) reaches(from, to Place) bool {
	a, b := f.groups[from], f.groups[to]
	return a == 0 || b == 0 || a == b
}

func (f *Fabric) allowed(from Place, address string) (Place, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to, ok := f.places[address]
	return to, !ok || f.reaches(from, to)
}

func (f *Fabric) add(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reaches(c.from, c.to) {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *Fabric) remove(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// Port is one node's access to the fabric; it can be paused and killed.
type Port struct {
	fabric *Fabric
	place  Place

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil while not paused
	killed bool
	conns  map[*conn]struct{}
}

// Port makes a node's access from a place.
func (f *Fabric) Port(place Place) *Port {
	return &Port{fabric: f, place: place, conns: map[*conn]struct{}{}}
}

// Pause stops the node's input and output for a while; it does not notice.
func (p *Port) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		return
	}
	over := make(chan struct{})
	p.paused = over
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paused = nil
		close(over)
	})
}

// Kill breaks every connection of the node and lets no other come about.
func (p *Port) Kill() {
	p.mu.Lock()
	p.killed = true
	broken := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		broken = append(broken, c)
	}
	p.mu.Unlock()
	for _, c := range broken {
		c.reset()
	}
}

// Gate blocks while the node is paused.
func (p *Port) Gate() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// Dial connects from the port's place; across a cut it hangs until the context ends.
func (p *Port) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.Gate()
	to, ok := p.fabric.allowed(p.place, address)
	if !ok {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrCut}
	}
	var d net.Dialer
	inner, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, port: p, from: p.place, to: to}
	if !p.fabric.add(c) || !p.add(c) {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrCut}
	}
	return c, nil
}

// Listen takes connections for the node.
func (p *Port) Listen(address string) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, port: p}, nil
}

func (p *Port) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Port) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, port: l.port}
	if !l.port.add(c) {
		_ = inner.Close()
	}
	return c, nil
}

// conn waits while its node is paused.
type conn struct {
	net.Conn
	port     *Port
	from, to Place
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.port.Gate()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.port.Gate()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.port.remove(c)
	c.port.fabric.remove(c)
	return c.Conn.Close()
}

// reset breaks the connection without a word, as a dead VM does.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
