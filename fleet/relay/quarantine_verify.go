package relay

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Times of checking whether an endpoint has ended. A process that ends sometimes closes its
// connections before its port.
const (
	firstEndCheck   = 20 * time.Millisecond
	laterEndCheck   = 100 * time.Millisecond // between two checks
	endChecks       = 3
	endCheckTimeout = 150 * time.Millisecond // for connecting
	endCheckKept    = 50 * time.Millisecond  // for which a running endpoint keeps a connection on which nothing is sent
	// pathAge is how old the last answer of a service may be for lost connections to count against an
	// endpoint and not this node's path. It is long since most endpoints of a service may end in a row.
	pathAge = 3 * time.Second
)

// endSign is what a connection to an endpoint shows.
type endSign int

const (
	keepsConnections   endSign = iota // it runs, or restarted so quickly that only its entry shows it
	refusesConnections                // it has ended
	losesConnections                  // they time out or are reset: it has ended, or its path is cut, or it is full
)

// Verify implements quarantine.Observer. An endpoint that refuses connections has ended. So has one that
// loses each of them while others of its service answer this node: calls to it were interrupted just before.
func (q *quarantineManager) Verify(e engine.Engine) {
	go func() {
		lost, pause := 0, firstEndCheck
		for range endChecks {
			time.Sleep(pause)
			pause = laterEndCheck
			switch signOf(e.Address) {
			case refusesConnections:
				q.Ended(e.Incarnation(), clock.Now())
				return
			case losesConnections:
				lost++
			case keepsConnections:
			}
		}
		if lost == endChecks && q.answeredWithin(e.Service, pathAge) {
			q.Ended(e.Incarnation(), clock.Now())
		}
	}()
}

func signOf(address string) endSign {
	c, err := net.DialTimeout("tcp4", address, endCheckTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return refusesConnections
	case err != nil:
		return losesConnections
	}
	defer c.Close()
	kept := time.AfterFunc(endCheckKept, func() { _ = c.Close() })
	_, err = c.Read(make([]byte, 1))
	if err == nil || !kept.Stop() {
		return keepsConnections
	}
	return losesConnections
}
