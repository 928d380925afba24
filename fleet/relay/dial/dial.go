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

const (
	probeAfter     = time.Second // of silence on a connection
	probeEvery     = time.Second
	probeCount     = 2
	unackedTimeout = 2 * time.Second
)

// New returns a dialer with a timeout for connecting.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: limitUnacked}
}

// ListenConfig returns a configuration whose accepted connections are probed as dialed ones are.
func ListenConfig() *net.ListenConfig { return &net.ListenConfig{KeepAliveConfig: keepAlive()} }

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}
}

// limitUnacked sets the time after which a connection with unacknowledged data fails.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
