package tunnel

import (
	"bufio"
	"context"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

const (
	// maxNodes is how many nodes are asked for one connection.
	maxNodes = 3
	// avoidFor is how long a node that opened no tunnel is not asked again.
	avoidFor = time.Second
)

// Dialer opens tunnels. It is safe for concurrent use.
type Dialer struct {
	self   Identity
	nodes  func(e engine.Engine) []Node
	dialer *dial.Dialer

	mu      sync.Mutex
	avoided map[string]time.Time // until when, by node
}

// NewDialer returns a dialer. Nodes lists those that may reach an endpoint, in the order in which
// they are to be asked.
func NewDialer(self Identity, nodes func(e engine.Engine) []Node) *Dialer {
	return &Dialer{self: self, nodes: nodes, dialer: dial.New(dial.Timeout), avoided: map[string]time.Time{}}
}

// Dial connects to an endpoint through another node, whose name it returns. It fails with
// ErrUnreachable or ErrNotReached if the endpoint was not reached from there, and with ErrNoNode if no
// node opened a tunnel. Only one node tries to reach the endpoint, since each may take its timeout.
func (d *Dialer) Dial(ctx context.Context, e engine.Engine) (net.Conn, string, error) {
	failed := ErrNoNode
	for _, n := range d.candidates(e) {
		c, err := d.open(ctx, n, e)
		if err == nil {
			return c, n.Name, nil
		}
		err = errors.Wrapf(err, "tunnel through node %s at %s", n.Name, n.Address)
		if errors.Is(err, ErrUnreachable) || ctx.Err() != nil {
			return nil, n.Name, err
		}
		d.avoid(n.Name, clock.Now())
		if errors.Is(err, ErrNotReached) {
			return nil, n.Name, err
		}
		failed = errors.Mark(err, ErrNoNode)
	}
	return nil, "", failed
}

func (d *Dialer) candidates(e engine.Engine) []Node {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := make([]Node, 0, maxNodes)
	for _, n := range d.nodes(e) {
		if now.Before(d.avoided[n.Name]) {
			continue
		}
		if candidates = append(candidates, n); len(candidates) == maxNodes {
			break
		}
	}
	return candidates
}

func (d *Dialer) avoid(node string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.avoided[node] = now.Add(avoidFor)
}

func (d *Dialer) open(ctx context.Context, n Node, e engine.Engine) (net.Conn, error) {
	plain, end := withoutTrace(ctx)
	defer end()
	c, err := d.dialer.DialContext(plain, "tcp4", n.Address)
	if err != nil {
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	inTime := context.AfterFunc(limited, func() { _ = c.Close() })
	answers, err := d.handshake(ctx, c, e)
	if !inTime() {
		err = errors.CombineErrors(limited.Err(), err)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &conn{Conn: c, answers: httputil.NewChunkedReader(answers)}, nil
}

// withoutTrace returns a context that ends with ctx and lacks its values: the HTTP client would take
// the time to connect to the other node for that to the endpoint.
func withoutTrace(ctx context.Context) (context.Context, func()) {
	plain, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	return plain, func() { stop(); cancel() }
}

// handshake requests the tunnel and returns a reader of what follows the answer.
func (d *Dialer) handshake(ctx context.Context, c net.Conn, e engine.Engine) (*bufio.Reader, error) {
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: e.Address}, Host: e.Address, Header: http.Header{}}
	req.SetBasicAuth(d.self.Name, d.self.Incarnation)
	req.Header.Set(headerEndpoint, e.ID)
	req.Header.Set(headerBorn, strconv.FormatInt(e.Born, 10))
	w3c.Inject(ctx, propagation.HeaderCarrier(req.Header))
	if err := req.Write(c); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: c, N: dial.MaxHeadBytes}
	answers := bufio.NewReaderSize(limited, bufferSize)
	resp, err := http.ReadResponse(answers, req)
	if err != nil {
		return nil, err
	}
	limited.N = math.MaxInt64 // what follows is the endpoint's
	switch resp.StatusCode {
	case http.StatusOK:
		return answers, nil
	case http.StatusBadGateway:
		return nil, ErrUnreachable
	case http.StatusGatewayTimeout:
		return nil, ErrNotReached
	default:
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
}

// conn is the near end of a tunnel.
type conn struct {
	net.Conn
	answers io.Reader
}

// Read implements net.Conn. It returns io.EOF only where the endpoint closed the connection.
func (c *conn) Read(p []byte) (int, error) { return c.answers.Read(p) }
