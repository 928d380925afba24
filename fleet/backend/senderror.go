package backend

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/holder"
)

// sendError wraps an error of sending. It is marked ErrNotStarted if dialing failed,
// since the endpoint may have started the request after any other error.
func sendError(err error, a holder.Attempt) error {
	wrapped := errors.Wrapf(err, "step send, peer %s", a.Endpoint)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Mark(wrapped, ErrNotStarted)
	}
	return wrapped
}
