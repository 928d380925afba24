// Package tunnel opens connections to endpoints through other nodes, for a node whose own paths to
// the endpoints are cut while it still reaches other nodes.
//
// A tunnel is requested by HTTP CONNECT at the address of the other node's datagrams. It carries
// the bytes of one connection and nothing else: the node that takes a call still chooses the
// endpoint, counts attempts, budgets and bounds, and knows whether a byte of the call was sent. The
// other node connects to the endpoint itself and never through a third one.
//
// The bytes from the endpoint are sent in chunks with an end mark. Without it, the end of the node
// in between would look like the regular end of an answer that has no length.
package tunnel

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"
)

// Headers of a request for a tunnel.
const (
	headerEndpoint = "Lynxshed-Tunnel-Endpoint" // id of the endpoint
	headerBorn     = "Lynxshed-Tunnel-Born"     // start of its incarnation, as in its entry
)

// Errors of Dialer.Dial.
var (
	// ErrUnreachable means that the endpoint could not be reached from the other node either.
	ErrUnreachable = errors.New("the endpoint was not reached from another node either")
	// ErrNotReached means the same, but the other node's own path may be at fault.
	ErrNotReached = errors.New("the endpoint was not reached from another node, whose path may be cut, too")
	// ErrNoNode means that no other node opened a tunnel, which shows nothing about the endpoint.
	ErrNoNode = errors.New("no other node opened a tunnel")
)

// openTimeout bounds the wait for an open tunnel after the other node was connected: it may use all
// of its own timeout to reach the endpoint.
const openTimeout = 500 * time.Millisecond

// bufferSize is the size of the buffer for each direction of a tunnel, in bytes.
const bufferSize = 8 << 10

// Node is a node that may open tunnels.
type Node struct {
	Name    string
	Address string // IP:PORT
}

// Identity is what a node proves itself with: only nodes know the incarnations of others.
type Identity struct {
	Name        string
	Incarnation string
}

var w3c = propagation.TraceContext{}
