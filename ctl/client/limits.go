package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// Limits lists the endpoints that name a limit, as the first node that answers knows, with
// that node's part.
func (c *Relays) Limits(ctx context.Context) ([]limit.Listed, error) {
	data, err := c.ask(ctx, http.MethodGet, relay.LimitsPath)
	if err != nil {
		return nil, err
	}
	var all []limit.Listed
	return all, errors.Wrap(json.Unmarshal(data, &all), "limits of endpoints")
}
