package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// Nodes lists the nodes known to the first node that responds.
func (c *RelayClient) Nodes(ctx context.Context) ([]peer.Member, error) {
	data, err := c.send(ctx, http.MethodGet, relay.NodesPath)
	if err != nil {
		return nil, err
	}
	var all []peer.Member
	return all, errors.Wrap(json.Unmarshal(data, &all), "nodes")
}
