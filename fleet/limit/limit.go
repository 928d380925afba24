// Package limit decides whether a call fits the requests, tokens and in-flight
// bounds of a limit's row.
package limit

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// burst is how much of a rate may be used at once, as time.
const burst = time.Second

// ErrRate and ErrInFlight tell which bound refused a call.
var (
	ErrRate     = errors.New("rate")
	ErrInFlight = errors.New("in-flight")
)

// Line is a limit as it bears on one call.
type Line struct {
	Name              string `json:"name"`
	RequestsPerSecond int64  `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   int64  `json:"tokensPerSecond,omitempty"`
	MaxInFlight       int64  `json:"maxInFlight,omitempty"`
	// Common marks a limit of all customers together, of which every node and not
	// only every zone has a part.
	Common bool `json:"common,omitempty"`
}

// Usage is what a limit has let through; it is not changed in place.
type Usage struct {
	at       time.Time
	requests float64 // free requests
	tokens   float64 // free tokens; negative after calls that cost more than the burst
	inFlight int64
}

// With is the usage after a call of so many tokens, for a zone's share (0 to 1)
// of the limit; or the bound that refuses it and how long until it may fit.
func (u Usage) With(l Line, share float64, tokens int64, at time.Time) (Usage, time.Duration, error) {
	next := u.refilled(l, share, at)
	if l.MaxInFlight > 0 && float64(next.inFlight) >= max(1, float64(l.MaxInFlight)*share) {
		return u, burst, ErrInFlight
	}
	if l.RequestsPerSecond > 0 && next.requests < 1 {
		return u, wait(1-next.requests, float64(l.RequestsPerSecond)*share), ErrRate
	}
	if l.TokensPerSecond > 0 && next.tokens <= 0 {
		return u, wait(1-next.tokens, float64(l.TokensPerSecond)*share), ErrRate
	}
	next.requests--
	next.tokens -= float64(tokens)
	next.inFlight++
	return next, 0, nil
}

// Ended is the usage after a call that gave back some of its tokens.
func (u Usage) Ended(unused int64) Usage {
	u.inFlight = max(0, u.inFlight-1)
	u.tokens += float64(unused)
	return u
}

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

// longestWait bounds what a caller is told to wait: shares move in the meantime.
const longestWait = 5 * time.Second

func wait(lack, rate float64) time.Duration {
	return min(longestWait, time.Duration(lack/max(rate, lack/longestWait.Seconds())*float64(time.Second)))
}

// The part of what goes unused that is lent, and the least worth lending.
const (
	lentPart  = 0.9
	leastLent = 0.01
)

// Lent is the usage after another zone was lent most of what goes unused of a
// zone's share, and that part of the whole limit; its burst goes along.
func (u Usage) Lent(l Line, share float64, at time.Time) (Usage, float64) {
	u = u.refilled(l, share, at)
	part := lentPart * u.spare(l, share)
	if part < leastLent {
		return u, 0
	}
	return u.WithBurst(l, -part), part
}

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

// WithBurst is the usage with the burst of a part of the limit more, or less
// where the part is negative.
func (u Usage) WithBurst(l Line, part float64) Usage {
	u.requests += part * float64(l.RequestsPerSecond) * burst.Seconds()
	u.tokens += part * float64(l.TokensPerSecond) * burst.Seconds()
	return u
}
