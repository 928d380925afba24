package forward_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection whose customer is to come by another one is closed after its answer, which
// is whole, whether the call was served or refused.
func TestAConnectionIsClosedAfterItsAnswer(t *testing.T) {
	cases := []struct {
		name    string
		sends   string
		handsOn string
		path    string
		status  int
		closed  bool
	}{
		{"served", "t", "", "/single/x", http.StatusOK, true},
		{"refused", "t", "t", "/single/x", http.StatusServiceUnavailable, true},
		{"refused before its customer is known", "t", "", "/nowhere/x", http.StatusNotFound, false},
		{"another customer's", "u", "", "/single/x", http.StatusOK, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1000, good("ok"))
			f.intake.sends, f.gate.handsOn, f.nodes = c.sends, c.handsOn, 2
			resp, err := f.Client().Do(f.request(t, "POST", c.path, "body"))
			require.NoError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, c.status, resp.StatusCode)
			assert.Equal(t, c.closed, resp.Close)
		})
	}
}
