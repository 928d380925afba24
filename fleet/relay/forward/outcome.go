package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// outcome is how an attempt ended. The types below are the only ones.
type outcome interface{ outcome() }

// neverSent means that not a byte of the call reached the endpoint.
type neverSent struct {
	err       error
	connected bool // a connection was obtained but not written to, which is no evidence on the endpoint
}

// mayUseAnother reports whether another connection to the endpoint may work. To an endpoint that does not
// tell which incarnation runs it would be no better.
func (n neverSent) mayUseAnother() bool { return n.connected && !errors.Is(n.err, errUnidentified) }

// rejected means that the endpoint itself stated that the call did not run there.
type rejected struct {
	status int
	moved  bool // the address now belongs to another endpoint
}

// failed means that the call may have run, and there is no answer to pass on.
type failed struct {
	err      error
	answered bool // there was an answer, but not to this call
}

// answered means that the head of an answer to this call has arrived.
type answered struct {
	resp *http.Response
	sent time.Time // when the attempt began
	born int64     // of the incarnation that answers; 0: not known
}

func (neverSent) outcome() {}
func (rejected) outcome()  {}
func (failed) outcome()    {}
func (answered) outcome()  {}

// refusal is an answer by the relay itself.
type refusal struct {
	status int
	reason string        // stable identifier
	after  time.Duration // for Retry-After; 0: no such header
}

// Refusals.
var (
	refuseNoPolicy     = refusal{http.StatusServiceUnavailable, "no-configuration", 500 * time.Millisecond}
	refuseLeaving      = refusal{http.StatusServiceUnavailable, "leaving", 50 * time.Millisecond}
	refuseOverloaded   = refusal{http.StatusServiceUnavailable, "node-overloaded", 50 * time.Millisecond} // a retry reaches another node, unless the customer sticks to one
	refuseMemory       = refusal{http.StatusServiceUnavailable, "no-memory", 300 * time.Millisecond}
	refuseNoRoute      = refusal{http.StatusNotFound, "unknown-route", 0}
	refuseKey          = refusal{http.StatusUnauthorized, "unknown-key", 0}
	refuseHead         = refusal{http.StatusBadRequest, "bad-head", 0}
	refuseBodyLate     = refusal{http.StatusRequestTimeout, "body-timeout", 0}
	refuseTooLarge     = refusal{http.StatusRequestEntityTooLarge, "too-large", 0}
	refuseBudget       = refusal{http.StatusPaymentRequired, "budget-exhausted", 0}
	refuseInsufficient = refusal{http.StatusServiceUnavailable, "budget-insufficient-here", 2 * time.Second}
	refuseNoEngine     = refusal{http.StatusServiceUnavailable, "no-endpoint", 300 * time.Millisecond}
	refuseNoRegion     = refusal{http.StatusServiceUnavailable, "no-allowed-region", 5 * time.Second} // lasts until the policy changes
	refuseFull         = refusal{http.StatusServiceUnavailable, "endpoints-full", 200 * time.Millisecond}
	refuseLimited      = refusal{http.StatusServiceUnavailable, "endpoints-limited", 0}                             // after depends on the limits and on the callers that wait
	refuseTurnedAway   = refusal{http.StatusServiceUnavailable, "endpoint-turned-away", 50 * time.Millisecond}      // other endpoints of the service may take the retry
	refuseResting      = refusal{http.StatusServiceUnavailable, "endpoints-resting", 0}                             // after depends on what the endpoints asked for
	refuseVersionGone  = refusal{http.StatusServiceUnavailable, "stream-version-gone", 0}                           // no endpoint of the version that began the stream is left
	refuseNotListed    = refusal{http.StatusServiceUnavailable, "stream-version-not-listed", 50 * time.Millisecond} // other nodes list endpoints of the version that began the stream
	refuseNoOrigin     = refusal{http.StatusServiceUnavailable, "stream-origin-unknown", 0}                         // no node knows which of several versions began the stream
	refuseUnanswered   = refusal{http.StatusServiceUnavailable, "stream-origin-unanswered", 50 * time.Millisecond}  // no other node answered this one; they may know
	refuseUnknown      = refusal{http.StatusBadGateway, "endpoint-failed", 0}
	refuseLeft         = refusal{http.StatusBadGateway, "caller-left", 0} // the caller is gone: nobody reads it
	refuseTimedOut     = refusal{http.StatusGatewayTimeout, "timed-out", 0}
	refuseQuarantined  = refusal{http.StatusBadGateway, "request-quarantined", 0} // it may have run before, under other ids, and should not be retried
	refuseUnstarted    = refusal{http.StatusServiceUnavailable, "not-sent-in-time", 200 * time.Millisecond}
)
