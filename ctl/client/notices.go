package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// Notices lists what endpoints say in their answers, as the first node that answers knows.
func (c *Relays) Notices(ctx context.Context) ([]notice.Listed, error) {
	data, err := c.ask(ctx, http.MethodGet, relay.NoticesPath)
	if err != nil {
		return nil, err
	}
	var all []notice.Listed
	return all, errors.Wrap(json.Unmarshal(data, &all), "notices of endpoints")
}
