// Package entry runs callers' requests on the node where they arrive. It queues them,
// asks the holder of the customer's slot to admit them, sends them to an endpoint, relays
// the answer and settles the cost.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/attempt"
	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/telemetry"
)

// Options limit the size of what callers send and the time of each step. Zero values
// select the documented defaults.
type Options struct {
	MaxBody       int64         // bytes; 1 MiB when zero
	BodyTimeout   time.Duration // for a body to arrive; 30 s when zero
	Deadline      time.Duration // of interactive calls without a deadline; 10 s when zero
	BatchDeadline time.Duration // of batch calls without a deadline; 60 s when zero
	CallerGrace   time.Duration // how long a run without a reader continues; 1 s when zero
	AnswerTimeout time.Duration // until an endpoint accepts the call; 2 s when zero
	StallTimeout  time.Duration // between two chunks; 10 s when zero
	Retention     time.Duration // how long answers of ended runs are stored; 1 min when zero
	MaxRuns       int           // runs stored with their answers; 5,000 when zero
	MaxSummaries  int           // stored states and bills of ended requests; 20,000 when zero
}

func (o Options) withDefaults() Options {
	o.MaxBody = defaultTo(o.MaxBody, 1<<20)
	o.BodyTimeout = defaultTo(o.BodyTimeout, 30*time.Second)
	o.Deadline = defaultTo(o.Deadline, 10*time.Second)
	o.BatchDeadline = defaultTo(o.BatchDeadline, time.Minute)
	o.CallerGrace = defaultTo(o.CallerGrace, time.Second)
	o.AnswerTimeout = defaultTo(o.AnswerTimeout, 2*time.Second)
	o.StallTimeout = defaultTo(o.StallTimeout, 10*time.Second)
	o.Retention = defaultTo(o.Retention, time.Minute)
	o.MaxRuns = defaultTo(o.MaxRuns, 5_000)
	o.MaxSummaries = defaultTo(o.MaxSummaries, 20_000)
	return o
}

func defaultTo[T int | int64 | time.Duration](value, other T) T {
	if value == 0 {
		return other
	}
	return value
}

// Dependencies are the components that an entry uses.
type Dependencies struct {
	Self     membership.Member
	Keeper   *keeper.Keeper
	Caller   *peer.Caller
	Backend  *backend.Client
	Dispatch *dispatch.Dispatcher
	View     func() membership.State
	Catalog  func() *catalog.Catalog
	Events   *event.Log
	Clock    clockwork.Clock
	Memory   *memory.Budget // for callers; unbounded when nil
	Log      log.Interface
	Tracer   trace.Tracer
	Metrics  *telemetry.Metrics
	// NewSerial returns the unique part of a new request id.
	NewSerial func() string
}

// Entry runs the requests that arrive at a node. It is created by New.
type Entry struct {
	Dependencies
	options Options
	base    context.Context
	stop    context.CancelFunc

	mu      sync.Mutex
	runs    map[ident.Request]*run
	evicted summaries
	retries attempt.Budget
	outbox  []peer.EndRequest
	stops   time.Time // when a planned stop ends; zero: none has begun
	active  int

	leaving context.Context // ends when a planned stop begins
	leave   context.CancelFunc
}

// New returns an entry without runs. When base is cancelled, all runs end.
func New(base context.Context, d Dependencies, o Options) *Entry {
	if d.Memory == nil {
		d.Memory = memory.NewBudget(0)
	}
	base, stop := context.WithCancel(base)
	leaving, leave := context.WithCancel(base)
	return &Entry{Dependencies: d, options: o.withDefaults(), base: base, stop: stop, leaving: leaving, leave: leave, runs: map[ident.Request]*run{}, evicted: newSummaries()}
}

// Routes registers the handlers of callers' requests.
func (e *Entry) Routes(mux *http.ServeMux) {
	routes := []struct {
		pattern string
		serve   http.HandlerFunc
	}{
		{"POST /v1/chat/completions", e.serveChat},
		{"GET /v1/models", e.serveModels},
		{"/v1/services/{service}/{path...}", e.serveService},
		{"GET /v1/requests/{id}", e.serveRequest},
		{"GET /v1/requests/{id}/stream", e.serveResume},
		{"DELETE /v1/requests/{id}", e.serveCancel},
	}
	for _, r := range routes {
		mux.HandleFunc(r.pattern, e.withRequestID(r.serve))
	}
}

// Drain refuses new requests from now on, and those that wait for an endpoint and may still run when the
// node stops at a time.
func (e *Entry) Drain(stops time.Time) {
	e.mu.Lock()
	e.stops = stops
	e.mu.Unlock()
	e.leave()
}

// Active returns the number of requests that run here and the number of endings that have not
// been reported to their holders.
func (e *Entry) Active() (running, unreported int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active, len(e.outbox)
}

// Stop cancels all runs at once.
func (e *Entry) Stop() { e.stop() }

func (e *Entry) register(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.id] = r
	e.active++
	e.retries = e.retries.WithRequest()
}

func (e *Entry) finished(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

// alias makes a run findable by the id of the request that it follows.
func (e *Entry) alias(id ident.Request, r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.runs[id]; !ok {
		e.runs[id] = r
	}
}

func (e *Entry) find(id ident.Request) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	return r, ok && !r.viewFrom(0).dropped
}

func (e *Entry) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stops.IsZero()
}

// outlastsStop reports whether a call that begins now and may take some time may still run when the node
// stops.
func (e *Entry) outlastsStop(timeout time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stops.IsZero() && e.Clock.Now().Add(timeout).After(e.stops)
}

// Tick cancels abandoned runs, evicts old ones and reports the endings in the outbox.
func (e *Entry) Tick(ctx context.Context) {
	now := e.Clock.Now()
	for _, r := range e.allRuns() {
		if r.abandoned(now, e.options.CallerGrace) {
			r.cancel()
		}
	}
	e.evict(now)
	e.flushOutbox(ctx)
}

func (e *Entry) allRuns() []*run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	return runs
}

func (e *Entry) evict(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	over := len(e.runs) - e.options.MaxRuns
	for id, r := range e.runs {
		r.mu.Lock()
		old := !r.ended.IsZero() && r.readers == 0 && (r.dropped || now.Sub(r.ended) > e.options.Retention || over > 0)
		r.mu.Unlock()
		if old {
			delete(e.runs, id)
			r.lease.End()
			e.evicted.add(id, stateOf(r.viewFrom(0), r.customer), e.options.MaxSummaries)
			over--
		}
	}
}

// summaries holds the states and bills of the latest requests whose answers were evicted.
type summaries struct {
	states map[ident.Request]requestState
	order  []ident.Request
}

func newSummaries() summaries { return summaries{states: map[ident.Request]requestState{}} }

func (s *summaries) add(id ident.Request, state requestState, limit int) {
	if _, ok := s.states[id]; !ok {
		s.order = append(s.order, id)
	}
	s.states[id] = state
	for len(s.order) > limit {
		delete(s.states, s.order[0])
		s.order = s.order[1:]
	}
}

func (e *Entry) summary(id ident.Request) (requestState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.evicted.states[id]
	return s, ok
}
