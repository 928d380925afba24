package routing

import "time"

// The parameters of outlier ejection.
const (
	ejectAfter      = 3 // consecutive failures
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
)

// Health is the health of an endpoint as observed by this node. It is immutable;
// methods return a changed copy.
type Health struct {
	failures     int
	ejectedUntil time.Time // zero if it is not ejected
	lastDuration time.Duration
	probing      bool
}

// WithFailure returns the health after a failed attempt. The endpoint is ejected after
// ejectAfter consecutive failures, each time for twice as long, up to maxEjection.
func (h Health) WithFailure(at time.Time) Health {
	h.failures++
	if h.failures < ejectAfter && !h.probing {
		return h
	}
	h.lastDuration = min(maxEjection, max(initialEjection, 2*h.lastDuration))
	h.ejectedUntil = at.Add(h.lastDuration)
	h.probing = false
	return h
}

// WithSuccess returns the health after a successful attempt.
func (h Health) WithSuccess() Health { return Health{} }

// WithProbe returns the health while one call probes an endpoint whose ejection has expired.
func (h Health) WithProbe() Health {
	h.probing = true
	return h
}

// Ejected reports whether the endpoint takes no calls at the given time.
func (h Health) Ejected(at time.Time) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	return at.Before(h.ejectedUntil) || h.probing
}

// NeedsProbe reports whether the next call is to probe the endpoint.
func (h Health) NeedsProbe(at time.Time) bool {
	return !h.ejectedUntil.IsZero() && !at.Before(h.ejectedUntil) && !h.probing
}
