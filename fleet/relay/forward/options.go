// Package forward carries one call from its caller to an endpoint and the
// answer back: admission, attempts, the stream, and the refusal where none ran.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sys/unix"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/link"
	"github.com/lynxshed/lynxshed/fleet/relay/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/retry"
)

// Options are what a handler works with.
type Options struct {
	Wire        call.Wire
	Policy      *atomic.Pointer[policy.Policy]
	Engines     *atomic.Pointer[engine.Directory]
	Trials      *atomic.Pointer[Trials] // nil: no service ever moves to another version
	Samples     Samples                 // of the services in Trials
	Allowance   *account.Allowance
	TokenSource TokenSource
	Picker      *choice.Picker
	Retries     *retry.Budget
	Returns     *limit.Returns   // of callers that limits leave out
	Quarantine  *quarantine.Book // nil: no request is held back
	Gate        Gate
	Intake      Intake
	Memory      *memory.Budget  // of calls in progress
	Nodes       func() int      // how many nodes share the endpoints' connections
	Places      distance.Places // where the availability zones lie
	Transport   *Transport
	Unread      func() time.Duration       // how much longer what came while the process stood still may lie unread; nil: it never stands still
	Stood       func(since time.Time) bool // whether the process stood still since a moment; nil: it never does
	Log         log.Interface
	Metrics     Metrics
	Tracer      trace.Tracer // nil: nothing is traced
}

// TokenSource finds tokens elsewhere for a request that the allowance is too short for;
// true where the allowance may hold it now.
type TokenSource interface {
	Acquire(ctx context.Context, tenant string, tokens int64) bool
}

// Gate says which calls this node takes while it is overloaded.
type Gate interface {
	Keep(customer string, key uint64) bool
	Body(took time.Duration) // until the body of a call came in
}

// Intake says whether a connection that brought a call of a customer is to be closed
// with its answer, since the customer's next one reaches another node.
type Intake interface {
	Send(customer string) bool
}

// Metrics counts what the handler does.
type Metrics interface {
	Finished(route, outcome string, took time.Duration)
	FirstEvent(route string, took time.Duration)
}

// Bounds of connections to endpoints. Every wait has an end of its own, so that
// a silent partition is felt.
const (
	dialTimeout    = 300 * time.Millisecond
	idleConnection = 20 * time.Second
	probeAfter     = time.Second // of silence on a connection
	probeEvery     = time.Second
	probeCount     = 2
	unackedTimeout = 2 * time.Second
	idlePerHost    = 64
)

// Transport carries calls to endpoints, and answers for its connections.
type Transport struct {
	*http.Transport
	pool *pool
}

// NewTransport returns the transport to endpoints. It neither compresses nor
// repeats: see onceBody.
func NewTransport() *Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount},
		Control:         limitUnacked,
	}
	connections := newPool()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return connections.dialed(c, address), nil
	}
	return &Transport{pool: connections, Transport: &http.Transport{
		DialContext:           dial,
		DisableCompression:    true,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleConnection,
		ExpectContinueTimeout: 0,
		WriteBufferSize:       16 << 10,
		ReadBufferSize:        4 << 10,
	}}
}

// WithMeter counts what new connections carry.
func (t *Transport) WithMeter(m *link.Meter) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		one := c.(*pooled)
		one.metered = m.Conn(one.Conn)
		one.Conn = one.metered
		return c, nil
	}
	return t
}

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
