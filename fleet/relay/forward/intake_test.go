package forward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// If the customer is to reconnect, the connection is closed after a complete answer, whether the
// call was served or refused.
func TestAConnectionIsClosedAfterItsAnswer(t *testing.T) {
	cases := []struct {
		name       string
		reconnects string
		redirects  string
		path       string
		status     int
		closed     bool
	}{
		{"served", "t", "", "/single/x", http.StatusOK, true},
		{"refused", "t", "t", "/single/x", http.StatusServiceUnavailable, true},
		{"refused before its customer is known", "t", "", "/nowhere/x", http.StatusNotFound, false},
		{"another customer's", "u", "", "/single/x", http.StatusOK, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1000, good("ok"))
			f.intake.reconnects, f.gate.redirects, f.nodes = c.reconnects, c.redirects, 2
			resp, err := f.Client().Do(f.request(t, "POST", c.path, "body"))
			require.NoError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, c.status, resp.StatusCode)
			assert.Equal(t, c.closed, resp.Close)
		})
	}
}
