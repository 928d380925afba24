package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// tunnelBytes is the memory that a tunnel holds: its buffers, those of its two sockets' readers and
// writers, and the stacks of its goroutines.
const tunnelBytes = 48 << 10

// Host decides which tunnels a node opens for others.
type Host interface {
	// IsNode reports whether a node of the fleet has this identity.
	IsNode(i Identity) bool
	// Endpoint returns a listed endpoint.
	Endpoint(id string) (engine.Engine, bool)
	// Declines returns why this node opens no tunnel to a service now; "" means that it does.
	Declines(service string) string
	// Vouches reports whether an endpoint of a service that this node can't connect to is certainly
	// at fault itself.
	Vouches(service string) bool
	// Meter wraps a connection to count and pace its bytes.
	Meter(c net.Conn) net.Conn
}

// Server opens tunnels for other nodes. It is safe for concurrent use.
type Server struct {
	host   Host
	memory *memory.Budget
	log    log.Interface
	tracer trace.Tracer // nil: no tracing
	dialer *dial.Dialer
	open   atomic.Int64
}

// NewServer returns a server. Its tunnels take their memory from the budget.
func NewServer(h Host, m *memory.Budget, l log.Interface, t trace.Tracer) *Server {
	return &Server{host: h, memory: m, log: l, tracer: t, dialer: dial.New(dial.Timeout)}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// refusal is the answer to a request for a tunnel that is not opened.
type refusal struct {
	status int
	why    string
}

// ServeHTTP implements http.Handler for requests of method CONNECT.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, incarnation, _ := r.BasicAuth()
	fields := log.Fields{"from": name, "endpoint": r.Header.Get(headerEndpoint)}
	far, refused := s.connect(r, Identity{Name: name, Incarnation: incarnation})
	if far == nil {
		s.log.WithFields(fields).WithField("status", refused.status).WithField("why", refused.why).Info("tunnel not opened")
		w.WriteHeader(refused.status)
		return
	}
	defer s.memory.Release(tunnelBytes)
	defer far.Close()
	near, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log.WithFields(fields).WithError(err).Warn("tunnel not opened: connection not taken over")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer near.Close()
	s.open.Add(1)
	defer s.open.Add(-1)
	s.log.WithFields(fields).Info("tunnel opened")
	began := clock.Now()
	answered, err := relay(s.host.Meter(near), buffered.Reader, s.host.Meter(far))
	s.log.WithFields(fields).WithField("ms", clock.Since(began).Milliseconds()).WithField("bytes", answered).WithField("end", describe(err)).Info("tunnel closed")
}

// connect connects to the endpoint of a request. If it returns a connection, the memory of the
// tunnel is taken.
func (s *Server) connect(r *http.Request, from Identity) (net.Conn, refusal) {
	if !s.host.IsNode(from) {
		return nil, refusal{http.StatusForbidden, "not a node of the fleet"}
	}
	e, listed := s.host.Endpoint(r.Header.Get(headerEndpoint))
	if !listed || strconv.FormatInt(e.Born, 10) != r.Header.Get(headerBorn) {
		return nil, refusal{http.StatusNotFound, "the endpoint or its incarnation is not listed"}
	}
	if why := s.host.Declines(e.Service); why != "" {
		return nil, refusal{http.StatusServiceUnavailable, why}
	}
	if !s.memory.Take(tunnelBytes) {
		return nil, refusal{http.StatusServiceUnavailable, "no memory for a tunnel"}
	}
	c, err := s.dial(r, e)
	if err == nil {
		return c, refusal{}
	}
	s.memory.Release(tunnelBytes)
	if s.host.Vouches(e.Service) {
		return nil, refusal{http.StatusBadGateway, err.Error()}
	}
	return nil, refusal{http.StatusGatewayTimeout, "this node's own path may be cut: " + err.Error()}
}

func (s *Server) dial(r *http.Request, e engine.Engine) (net.Conn, error) {
	ctx := r.Context()
	if s.tracer != nil {
		var span trace.Span
		ctx, span = s.tracer.Start(w3c.Extract(ctx, propagation.HeaderCarrier(r.Header)), "tunnel", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("endpoint", e.ID), attribute.String("address", e.Address)))
		defer span.End()
	}
	c, err := s.dialer.DialContext(ctx, "tcp4", e.Address)
	if err != nil {
		trace.SpanFromContext(ctx).SetStatus(codes.Error, err.Error())
		return nil, errors.Wrapf(err, "connect to endpoint %s at %s", e.ID, e.Address)
	}
	return c, nil
}

// relay passes bytes on between the near end of a tunnel and the endpoint until one of them ends. It
// returns the bytes that the endpoint sent and why it ended: nil if the endpoint closed the
// connection in order.
func relay(near net.Conn, buffered io.Reader, far net.Conn) (int64, error) {
	_ = near.SetDeadline(time.Time{}) // the HTTP server set one for the header
	w := bufio.NewWriterSize(near, bufferSize)
	if _, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return 0, err
	}
	if err := w.Flush(); err != nil {
		return 0, err
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.CopyBuffer(struct{ io.Writer }{far}, struct{ io.Reader }{buffered}, make([]byte, bufferSize))
		_ = far.Close() // the other node has closed the tunnel, and the call with it
	}()
	n, err := passAnswers(w, far)
	_ = near.Close()
	<-left
	return n, err
}

// passAnswers passes on what the endpoint sends, in chunks, and ends with the end mark only if the
// endpoint closed the connection in order.
func passAnswers(w *bufio.Writer, far io.Reader) (int64, error) {
	chunks := httputil.NewChunkedWriter(w)
	buffer, total := make([]byte, bufferSize), int64(0)
	for {
		n, err := far.Read(buffer)
		if n > 0 {
			total += int64(n)
			if _, failed := chunks.Write(buffer[:n]); failed != nil {
				return total, failed
			}
			if failed := w.Flush(); failed != nil {
				return total, failed
			}
		}
		if err == io.EOF {
			return total, errors.CombineErrors(chunks.Close(), w.Flush())
		}
		if err != nil {
			return total, err
		}
	}
}

// describe returns why a tunnel ended, for the log.
func describe(err error) string {
	switch {
	case err == nil:
		return "the endpoint closed the connection"
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return "the other node closed the tunnel"
	}
	return err.Error()
}
