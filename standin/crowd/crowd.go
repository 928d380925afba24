// Package crowd plays callers that misbehave: each opens a connection, sends part of what it promises, or
// reads nothing of what it gets, and stays.
package crowd

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Caller is what each caller of a crowd does.
type Caller struct {
	Head   string // the first bytes
	Piece  string // sent repeatedly after the head
	Pieces int
	Unread bool // it reads nothing, and its connection has a small buffer
	Begins int  // how often it breaks off and begins again on a new connection, before it stays
}

const (
	connectTimeout = 2 * time.Second
	sendTimeout    = 20 * time.Second // for all that a caller sends; what is not accepted until then is not sent
	batchBytes     = 64 << 10         // of pieces that are sent at a time
	unreadBuffer   = 4 << 10
)

// Crowd is a crowd that is present.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Join brings a number of callers to an address, and returns once each of them has sent all that it sends,
// or can't.
func Join(address string, callers int, c Caller) *Crowd {
	crowd := &Crowd{}
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { crowd.play(address, c) })
	}
	all.Wait()
	return crowd
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Crowd) play(address string, caller Caller) {
	for range caller.Begins {
		if conn := c.visit(address, caller); conn != nil {
			_ = conn.Close()
		}
	}
	c.visit(address, caller)
}

// visit opens a connection and sends what the caller sends. It returns nil if it can't connect.
func (c *Crowd) visit(address string, caller Caller) net.Conn {
	conn, err := dialerFor(caller).Dial("tcp4", address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if !caller.Unread {
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	caller.sendTo(conn)
	return conn
}

func dialerFor(c Caller) *net.Dialer {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if c.Unread {
		dialer.Control = func(_, _ string, socket syscall.RawConn) error {
			return socket.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBuffer)
			})
		}
	}
	return dialer
}

// sendTo sends the head and the pieces, some of them at a time.
func (c Caller) sendTo(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := io.WriteString(conn, c.Head); err != nil {
		return
	}
	atATime := max(batchBytes/max(len(c.Piece), 1), 1)
	batch := bytes.Repeat([]byte(c.Piece), atATime)
	for left := c.Pieces; left > 0; left -= atATime {
		if _, err := conn.Write(batch[:min(left, atATime)*len(c.Piece)]); err != nil {
			return
		}
	}
}
