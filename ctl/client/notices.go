package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// Notices lists the notices that endpoints signal in their answers, as known to the first node that responds.
func (c *RelayClient) Notices(ctx context.Context) ([]notice.Listed, error) {
	data, err := c.send(ctx, http.MethodGet, relay.NoticesPath)
	if err != nil {
		return nil, err
	}
	var all []notice.Listed
	return all, errors.Wrap(json.Unmarshal(data, &all), "notices of endpoints")
}
