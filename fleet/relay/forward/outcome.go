package forward

import (
	"net/http"
	"time"
)

// outcome is how an attempt ended: sealed.
type outcome interface{ outcome() }

// neverSent: not a byte of the call reached the endpoint.
type neverSent struct {
	err       error
	connected bool // there was a connection, which this node closed itself: no word on the endpoint
}

// rejected: the endpoint's own word that the call did not run there.
type rejected struct {
	status int
	moved  bool // another endpoint has the address
}

// failed: the call may have run, and there is no answer to pass on.
type failed struct {
	err   error
	heard bool // something answered, though not to this call
}

// answered: the head of an answer to this call has come.
type answered struct {
	resp *http.Response
	sent time.Time // when the attempt began
}

func (neverSent) outcome() {}
func (rejected) outcome()  {}
func (failed) outcome()    {}
func (answered) outcome()  {}

// refusal is an answer of the relay's own.
type refusal struct {
	status int
	reason string        // a stable word
	after  time.Duration // when to come back; 0 is not said
}

// The refusals.
var (
	refuseNoPolicy     = refusal{http.StatusServiceUnavailable, "no-configuration", 500 * time.Millisecond}
	refuseLeaving      = refusal{http.StatusServiceUnavailable, "leaving", 50 * time.Millisecond}
	refuseOverloaded   = refusal{http.StatusServiceUnavailable, "node-overloaded", 50 * time.Millisecond} // another try reaches another node, but for customers that keep to one
	refuseMemory       = refusal{http.StatusServiceUnavailable, "no-memory", 300 * time.Millisecond}
	refuseNoRoute      = refusal{http.StatusNotFound, "unknown-route", 0}
	refuseKey          = refusal{http.StatusUnauthorized, "unknown-key", 0}
	refuseHead         = refusal{http.StatusBadRequest, "bad-head", 0}
	refuseTooLarge     = refusal{http.StatusRequestEntityTooLarge, "too-large", 0}
	refuseBudget       = refusal{http.StatusPaymentRequired, "budget-exhausted", 0}
	refuseInsufficient = refusal{http.StatusServiceUnavailable, "budget-insufficient-here", 2 * time.Second}
	refuseNoEngine     = refusal{http.StatusServiceUnavailable, "no-endpoint", 300 * time.Millisecond}
	refuseNoHome       = refusal{http.StatusServiceUnavailable, "no-allowed-region", 5 * time.Second} // until a policy changes it
	refuseFull         = refusal{http.StatusServiceUnavailable, "endpoints-full", 200 * time.Millisecond}
	refuseLimited      = refusal{http.StatusServiceUnavailable, "endpoints-limited", 0}                        // when to come back depends on the limits and on who waits
	refuseTurnedAway   = refusal{http.StatusServiceUnavailable, "endpoint-turned-away", 50 * time.Millisecond} // others of its service may take the next try
	refuseResting      = refusal{http.StatusServiceUnavailable, "endpoints-resting", 0}                        // when to come back depends on what they asked for
	refuseUnknown      = refusal{http.StatusBadGateway, "endpoint-failed", 0}
	refuseLeft         = refusal{http.StatusBadGateway, "caller-left", 0} // nobody reads it
	refuseTimedOut     = refusal{http.StatusGatewayTimeout, "timed-out", 0}
	refuseQuarantined  = refusal{http.StatusBadGateway, "request-quarantined", 0} // it has run before, under other ids, and is not worth a return
	refuseUnstarted    = refusal{http.StatusServiceUnavailable, "not-sent-in-time", 200 * time.Millisecond}
)
