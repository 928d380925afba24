package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/limit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// admitted counts the calls that a limit admits, with one call per step for the total time.
func admitted(l limit.Line, share float64, tokens int64, step, total time.Duration, end bool) int {
	var u limit.Usage
	count := 0
	for at := time.Duration(0); at < total; at += step {
		next, _, err := u.With(l, share, tokens, start.Add(at))
		if err != nil {
			continue
		}
		count++
		u = next
		if end {
			u = u.Ended(0)
		}
	}
	return count
}

func TestLimit(t *testing.T) {
	cases := []struct {
		name   string
		line   limit.Line
		share  float64
		tokens int64
		end    bool
		want   int
	}{
		{"no bound", limit.Line{}, 1, 1, true, 1000},
		{"requests with one second's burst", limit.Line{RequestsPerSecond: 10}, 1, 1, true, 110},
		{"half a share", limit.Line{RequestsPerSecond: 10}, 0.5, 1, true, 55},
		{"tokens", limit.Line{TokensPerSecond: 100}, 1, 50, true, 22},
		{"in flight", limit.Line{MaxInFlight: 4}, 1, 1, false, 4},
		{"a small share still admits one call", limit.Line{MaxInFlight: 4}, 0.1, 1, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := admitted(c.line, c.share, c.tokens, 10*time.Millisecond, 10*time.Second, c.end)
			assert.InDelta(t, c.want, got, 1)
		})
	}
}

func TestRefusalReturnsRetryDelay(t *testing.T) {
	l := limit.Line{RequestsPerSecond: 2}
	var u limit.Usage
	for range 2 {
		u, _, _ = u.With(l, 1, 1, start)
	}
	_, retryAfter, err := u.With(l, 1, 1, start)
	assert.ErrorIs(t, err, limit.ErrRate)
	assert.Equal(t, 500*time.Millisecond, retryAfter)
	_, _, err = u.With(l, 1, 1, start.Add(retryAfter))
	assert.NoError(t, err)
}
