// Package limit decides whether a call fits within the request rate, the token rate
// and the in-flight bound of a limit.
package limit

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// burst is the time whose worth of a rate may be used at once.
const burst = time.Second

// ErrRate and ErrInFlight name the bound that refused a call.
var (
	ErrRate     = errors.New("rate")
	ErrInFlight = errors.New("in-flight")
)

// Line is a limit that applies to a call. Zero values mean no bound.
type Line struct {
	Name              string `json:"name"`
	RequestsPerSecond int64  `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   int64  `json:"tokensPerSecond,omitempty"`
	MaxInFlight       int64  `json:"maxInFlight,omitempty"`
	// Common marks a limit that all customers use together. Every node has a share of it,
	// while a customer's limit has one share per zone.
	Common bool `json:"common,omitempty"`
}

// Usage is the current usage of a limit. It is immutable.
type Usage struct {
	at       time.Time
	requests float64 // free requests
	tokens   float64 // free tokens; negative after calls that cost more than the burst
	inFlight int64
}

// With returns the usage after a call that reserves the given tokens, for a share (0 to 1)
// of the limit. If a bound refuses the call, it returns that bound and the time
// after which the call may fit.
func (u Usage) With(l Line, share float64, tokens int64, at time.Time) (Usage, time.Duration, error) {
	next := u.refilled(l, share, at)
	if l.MaxInFlight > 0 && float64(next.inFlight) >= max(1, float64(l.MaxInFlight)*share) {
		return u, burst, ErrInFlight
	}
	if l.RequestsPerSecond > 0 && next.requests < 1 {
		return u, retryAfter(1-next.requests, float64(l.RequestsPerSecond)*share), ErrRate
	}
	if l.TokensPerSecond > 0 && next.tokens <= 0 {
		return u, retryAfter(1-next.tokens, float64(l.TokensPerSecond)*share), ErrRate
	}
	next.requests--
	next.tokens -= float64(tokens)
	next.inFlight++
	return next, 0, nil
}

// Ended returns the usage after a call has ended without using some of its tokens.
func (u Usage) Ended(unused int64) Usage {
	u.inFlight = max(0, u.inFlight-1)
	u.tokens += float64(unused)
	return u
}

// refilled returns the usage with the requests and tokens that became free up to a time.
func (u Usage) refilled(l Line, share float64, at time.Time) Usage {
	requests, tokens := float64(l.RequestsPerSecond)*share, float64(l.TokensPerSecond)*share
	if u.at.IsZero() {
		u.at, u.requests, u.tokens = at, max(1, requests), max(1, tokens)
		return u
	}
	passed := max(0, at.Sub(u.at).Seconds())
	u.at = lo.Ternary(at.After(u.at), at, u.at)
	u.requests = min(max(1, requests*burst.Seconds()), u.requests+passed*requests)
	u.tokens = min(max(1, tokens*burst.Seconds()), u.tokens+passed*tokens)
	return u
}

// maxRetryAfter bounds the delay that callers are asked to wait, since shares change in the meantime.
const maxRetryAfter = 5 * time.Second

func retryAfter(missing, rate float64) time.Duration {
	return min(maxRetryAfter, time.Duration(missing/max(rate, missing/maxRetryAfter.Seconds())*float64(time.Second)))
}

const (
	lentFraction = 0.9  // of the unused share that is lent
	minLent      = 0.01 // smallest share of the limit that is lent
)

// Lent returns the usage after most of the unused share was lent, and the lent share
// of the whole limit. The burst of the lent share is transferred with it.
func (u Usage) Lent(l Line, share float64, at time.Time) (Usage, float64) {
	u = u.refilled(l, share, at)
	lent := lentFraction * u.spare(l, share)
	if lent < minLent {
		return u, 0
	}
	return u.WithBurst(l, -lent), lent
}

// spare returns the unused share, 0 to 1 of the whole limit.
func (u Usage) spare(l Line, share float64) float64 {
	spare := share
	if l.RequestsPerSecond > 0 {
		spare = min(spare, u.requests/float64(l.RequestsPerSecond))
	}
	if l.TokensPerSecond > 0 {
		spare = min(spare, u.tokens/float64(l.TokensPerSecond))
	}
	if l.MaxInFlight > 0 {
		spare = min(spare, share-float64(u.inFlight)/float64(l.MaxInFlight))
	}
	return spare
}

// WithBurst returns the usage with the burst of a share of the limit added, or removed
// if the share is negative.
func (u Usage) WithBurst(l Line, share float64) Usage {
	u.requests += share * float64(l.RequestsPerSecond) * burst.Seconds()
	u.tokens += share * float64(l.TokensPerSecond) * burst.Seconds()
	return u
}
