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

// Relays asks relaying nodes, at the addresses where they answer whether they are ready.
type Relays struct {
	nodes []string
	http  *http.Client
}

// NewRelays makes a client of some relaying nodes.
func NewRelays(nodes []string) *Relays {
	return &Relays{nodes: nodes, http: &http.Client{Timeout: timeout}}
}

// Quarantine lists the requests that are held back, as the first node that answers knows.
func (c *Relays) Quarantine(ctx context.Context) ([]quarantine.HeldWord, error) {
	data, err := c.ask(ctx, http.MethodGet, relay.QuarantinePath)
	if err != nil {
		return nil, err
	}
	var held []quarantine.HeldWord
	return held, errors.Wrap(json.Unmarshal(data, &held), "requests that are held back")
}

// Release lets a request go at all nodes.
func (c *Relays) Release(ctx context.Context, print quarantine.Print) error {
	_, err := c.ask(ctx, http.MethodDelete, relay.QuarantinePath+"/"+print.String())
	return err
}

// ask asks node after node until one answers.
func (c *Relays) ask(ctx context.Context, method, path string) ([]byte, error) {
	last := errors.New("no node is named; use --node URL")
	for _, n := range c.nodes {
		status, data, err := c.askOne(ctx, n, method, path)
		switch {
		case err != nil:
			last = errors.Wrapf(err, "node %s", n)
		case status >= http.StatusBadRequest:
			return nil, errors.Newf("node %s: status %d: %s", n, status, bytes.TrimSpace(data))
		default:
			return data, nil
		}
	}
	return nil, last
}

func (c *Relays) askOne(ctx context.Context, node, method, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, node+path, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	return res.StatusCode, data, err
}
