package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/dial"
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
			return n.Dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTime,
		DisableCompression:  true,

		MaxResponseHeaderBytes: dial.MaxHeadBytes,
	}}
}
