package node

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	connectTimeout = 500 * time.Millisecond
	idleConns      = 256
	idleTime       = 60 * time.Second
)

// Network is how a node reaches others and is reached. The demo puts one in
// that can cut, pause and kill.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the network of plain processes.
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
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}}
}
