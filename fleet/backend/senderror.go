package backend

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/holder"
)

// sendError tells a request that never left from one that may have started.
func sendError(err error, a holder.Attempt) error {
	wrapped := errors.Wrapf(err, "step send, peer %s", a.Endpoint)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(wrapped, ErrNotStarted)
	}
	return wrapped
}
