package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// ErrFenced means that the engine has accepted an order with a newer fencing token.
var ErrFenced = errors.New("the engine has accepted a newer fence")

// orderRequest is the body of an order to an engine.
type orderRequest struct {
	Fence int64  `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// orderLoad is the kind of an order to load a model.
const orderLoad = "load"

// OrderLoad orders an engine to load a model. An engine refuses an order whose fencing
// token is older than that of an order it has accepted.
func (c *Client) OrderLoad(ctx context.Context, endpoint ident.Endpoint, base string, fence int64, model string) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := json.Marshal(orderRequest{Fence: fence, Kind: orderLoad, Value: model})
	if err != nil {
		return errors.Wrapf(err, "step order, peer %s", endpoint)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "step order, peer %s", endpoint)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "step order, peer %s", endpoint)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(ErrFenced, "step order, peer %s", endpoint)
	default:
		return errors.Newf("step order, peer %s: status %d", endpoint, res.StatusCode)
	}
}
