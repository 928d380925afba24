// Package forward relays a call to an endpoint and its answer back to the caller. It admits or
// refuses the call, chooses endpoints, retries, and resumes broken streams.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/link"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
	"github.com/lynxshed/lynxshed/fleet/relay/retry"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Options are the dependencies of a handler.
type Options struct {
	Wire          call.Wire
	Policy        *atomic.Pointer[policy.Policy]
	PolicySource  func() store.Provenance // where the policy was last confirmed; nil: not logged
	Engines       *atomic.Pointer[engine.Directory]
	Trials        *atomic.Pointer[Trials] // nil: no service moves between versions
	Samples       Samples                 // evidence on the services in Trials
	Allowance     *account.Allowance
	TokenSource   TokenSource
	Picker        *choice.Picker
	Retries       *retry.Budget
	RetrySchedule *limit.RetrySchedule // schedules the return of callers refused by limits
	Quarantine    *quarantine.Tracker  // nil: no request is quarantined
	Origins       Origins              // nil: streams are resumed at any version
	Gate          Gate
	Intake        Intake
	Memory        *memory.Budget  // for calls in progress
	MaxAnswer     int64           // bytes of an answer that is held until it is complete; 0: the default
	Nodes         func() int      // number of nodes that share the endpoints' connections
	Places        distance.Places // regions of the availability zones and round trips to them
	Transport     *Transport
	Reachability  *reachability.Tracker      // nil: this node's paths to endpoints are not tracked
	Backlog       func() time.Duration       // how long until what arrived during a stall of the process is read; nil: no stalls
	Stalled       func(since time.Time) bool // reports whether the process has stalled since a time; nil: no stalls
	Log           log.Interface
	Metrics       Metrics
	Tracer        trace.Tracer // nil: no tracing
}

// TokenSource obtains tokens from other nodes for a call that exceeds the allowance.
// Acquire reports whether the allowance may cover the call now.
type TokenSource interface {
	Acquire(ctx context.Context, tenant string, tokens int64) bool
}

// Gate decides which calls this node takes while it is overloaded.
type Gate interface {
	Admit(customer string, key uint64) bool
	RecordBody(took time.Duration) // records how long a call's body took to arrive
}

// Intake decides whether the connection of a customer's call is closed after the answer, so
// that the customer's next connection reaches another node.
type Intake interface {
	ShouldClose(customer string) bool
}

// Metrics records calls and their durations.
type Metrics interface {
	Finished(route, outcome string, took time.Duration)
	FirstEvent(route string, took time.Duration)
}

// Limits of connections to endpoints.
const (
	idleConnection = 20 * time.Second
	idlePerHost    = 64
)

// Transport sends calls to endpoints and keeps track of its connections.
type Transport struct {
	*http.Transport
	direct       *dial.Dialer
	pool         *pool
	incarnations Incarnations // nil: endpoints are not asked which incarnation runs
	wire         call.Wire
}

// NewTransport returns a transport that neither compresses nor, thanks to onceBody, resends calls.
func NewTransport() *Transport { return NewTransportWith(dial.New(dial.Timeout)) }

// NewTransportWith returns a transport as NewTransport does, with its own dialer.
func NewTransportWith(direct *dial.Dialer) *Transport {
	t := &Transport{direct: direct, pool: newPool()}
	t.Transport = &http.Transport{
		DialContext:           t.connect,
		DisableCompression:    true,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleConnection,
		ExpectContinueTimeout: 0,
		WriteBufferSize:       16 << 10,
		ReadBufferSize:        4 << 10,

		MaxResponseHeaderBytes: dial.MaxHeadBytes,
	}
	return t
}

// connect opens a connection whose endpoint has told its incarnation, if it tells.
func (t *Transport) connect(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.open(ctx, network, address)
	if err == nil {
		c, err = t.identify(ctx, c, func() (*pooledConn, error) { return t.open(ctx, network, address) })
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// open opens a connection to an endpoint, through another node where that is needed.
func (t *Transport) open(ctx context.Context, network, address string) (*pooledConn, error) {
	if c, err := t.dialTunnel(ctx); c != nil || err != nil {
		return c, err
	}
	c, err := t.direct.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.pool.add(c, address), nil
}

// WithMeter makes the meter count and pace the bytes of new connections.
func (t *Transport) WithMeter(m *link.Meter) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		one := c.(*pooledConn)
		one.metered = m.Conn(one.Conn)
		one.Conn = one.metered
		return c, nil
	}
	return t
}
