package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
)

// A call runs only in a region that both its route and its customer allow; where none
// is left it is refused as not run.
func TestCallsRunAtHomeOnly(t *testing.T) {
	cases := []struct {
		name            string
		route, customer policy.Homes
		zones           []string
		want            string // the endpoint; "" is refused
	}{
		{"no homes", nil, nil, []string{"z2"}, "e0"},
		{"the route's", policy.Homes{"r1"}, nil, []string{"z2", "z1"}, "e1"},
		{"the customer's", nil, policy.Homes{"r2"}, []string{"z1", "z2"}, "e1"},
		{"both bind", policy.Homes{"r1", "r2"}, policy.Homes{"r2"}, []string{"z1", "z2"}, "e1"},
		{"nowhere", policy.Homes{"r1"}, policy.Homes{"r2"}, []string{"z1", "z2"}, ""},
		{"a zone of an unknown region", policy.Homes{"r1"}, nil, []string{"elsewhere"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
			f.policy.Routes[0].Homes, f.policy.Tenants[0].Homes = c.route, c.customer
			var engines []engine.Engine
			for i, zone := range c.zones {
				e := f.startEngine(t, []string{"e0", "e1"}[i], good("done"))
				e.Zone = zone
				engines = append(engines, e)
			}
			f.start(t, engines)
			a := f.do(t, f.request(t, http.MethodPost, "/once/x", ""))
			if c.want == "" {
				assert.Equal(t, http.StatusServiceUnavailable, a.status)
				assert.NotEmpty(t, a.header.Get("Retry-After"))
				assert.Empty(t, f.seen())
				return
			}
			assert.Equal(t, http.StatusOK, a.status)
			assert.Equal(t, c.want, f.seen()[0].engine)
		})
	}
}

// What connecting takes is the round trip to the endpoint's zone; a call on a kept
// connection measures nothing.
func TestConnectsMeasureTheRoundTrip(t *testing.T) {
	f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
	e := f.startEngine(t, "e0", good("done"))
	e.Zone = "z1"
	f.start(t, []engine.Engine{e})
	assert.False(t, f.places.To("z1", time.Now()).Measured)
	assert.Equal(t, http.StatusOK, f.do(t, f.request(t, http.MethodPost, "/once/x", "")).status)
	trip := f.places.To("z1", time.Now())
	assert.True(t, trip.Measured)
	assert.Positive(t, trip.RoundTrip)
	assert.False(t, f.places.To("z2", time.Now()).Measured)
}
