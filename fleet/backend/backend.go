// Package backend is the HTTP client for endpoints: model engines with an
// OpenAI-compatible API, and plain services.
package backend

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/response"
)

// The headers that identify an attempt at an endpoint.
const (
	HeaderRequest  = "Lynxshed-Request-Id"
	HeaderAttempt  = "Lynxshed-Attempt"
	HeaderCustomer = "Lynxshed-Customer"
)

const (
	queryTimeout   = 2 * time.Second
	maxAnswerBytes = 4 << 20
	maxErrorBytes  = 4 << 10
)

// The errors that determine whether a call may be retried at another endpoint.
var (
	// ErrNotStarted means that the endpoint certainly did not start the request.
	ErrNotStarted = errors.New("the endpoint did not start the request")
	// ErrRejected means that the endpoint rejected the request as invalid.
	ErrRejected = errors.New("the endpoint rejected the request")
	// ErrWrongAttempt means that the headers of the answer name another request or attempt.
	ErrWrongAttempt = errors.New("the answer is for another attempt")
	// ErrTruncated means that the answer ended early: a stream without its end mark, another one before
	// its end.
	ErrTruncated = errors.New("the answer ended early")
	// ErrMalformed means that the answer is malformed or too large.
	ErrMalformed = errors.New("the endpoint answered garbage")
)

// State is the state of a run at its engine.
type State string

// The states of a run at an engine; StateNeverStarted means that it never started there.
const (
	StateNeverStarted State = "never-started"
	StateQueued       State = "queued"
	StateRunning      State = "running"
	StateDone         State = "done"
	StateCancelled    State = "cancelled"
)

// Outcome is the state of an attempt at its engine, with its cost so far.
type Outcome struct {
	State        State `json:"state"`
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
}

// Ended reports whether the cost of the run is final.
func (o Outcome) Ended() bool {
	return o.State == StateNeverStarted || o.State == StateDone || o.State == StateCancelled
}

// Usage returns the cost of the run so far.
func (o Outcome) Usage() holder.Usage {
	return holder.Usage{Prompt: o.PromptTokens, Output: o.OutputTokens}
}

// Load is an endpoint's report of its load, which lags behind the actual load.
type Load struct {
	InFlight int64 `json:"inFlight"`
	Queued   int64 `json:"queued"`
	Leaving  bool  `json:"leaving"`
}

// Client sends requests to endpoints.
type Client struct {
	http   *http.Client
	tracer trace.Tracer
}

// NewClient returns a client that uses an HTTP client and a tracer. It follows no redirects: these are
// answers to the caller.
func NewClient(hc *http.Client, tracer trace.Tracer) *Client {
	direct := response.Checked(hc)
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: direct, tracer: tracer}
}

// Outcome returns the state of an attempt at its engine. An unknown attempt never started.
func (c *Client) Outcome(ctx context.Context, a holder.Attempt, id ident.Request) (Outcome, error) {
	return c.query(ctx, http.MethodGet, a, "/v1/outcomes/"+url.PathEscape(string(id)))
}

// Cancel stops an attempt at its engine and returns its cost.
func (c *Client) Cancel(ctx context.Context, a holder.Attempt, id ident.Request) (Outcome, error) {
	return c.query(ctx, http.MethodDelete, a, "/v1/requests/"+url.PathEscape(string(id)))
}

func (c *Client) query(ctx context.Context, method string, a holder.Attempt, path string) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, a.URL+path+"?attempt="+strconv.Itoa(a.Number), nil)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "step outcome, peer %s", a.Endpoint)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Outcome{}, errors.Wrapf(err, "step outcome, peer %s", a.Endpoint)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return Outcome{State: StateNeverStarted}, nil
	}
	if res.StatusCode != http.StatusOK {
		return Outcome{}, errors.Newf("step outcome, peer %s: status %d", a.Endpoint, res.StatusCode)
	}
	var o Outcome
	err = json.NewDecoder(io.LimitReader(res.Body, maxErrorBytes)).Decode(&o)
	if err == nil && (o.PromptTokens < 0 || o.OutputTokens < 0) {
		err = ErrMalformed
	}
	return o, errors.Wrapf(err, "step outcome, peer %s", a.Endpoint)
}

// Load reads an endpoint's load report.
func (c *Client) Load(ctx context.Context, base string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "step load")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Load{}, errors.Wrap(err, "step load")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Load{}, errors.Newf("step load: status %d", res.StatusCode)
	}
	var l Load
	err = json.NewDecoder(io.LimitReader(res.Body, maxErrorBytes)).Decode(&l)
	return l, errors.Wrap(err, "step load")
}

