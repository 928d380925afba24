package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/response"
)

const (
	callTimeout = 2 * time.Second
	maxAnswer   = 64 << 20        // bytes
	watchMargin = 2 * time.Second // added to the wait of a watch for its answer to arrive
)

// Client implements Store over HTTP.
type Client struct {
	base   string
	http   *http.Client
	tracer trace.Tracer
	memory *memory.Budget // for answers
}

// NewClient creates a Client of the platform at a base URL.
func NewClient(base string, hc *http.Client, tracer trace.Tracer) *Client {
	return &Client{base: base, http: response.Checked(hc), tracer: tracer, memory: memory.NewBudget(0)}
}

// WithMemory returns a client whose answers take memory of a budget while they are read. One that does not
// fit is none.
func (c *Client) WithMemory(b *memory.Budget) *Client {
	bounded := *c
	bounded.memory = b
	return &bounded
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, "/objects/"+key, nil, nil, callTimeout, &o)
	return o, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, version Version, value any) (Version, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s", key)
	}
	query := url.Values{"version": {strconv.FormatInt(int64(version), 10)}}
	var o Object
	err = c.call(ctx, http.MethodPut, "/objects/"+key, query, body, callTimeout, &o)
	return o.Version, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Page, error) {
	var p Page
	err := c.call(ctx, http.MethodGet, "/objects", url.Values{"prefix": {prefix}}, nil, callTimeout, &p)
	return p, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatInt(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var p Page
	err := c.call(ctx, http.MethodGet, "/watch", query, nil, wait+watchMargin, &p)
	return p, err
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	var l VMList
	err := c.call(ctx, http.MethodGet, "/vms", nil, nil, callTimeout, &l)
	return l, err
}

// Weights implements Store.
func (c *Client) Weights(ctx context.Context, model string) error {
	return c.call(ctx, http.MethodGet, "/weights/"+url.PathEscape(model), nil, nil, callTimeout, &struct{}{})
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "platform "+method, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("path", path)))
	defer span.End()
	u := c.base + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "platform %s %s", method, path)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return c.noAnswer(method, path, err)
	}
	defer res.Body.Close()
	lease := c.memory.Lease(nil)
	defer lease.End()
	data, _, err := memory.ReadAll(res.Body, res.ContentLength, maxAnswer, lease)
	if err != nil {
		return c.noAnswer(method, path, err)
	}
	if err := statusError(res.StatusCode); err != nil {
		if !isRefusal(res.StatusCode) {
			return c.noAnswer(method, path, err)
		}
		return errors.Wrapf(err, "platform %s %s", method, path)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return c.noAnswer(method, path, err)
	}
	return nil
}

// noAnswer wraps the error of a call whose answer is missing or says nothing certain. A write is
// marked as ErrUnknown, since it may have taken effect.
func (c *Client) noAnswer(method, path string, err error) error {
	err = errors.Wrapf(err, "platform %s %s", method, path)
	if method == http.MethodPut {
		return errors.Mark(err, ErrUnknown)
	}
	return err
}

// isRefusal reports whether a status says that the platform has not done what the call asks. Others, such as
// 502 of a gateway, leave that open.
func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrLimited
	default:
		return errors.Newf("status %d", status)
	}
}
