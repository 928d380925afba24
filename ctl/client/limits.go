package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// Limits lists the endpoints that announce a limit, and the share of the limit that the responding node may
// use, as known to that node.
func (c *RelayClient) Limits(ctx context.Context) ([]limit.Listed, error) {
	data, err := c.send(ctx, http.MethodGet, relay.LimitsPath)
	if err != nil {
		return nil, err
	}
	var all []limit.Listed
	return all, errors.Wrap(json.Unmarshal(data, &all), "limits of endpoints")
}
