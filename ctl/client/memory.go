package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
)

// Memory returns what the first node that responds holds for its callers.
func (c *RelayClient) Memory(ctx context.Context) (relay.MemoryReport, error) {
	var report relay.MemoryReport
	data, err := c.send(ctx, http.MethodGet, relay.MemoryPath)
	if err != nil {
		return report, err
	}
	return report, errors.Wrap(json.Unmarshal(data, &report), "memory of a node")
}
