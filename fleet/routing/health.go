package routing

import "time"

// Options of the outlier ejection; they are constants of the product today.
const (
	ejectAfter   = 3 // failures in a row
	firstEject   = time.Second
	longestEject = 30 * time.Second
)

// Health is what a node has seen of an endpoint; it is not changed in place.
type Health struct {
	failures int
	ejected  time.Time // until when
	last     time.Duration
	probing  bool
}

// WithFailure is the health after a failed attempt; enough in a row eject the endpoint.
func (h Health) WithFailure(at time.Time) Health {
	h.failures++
	if h.failures < ejectAfter && !h.probing {
		return h
	}
	h.last = min(longestEject, max(firstEject, 2*h.last))
	h.ejected = at.Add(h.last)
	h.probing = false
	return h
}

// WithSuccess is the health after an attempt that went well.
func (h Health) WithSuccess() Health { return Health{} }

// WithProbe is the health while one call tries an endpoint whose ejection has run out.
func (h Health) WithProbe() Health {
	h.probing = true
	return h
}

// Ejected reports whether the endpoint takes no calls at a time.
func (h Health) Ejected(at time.Time) bool {
	if h.ejected.IsZero() {
		return false
	}
	return at.Before(h.ejected) || h.probing
}

// NeedsProbe reports whether the next call is the one that tries the endpoint.
func (h Health) NeedsProbe(at time.Time) bool {
	return !h.ejected.IsZero() && !at.Before(h.ejected) && !h.probing
}
