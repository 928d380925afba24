package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// RelayClient sends requests to relaying nodes, at the addresses of their readiness checks.
type RelayClient struct {
	nodes []string
	http  *http.Client
}

// NewRelayClient returns a client of the given relaying nodes.
func NewRelayClient(nodes []string) *RelayClient {
	return &RelayClient{nodes: nodes, http: &http.Client{Timeout: requestTimeout}}
}

// Quarantine lists the quarantined requests known to the first node that responds.
func (c *RelayClient) Quarantine(ctx context.Context) ([]quarantine.HeldReport, error) {
	data, err := c.send(ctx, http.MethodGet, relay.QuarantinePath)
	if err != nil {
		return nil, err
	}
	var quarantined []quarantine.HeldReport
	return quarantined, errors.Wrap(json.Unmarshal(data, &quarantined), "requests that are held back")
}

// Release releases a request from quarantine on all nodes.
func (c *RelayClient) Release(ctx context.Context, print quarantine.Fingerprint) error {
	_, err := c.send(ctx, http.MethodDelete, relay.QuarantinePath+"/"+print.String())
	return err
}

// send sends a request to the nodes in turn until one responds.
func (c *RelayClient) send(ctx context.Context, method, path string) ([]byte, error) {
	lastErr := errors.New("no node is named; use --node URL")
	for _, n := range c.nodes {
		status, data, err := c.sendTo(ctx, n, method, path)
		switch {
		case err != nil:
			lastErr = errors.Wrapf(err, "node %s", n)
		case status >= http.StatusBadRequest:
			return nil, errors.Newf("node %s: status %d: %s", n, status, bytes.TrimSpace(data))
		default:
			return data, nil
		}
	}
	return nil, lastErr
}

// sendTo sends a request to one node and returns the status and body of the response.
func (c *RelayClient) sendTo(ctx context.Context, node, method, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, node+path, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, data, err
}