// Call is a request to a plain service.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Request     ident.Request
	Customer    ident.Customer
	Memory      *memory.Lease // takes the answer while it is read; nil: no bound
}

// CallService calls a plain service and reads its complete answer. The error is marked
// ErrNotStarted only if the service answered with status 503 or the request was not sent.
func (c *Client) CallService(ctx context.Context, a holder.Attempt, call Call) (holder.Answer, error) {
	ctx, span := c.tracer.Start(ctx, "endpoint "+string(a.Endpoint), trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int("attempt", a.Number)))
	defer span.End()
	target := a.URL + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	req, err := newOnceRequest(ctx, call.Method, target, call.Body)
	if err != nil {
		return holder.Answer{}, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrNotStarted)
	}
	setHeaders(req, a, call.Request, call.Customer)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	res, err := c.http.Transport.RoundTrip(req) // a client would rewind the request on a redirect
	if err != nil {
		return holder.Answer{}, sendError(err, a)
	}
	defer res.Body.Close()
	lease := cmp.Or(call.Memory, memory.NewBudget(0).Lease(nil))
	body, reserved, err := memory.ReadAll(res.Body, -1, maxAnswerBytes, lease)
	defer func() { lease.Return(reserved) }()
	if err != nil && !errors.IsAny(err, memory.ErrTooLong, memory.ErrFull) {
		return holder.Answer{}, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrTruncated)
	}
	if err := c.checkAnswer(ctx, a, call, res, err); err != nil {
		return holder.Answer{}, errors.Wrapf(err, "step send, peer %s", a.Endpoint)
	}
	return holder.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// checkAnswer returns an error if a plain service's answer is none to the call, or was not read to its end.
func (c *Client) checkAnswer(ctx context.Context, a holder.Attempt, call Call, res *http.Response, unread error) error {
	if res.StatusCode == http.StatusServiceUnavailable {
		return errors.Mark(errors.New("status 503"), ErrNotStarted)
	}
	if err := response.CheckEncoding(res.Header, nil); err != nil {
		return errors.Mark(err, ErrMalformed)
	}
	if isUnframed(res) && !c.runs(ctx, a.URL) {
		return errors.Mark(errors.New("the answer ended with its connection, and the endpoint does not answer any more"), ErrTruncated)
	}
	if unread != nil {
		return errors.Mark(errors.Wrapf(unread, "answer of up to %d bytes", maxAnswerBytes), ErrMalformed)
	}
	if got := res.Header.Get(HeaderRequest); got != "" && got != string(call.Request) {
		return errors.Mark(errors.Newf("answer for %q", got), ErrWrongAttempt)
	}
	return nil
}

// isUnframed reports whether the body of an answer ends with its connection, having neither a length nor
// chunks.
func isUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
}

// askAgainAfter is when an endpoint that took a connection and closed it is asked again: by then the
// listener of a process that was ending is closed.
const askAgainAfter = 20 * time.Millisecond

// runs reports whether an endpoint answers, or takes connections and closes them without an answer: it has
// as many as it takes, while the kernel refuses connections to a process that ended. The kernel of a
// process that ended in the middle of an unframed answer closes the connection as the end of a complete
// one does.
func (c *Client) runs(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	err := c.askRunning(ctx, base)
	if errors.Is(err, errTurnedAway) {
		clock.Pause(ctx, askAgainAfter)
		err = c.askRunning(ctx, base)
	}
	return err == nil || errors.Is(err, errTurnedAway) && ctx.Err() == nil
}

// errTurnedAway means that an endpoint took a connection and closed it without an answer.
var errTurnedAway = errors.New("the endpoint closed the connection without an answer")

// askRunning asks an endpoint for any answer. A kept connection that ends does not show that the endpoint
// takes connections.
func (c *Client) askRunning(ctx context.Context, base string) error {
	var taken atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { taken.Store(!info.Reused) }})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, base+"/load", nil)
	if err != nil {
		return errors.Wrap(err, "step load")
	}
	res, err := c.http.Do(req)
	switch {
	case err != nil && taken.Load() && ctx.Err() == nil:
		return errors.Mark(err, errTurnedAway)
	case err != nil:
		return err
	}
	_ = res.Body.Close()
	return nil
}

// setHeaders sets the headers that identify the attempt, and the trace context.
func setHeaders(req *http.Request, a holder.Attempt, id ident.Request, customer ident.Customer) {
	req.Header.Set(HeaderRequest, string(id))
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.Number))
	req.Header.Set(HeaderCustomer, string(customer))
	propagation.TraceContext{}.Inject(req.Context(), propagation.HeaderCarrier(req.Header))
}
