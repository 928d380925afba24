// Package dial opens connections to endpoints and to other nodes. Each wait on them is bounded, so
// that a network partition that drops packets silently is detected.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeout is how long connecting may take.
const Timeout = 300 * time.Millisecond

// MaxHeadBytes limits the head of an answer, also with all informational ones before it: a peer in
// trouble may send lines without end.
const MaxHeadBytes = 64 << 10

// probing is how a silent connection is detected.
type probing struct {
	after time.Duration // of silence
	every time.Duration
	count int
}

var (
	// patient gives up after three seconds: endpoints may pause for a second or two and go on.
	patient = probing{after: time.Second, every: time.Second, count: 2}
	// strict gives up after two seconds, so that changes in the store are learned in time.
	strict = probing{after: time.Second, every: time.Second, count: 1}
)

// timeout is how long a connection may be silent.
func (p probing) timeout() time.Duration { return p.after + time.Duration(p.count)*p.every }

func (p probing) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: p.after, Interval: p.every, Count: p.count}
}

// New returns a dialer with a timeout for connecting, for endpoints and nodes.
func New(timeout time.Duration) *Dialer { return patient.dialer(timeout) }

// NewStrict returns a dialer for the store, whose connections are given up sooner.
func NewStrict(timeout time.Duration) *Dialer { return strict.dialer(timeout) }

func (p probing) dialer(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{Timeout: timeout, KeepAliveConfig: p.keepAlive(), Control: p.limitUnacked}}
}

// ListenConfig returns a configuration whose accepted connections are probed as dialed ones are.
func ListenConfig() *net.ListenConfig { return &net.ListenConfig{KeepAliveConfig: patient.keepAlive()} }

// limitUnacked sets the time after which a connection with unacknowledged data fails. On Linux this
// also decides when probes give up, whatever their count, so that both are the same.
func (p probing) limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.timeout().Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
