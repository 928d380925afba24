// Package backend speaks to the endpoints: model engines in the OpenAI form,
// and plain services.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// The headers that name an attempt to an endpoint.
const (
	HeaderRequest  = "Lynxshed-Request-Id"
	HeaderAttempt  = "Lynxshed-Attempt"
	HeaderCustomer = "Lynxshed-Customer"
)

const (
	askTimeout   = 2 * time.Second
	maxAnswer    = 4 << 20
	maxErrorBody = 4 << 10
)

// The errors that decide whether an attempt may be tried elsewhere.
var (
	// ErrNotStarted means that the endpoint provably did not start the request.
	ErrNotStarted = errors.New("the endpoint did not start the request")
	// ErrRejected means that the endpoint found the request itself wrong.
	ErrRejected = errors.New("the endpoint rejected the request")
	// ErrForeign means that the answer names another request or attempt.
	ErrForeign = errors.New("the answer is for another attempt")
	// ErrTruncated means that the stream ended without its end mark.
	ErrTruncated = errors.New("the stream ended without its end mark")
	// ErrGarbage means that the answer can't be read.
	ErrGarbage = errors.New("the endpoint answered garbage")
)

// State is where a run stands at its engine.
type State string

// The states of a run at an engine; StateNever means that it never started there.
const (
	StateNever     State = "never-started"
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateCancelled State = "cancelled"
)

// Outcome is what became of an attempt.
type Outcome struct {
	State        State `json:"state"`
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
}

// Ended reports whether the run costs no more.
func (o Outcome) Ended() bool {
	return o.State == StateNever || o.State == StateDone || o.State == StateCancelled
}

// Usage is what the run cost so far.
func (o Outcome) Usage() holder.Usage {
	return holder.Usage{Prompt: o.PromptTokens, Output: o.OutputTokens}
}

// Load is an endpoint's own report, which lags.
type Load struct {
	InFlight int64 `json:"inFlight"`
	Queued   int64 `json:"queued"`
	Leaving  bool  `json:"leaving"`
}

// Client calls endpoints.
type Client struct {
	http   *http.Client
	tracer trace.Tracer
}

// NewClient makes a client.
func NewClient(hc *http.Client, tracer trace.Tracer) *Client {
	return &Client{http: hc, tracer: tracer}
}

// Outcome asks an engine what became of an attempt.
func (c *Client) Outcome(ctx context.Context, a holder.Attempt, id ident.Request) (Outcome, error) {
	return c.ask(ctx, http.MethodGet, a, "/v1/outcomes/"+url.PathEscape(string(id)))
}

// Cancel stops an attempt and returns what it cost.
func (c *Client) Cancel(ctx context.Context, a holder.Attempt, id ident.Request) (Outcome, error) {
	return c.ask(ctx, http.MethodDelete, a, "/v1/requests/"+url.PathEscape(string(id)))
}

func (c *Client) ask(ctx context.Context, method string, a holder.Attempt, path string) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		return Outcome{State: StateNever}, nil
	}
	if res.StatusCode != http.StatusOK {
		return Outcome{}, errors.Newf("step outcome, peer %s: status %d", a.Endpoint, res.StatusCode)
	}
	var o Outcome
	err = json.NewDecoder(io.LimitReader(res.Body, maxErrorBody)).Decode(&o)
	if err == nil && (o.PromptTokens < 0 || o.OutputTokens < 0) {
		err = ErrGarbage
	}
	return o, errors.Wrapf(err, "step outcome, peer %s", a.Endpoint)
}

// Load reads an endpoint's report.
func (c *Client) Load(ctx context.Context, base string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	err = json.NewDecoder(io.LimitReader(res.Body, maxErrorBody)).Decode(&l)
	return l, errors.Wrap(err, "step load")
}

// Call is one call of a plain service.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Request     ident.Request
	Customer    ident.Customer
}

// Plain calls a plain service and reads its whole answer. The error is marked
// ErrNotStarted only where the service said so or was never connected to.
func (c *Client) Plain(ctx context.Context, a holder.Attempt, call Call) (holder.Answer, error) {
	ctx, span := c.tracer.Start(ctx, "endpoint "+string(a.Endpoint), trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.Int("attempt", a.Number)))
	defer span.End()
	u := a.URL + call.Path
	if call.Query != "" {
		u += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, u, bytes.NewReader(call.Body))
	if err != nil {
		return holder.Answer{}, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrNotStarted)
	}
	name(req, a, call.Request, call.Customer)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return holder.Answer{}, sendError(err, a)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return holder.Answer{}, errors.Mark(errors.Wrapf(err, "step send, peer %s", a.Endpoint), ErrTruncated)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		return holder.Answer{}, errors.Mark(errors.Newf("step send, peer %s: status 503", a.Endpoint), ErrNotStarted)
	}
	if len(body) > maxAnswer {
		return holder.Answer{}, errors.Mark(errors.Newf("step send, peer %s: the answer is over %d bytes", a.Endpoint, maxAnswer), ErrGarbage)
	}
	if got := res.Header.Get(HeaderRequest); got != "" && got != string(call.Request) {
		return holder.Answer{}, errors.Mark(errors.Newf("step send, peer %s: answer for %q", a.Endpoint, got), ErrForeign)
	}
	return holder.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// name puts the attempt's names and the trace's context on a request.
func name(req *http.Request, a holder.Attempt, id ident.Request, customer ident.Customer) {
	req.Header.Set(HeaderRequest, string(id))
	req.Header.Set(HeaderAttempt, strconv.Itoa(a.Number))
	req.Header.Set(HeaderCustomer, string(customer))
	propagation.TraceContext{}.Inject(req.Context(), propagation.HeaderCarrier(req.Header))
}
