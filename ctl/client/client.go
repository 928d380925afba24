// Package client is an HTTP client of the operators' API of the nodes.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/operator"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/table"
)

const (
	requestTimeout   = 30 * time.Second
	maxResponseBytes = 256 << 20
)

// Client sends each request to its nodes in turn until one responds.
type Client struct {
	nodes []string
	key   string
	http  *http.Client
}

// New returns a client of the given nodes that authenticates with an operator's key.
func New(nodes []string, key string) *Client {
	return &Client{nodes: nodes, key: key, http: &http.Client{Timeout: requestTimeout}}
}

// Rows lists the rows of a kind, or all rows if kind is empty.
func (c *Client) Rows(ctx context.Context, kind string) ([]table.Row, error) {
	return call[[]table.Row](ctx, c, http.MethodGet, "/table?kind="+url.QueryEscape(kind), nil)
}

// Row reads a row. If there is none, the error is a problem with the reason not-found.
func (c *Client) Row(ctx context.Context, id table.ID) (table.Row, error) {
	return call[table.Row](ctx, c, http.MethodGet, "/table/"+string(id.Kind)+"/"+url.PathEscape(id.Name), nil)
}

// Edit applies all edits or none.
func (c *Client) Edit(ctx context.Context, id, by string, edits []table.Edit) (operator.Accepted, error) {
	return call[operator.Accepted](ctx, c, http.MethodPost, "/table/edits", operator.NewEditsBody(id, by, edits))
}

// History lists the accepted edits that the head of the configuration retains.
func (c *Client) History(ctx context.Context) ([]config.Change, error) {
	return call[[]config.Change](ctx, c, http.MethodGet, "/history", nil)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (operator.Status, error) {
	return call[operator.Status](ctx, c, http.MethodGet, "/status", nil)
}

// Budgets lists every budget.
func (c *Client) Budgets(ctx context.Context) ([]operator.BudgetStatus, error) {
	return call[[]operator.BudgetStatus](ctx, c, http.MethodGet, "/budgets", nil)
}

// Budget returns one budget.
func (c *Client) Budget(ctx context.Context, name string) (operator.BudgetStatus, error) {
	return call[operator.BudgetStatus](ctx, c, http.MethodGet, "/budgets/"+url.PathEscape(name), nil)
}

// Bills lists the bills of a budget, or all bills if budget is empty.
func (c *Client) Bills(ctx context.Context, budget string) ([]bill.Bill, error) {
	return call[[]bill.Bill](ctx, c, http.MethodGet, "/bills?budget="+url.QueryEscape(budget), nil)
}

// Explain lists the decisions taken for a request.
func (c *Client) Explain(ctx context.Context, id string) (operator.Explanation, error) {
	return call[operator.Explanation](ctx, c, http.MethodGet, "/explain/"+url.PathEscape(id), nil)
}

// Drain starts the planned stop of a node.
func (c *Client) Drain(ctx context.Context, name string) (operator.NodeStatus, error) {
	return call[operator.NodeStatus](ctx, c, http.MethodPost, "/drain/"+url.PathEscape(name), nil)
}

// call sends a request to the nodes in turn until one responds.
func call[Out any](ctx context.Context, c *Client, method, path string, in any) (Out, error) {
	var out Out
	lastErr := errors.New("no node is named; use --node URL")
	for _, node := range c.nodes {
		answered, err := c.send(ctx, node, method, path, in, &out)
		if answered {
			return out, err
		}
		lastErr = err
	}
	return out, lastErr
}

// send sends a request to one node. It reports false in answered if the next node should be tried.
func (c *Client) send(ctx context.Context, node, method, path string, in, out any) (answered bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return true, errors.Wrap(err, "encode")
	}
	if in == nil {
		body = nil
	}
	req, err := http.NewRequestWithContext(ctx, method, node+operator.Prefix+path, bytes.NewReader(body))
	if err != nil {
		return true, errors.Wrapf(err, "node %s", node)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return false, errors.Wrapf(err, "node %s", node)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return false, errors.Wrapf(err, "node %s", node)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return true, responseError(res.StatusCode, data)
	}
	return true, errors.Wrapf(json.Unmarshal(data, out), "node %s", node)
}

// responseError decodes a problem, or describes an error response of another form.
func responseError(status int, data []byte) error {
	var p problem.Problem
	if json.Unmarshal(data, &p) == nil && p.Reason != "" {
		return &p
	}
	return errors.Newf("status %d: %s", status, bytes.TrimSpace(data))
}
