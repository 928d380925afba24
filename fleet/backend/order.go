package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// ErrFenced means that the engine has taken an order with a newer fence.
var ErrFenced = errors.New("the engine has seen a newer fence")

// order is an order in the engines' form.
type order struct {
	Fence int64  `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// orderLoad is the kind of order to load a model.
const orderLoad = "load"

// OrderLoad tells an engine to load a model, with a fencing token.
func (c *Client) OrderLoad(ctx context.Context, name ident.Endpoint, base string, fence int64, model string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := json.Marshal(order{Fence: fence, Kind: orderLoad, Value: model})
	if err != nil {
		return errors.Wrapf(err, "step order, peer %s", name)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "step order, peer %s", name)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "step order, peer %s", name)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(ErrFenced, "step order, peer %s", name)
	default:
		return errors.Newf("step order, peer %s: status %d", name, res.StatusCode)
	}
}
