// Package fabric simulates the network of a demo: TCP on loopback, on which zones can be partitioned and
// nodes paused or killed.
package fabric

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Location is the location of an address: a zone, or the platform.
type Location string

// Platform is the location of the platform's service.
const Platform Location = "platform"

// ErrPartitioned is the error of a dial across a partition, once its context has ended.
var ErrPartitioned = errors.New("cut off")

// Fabric holds the location of every address and the partitions between locations.
type Fabric struct {
	mu        sync.Mutex
	locations map[string]Location
	groups    map[Location]int
	conns     map[*conn]struct{}
	reserved  map[string]net.Listener // by address, until a node listens there
}

// New returns a fabric without partitions.
func New() *Fabric {
	return &Fabric{locations: map[string]Location{}, groups: map[Location]int{}, conns: map[*conn]struct{}{}, reserved: map[string]net.Listener{}}
}

// Reserve holds a free loopback address at a location until a node listens there, so that no other program
// takes it.
func (f *Fabric) Reserve(l Location) (address string, err error) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address = held.Addr().String()
	f.SetLocation(address, l)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserved[address] = held
	return address, nil
}

// takeReserved returns the listener that holds an address; nil: none does.
func (f *Fabric) takeReserved(address string) net.Listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.reserved[address]
	delete(f.reserved, address)
	return held
}

// Release gives up the addresses at which no node has listened.
func (f *Fabric) Release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, held := range f.reserved {
		_ = held.Close()
		delete(f.reserved, address)
	}
}

// SetLocation sets the location of an address.
func (f *Fabric) SetLocation(address string, l Location) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locations[address] = l
}

// Partition splits the locations into groups that cannot reach each other and closes the connections
// between them. Locations in no group reach all others.
func (f *Fabric) Partition(groups [][]Location) {
	f.mu.Lock()
	f.groups = map[Location]int{}
	for i, group := range groups {
		for _, p := range group {
			f.groups[p] = i + 1
		}
	}
	var toReset []*conn
	for c := range f.conns {
		if !f.reachable(c.from, c.to) {
			toReset = append(toReset, c)
		}
	}
	f.mu.Unlock()
	for _, c := range toReset {
		_ = c.Close()
	}
}

// Heal removes all partitions.
func (f *Fabric) Heal() { f.Partition(nil) }

// reachable reports whether one location can reach another. The caller holds f.mu.
func (f *Fabric) reachable(from, to Location) bool {
	a, b := f.groups[from], f.groups[to]
	return a == 0 || b == 0 || a == b
}

// resolve returns the location of an address and reports whether it is reachable. An address without a
// location is reachable.
func (f *Fabric) resolve(from Location, address string) (Location, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to, ok := f.locations[address]
	return to, !ok || f.reachable(from, to)
}

func (f *Fabric) add(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reachable(c.from, c.to) {
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

// Port is the network interface of one node. It can be paused and killed.
type Port struct {
	fabric   *Fabric
	location Location

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil while not paused
	killed bool
	conns  map[*conn]struct{}
}

// Port returns a new network interface at a location.
func (f *Fabric) Port(location Location) *Port {
	return &Port{fabric: f, location: location, conns: map[*conn]struct{}{}}
}

// Pause blocks the node's input and output for the given time. The node is not informed.
func (p *Port) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		return
	}
	resumed := make(chan struct{})
	p.paused = resumed
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paused = nil
		close(resumed)
	})
}

// Kill resets all connections of the node and refuses new ones.
func (p *Port) Kill() {
	p.mu.Lock()
	p.killed = true
	toReset := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		toReset = append(toReset, c)
	}
	p.mu.Unlock()
	for _, c := range toReset {
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

// Dial connects from the port's location. Across a partition it blocks until the context ends.
func (p *Port) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.Gate()
	to, ok := p.fabric.resolve(p.location, address)
	if !ok {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrPartitioned}
	}
	var d net.Dialer
	inner, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, port: p, from: p.location, to: to}
	if !p.fabric.add(c) || !p.add(c) {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrPartitioned}
	}
	return c, nil
}

// Listen listens for connections to the node, by the listener that holds a reserved address.
func (p *Port) Listen(address string) (net.Listener, error) {
	if held := p.fabric.takeReserved(address); held != nil {
		return &listener{Listener: held, port: p}, nil
	}
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

// conn is a connection of a node; its reads and writes block while the node is paused.
type conn struct {
	net.Conn
	port     *Port
	from, to Location
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

// reset closes the connection with a TCP reset, as when its VM dies.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
