// Package peer implements the protocol between the nodes of the fleet: JSON over HTTP with
// one path for each verb, authenticated by the fleet's key.
package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/response"
)

// Verb names an operation that one node requests of another.
type Verb string

// The verbs.
const (
	VerbAdmit     Verb = "admit"
	VerbEnd       Verb = "end"
	VerbNote      Verb = "note"
	VerbTakeOver  Verb = "take-over"
	VerbFind      Verb = "find"
	VerbClaim     Verb = "claim"
	VerbForget    Verb = "forget"
	VerbStore     Verb = "store"
	VerbDrop      Verb = "drop"
	VerbFence     Verb = "fence"
	VerbSurrender Verb = "surrender"
	VerbLend      Verb = "lend"
	VerbBeat      Verb = "beat"
	VerbHead      Verb = "config-head"
	VerbShard     Verb = "config-shard"
	VerbEvents    Verb = "events"
	VerbReport    Verb = "report"
	VerbHandOver  Verb = "hand-over"
	VerbCancel    Verb = "cancel"
	VerbDrain     Verb = "drain"
)

const (
	pathPrefix  = "/peer/"
	keyHeader   = "Lynxshed-Fleet-Key"
	maxBody     = 64 << 20 // bytes
	maxReason   = 4 << 10  // bytes of a failure's body that an error quotes
	callTimeout = 2 * time.Second
)

// ErrUnreachable marks the error of a call whose peer did not answer.
var ErrUnreachable = errors.New("the peer did not answer")

// Caller makes calls to other nodes.
type Caller struct {
	http   *http.Client
	key    string
	tracer trace.Tracer
	memory *memory.Budget // for answers
}

// NewCaller creates a Caller that authenticates with the fleet's key.
func NewCaller(hc *http.Client, key string, tracer trace.Tracer) *Caller {
	return &Caller{http: response.Checked(hc), key: key, tracer: tracer, memory: memory.NewBudget(0)}
}

// WithMemory returns a caller whose answers take memory of a budget while they are read. One that does not
// fit is none.
func (c *Caller) WithMemory(b *memory.Budget) *Caller {
	bounded := *c
	bounded.memory = b
	return &bounded
}

// Call sends a verb to a peer and decodes the answer.
func Call[Out any](ctx context.Context, c *Caller, to membership.Member, verb Verb, in any) (Out, error) {
	var out Out
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "peer "+string(verb), trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	body, err := json.Marshal(in)
	if err != nil {
		return out, errors.Wrapf(err, "step %s, peer %s", verb, to.Node)
	}
	res, err := c.post(ctx, to.URL+pathPrefix+string(verb), body)
	if err != nil {
		return out, errors.Mark(errors.Wrapf(err, "step %s, peer %s", verb, to.Node), ErrUnreachable)
	}
	defer res.Body.Close()
	lease := c.memory.Lease(nil)
	defer lease.End()
	data, _, err := memory.ReadAll(res.Body, res.ContentLength, maxBody, lease)
	if err != nil {
		return out, errors.Mark(errors.Wrapf(err, "step %s, peer %s", verb, to.Node), ErrUnreachable)
	}
	if res.StatusCode != http.StatusOK {
		return out, errors.Newf("step %s, peer %s: status %d: %s", verb, to.Node, res.StatusCode, bytes.TrimSpace(data[:min(len(data), maxReason)]))
	}
	return out, errors.Wrapf(json.Unmarshal(data, &out), "step %s, peer %s", verb, to.Node)
}

func (c *Caller) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.Do(req)
}

// Do sends any request to a peer with the fleet's key and the trace context.
func (c *Caller) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(keyHeader, c.key)
	propagation.TraceContext{}.Inject(req.Context(), propagation.HeaderCarrier(req.Header))
	return c.http.Do(req)
}

// Server serves the calls of other nodes.
type Server struct {
	mux    *http.ServeMux
	key    string
	tracer trace.Tracer
}

// NewServer creates a Server that requires the fleet's key.
func NewServer(key string, tracer trace.Tracer) *Server {
	return &Server{mux: http.NewServeMux(), key: key, tracer: tracer}
}

// ServeHTTP implements http.Handler for every path under /peer/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(s.key)) != 1 {
		http.Error(w, "fleet key", http.StatusUnauthorized)
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	s.mux.ServeHTTP(w, r.WithContext(ctx))
}

// HandleRaw registers a handler for a path under /peer/ that does not use JSON.
func (s *Server) HandleRaw(pattern string, h http.HandlerFunc) { s.mux.HandleFunc(pattern, h) }

// Handle registers the handler for a verb.
func Handle[In, Out any](s *Server, verb Verb, answer func(context.Context, In) (Out, error)) {
	s.mux.HandleFunc("POST "+pathPrefix+string(verb), func(w http.ResponseWriter, r *http.Request) {
		ctx, span := s.tracer.Start(r.Context(), "serve "+string(verb), trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		var in In
		if err := json.NewDecoder(ingress.LimitBody(w, r, maxBody)).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := answer(ctx, in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}
