package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/tunnel"
)

// Tunnels opens connections to endpoints through other nodes.
type Tunnels interface {
	// Needed reports whether the endpoints of a service are not reached directly.
	Needed(service string) bool
	// Keeps reports whether a tunnel to a service's endpoint through a node is still of use.
	Keeps(service, node string) bool
	// Dial connects to an endpoint through a node, whose name it returns. Its errors are those of
	// tunnel.Dialer.
	Dial(ctx context.Context, e engine.Engine) (c net.Conn, via string, err error)
	// Rest tells a node that an endpoint asked for rest over a tunnel through it.
	Rest(node string, e engine.Engine, r call.Rest)
}

// WithTunnels makes the transport connect through other nodes where that is needed. It must be
// called before WithMeter.
func (t *Transport) WithTunnels(d Tunnels) *Transport {
	t.pool.tunnels = d
	return t
}

// endpointKey is the context key of the endpoint that a connection is opened for.
type endpointKey struct{}

func withEndpoint(ctx context.Context, e engine.Engine) context.Context {
	return context.WithValue(ctx, endpointKey{}, e)
}

// dialTunnel connects through another node. It returns neither a connection nor an error where a
// direct one is to be tried: none is needed, or no other node opens any.
func (t *Transport) dialTunnel(ctx context.Context) (*pooledConn, error) {
	e, ok := ctx.Value(endpointKey{}).(engine.Engine)
	if !ok || t.pool.tunnels == nil || !t.pool.tunnels.Needed(e.Service) {
		return nil, nil
	}
	c, via, err := t.pool.tunnels.Dial(ctx, e)
	switch {
	case err == nil:
		return t.pool.addTunnel(c, e, via), nil
	case errors.Is(err, tunnel.ErrNoNode):
		return nil, nil
	}
	return nil, err
}

// probeTimeout bounds a probe of the direct path to an endpoint.
const probeTimeout = time.Second

// Probe reports whether an endpoint answers over a new direct connection: any answer to a health
// check. Without the path of one, a connection is enough.
func (t *Transport) Probe(ctx context.Context, address, healthPath string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	direct := dial.New(dial.Timeout)
	if healthPath == "" {
		c, err := direct.DialContext(ctx, "tcp4", address)
		if err != nil {
			return errors.Wrapf(err, "probe of %s", address)
		}
		return c.Close()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return errors.Wrapf(err, "probe of %s", address)
	}
	once := &http.Transport{DialContext: direct.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: dial.MaxHeadBytes}
	resp, err := once.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "probe of %s", address)
	}
	return resp.Body.Close()
}

// passRest tells the node between of a rest that the endpoint asked for: the endpoint sees that node's
// calls as those of one that it has asked.
func (j *job) passRest(t *choice.Placement, n call.Notice) {
	if r, ok := n.(call.Rest); ok && j.via != "" && j.Transport.pool.tunnels != nil {
		j.Transport.pool.tunnels.Rest(j.via, t.Engine, r)
	}
}

// DropIdleTunnels closes the idle tunnels that are no longer of use, and returns how many.
func (t *Transport) DropIdleTunnels() int {
	return t.pool.dropIdleWhere(func(c *pooledConn) bool { return c.isSurplus() })
}

// isSurplus reports whether the connection is a tunnel that is no longer of use. The pool's lock is
// held.
func (c *pooledConn) isSurplus() bool {
	return c.via != "" && c.pool.tunnels != nil && !c.pool.tunnels.Keeps(c.service, c.via)
}

// DropIdleDirect closes the idle direct connections to some endpoints, and returns how many.
func (t *Transport) DropIdleDirect(engines []engine.Engine) int {
	addresses := lo.SliceToMap(engines, func(e engine.Engine) (string, bool) { return e.Address, true })
	return t.pool.dropIdleWhere(func(c *pooledConn) bool { return c.via == "" && addresses[c.address] })
}
