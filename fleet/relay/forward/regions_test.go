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

// A call runs only in a region that both its route and its customer allow; without one it is
// refused as not run.
func TestCallsRunOnlyInAllowedRegions(t *testing.T) {
	cases := []struct {
		name            string
		route, customer policy.Regions
		zones           []string
		want            string // the endpoint; "": refused
	}{
		{"no homes", nil, nil, []string{"z2"}, "e0"},
		{"the route's", policy.Regions{"r1"}, nil, []string{"z2", "z1"}, "e1"},
		{"the customer's", nil, policy.Regions{"r2"}, []string{"z1", "z2"}, "e1"},
		{"both bind", policy.Regions{"r1", "r2"}, policy.Regions{"r2"}, []string{"z1", "z2"}, "e1"},
		{"nowhere", policy.Regions{"r1"}, policy.Regions{"r2"}, []string{"z1", "z2"}, ""},
		{"a zone of an unknown region", policy.Regions{"r1"}, nil, []string{"elsewhere"}, ""},
		{"a region without a zone", policy.Regions{"r9"}, nil, []string{"z1", "elsewhere"}, ""},
		{"a region without a name", policy.Regions{""}, nil, []string{"elsewhere"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
			f.policy.Routes[0].AllowedRegions, f.policy.Tenants[0].AllowedRegions = c.route, c.customer
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
				assert.Empty(t, f.received())
				return
			}
			assert.Equal(t, http.StatusOK, a.status)
			assert.Equal(t, c.want, f.received()[0].engine)
		})
	}
}

// The time that connecting takes is recorded as the round trip to the endpoint's zone; a call on a
// kept-alive connection records nothing.
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

// A call without an allowed region is refused as not run, with its own reason, before its body is
// read and anything is reserved.
func TestCallWithoutAllowedRegionIsRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name            string
		route, customer policy.Regions
		reason          string
	}{
		{"nothing in common", policy.Regions{"r1"}, policy.Regions{"r2"}, "no-allowed-region"},
		{"a region that is not known", policy.Regions{"r9"}, nil, "no-allowed-region"},
		{"a home without endpoints", policy.Regions{"r1"}, nil, "no-endpoint"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
			f.policy.Routes[0].AllowedRegions, f.policy.Tenants[0].AllowedRegions = c.route, c.customer
			e := f.startEngine(t, "e0", good("done"))
			e.Zone = "z2"
			f.start(t, []engine.Engine{e})
			a := f.do(t, f.request(t, http.MethodPost, "/once/x", "body"))
			assert.Equal(t, http.StatusServiceUnavailable, a.status)
			assert.Contains(t, a.body, c.reason)
			assert.Empty(t, f.received())
			assert.Equal(t, c.reason == "no-allowed-region", f.gate.bodies.Load() == 0, "the body must not be read")
		})
	}
}

// A call stays in its allowed region even if the endpoints there are evacuated, draining or
// unreachable.
func TestCallStaysInAllowedRegionThatFails(t *testing.T) {
	cases := []struct {
		name string
		fail func(f *fleet, e *engine.Engine)
	}{
		{"emptied", func(_ *fleet, e *engine.Engine) { e.State = engine.Evacuated }},
		{"leaving", func(_ *fleet, e *engine.Engine) { e.State = engine.Draining }},
		{"unreachable", func(_ *fleet, e *engine.Engine) { e.Address = "127.0.0.1:1" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
			f.policy.Tenants[0].AllowedRegions = policy.Regions{"r1"}
			home, abroad := f.startEngine(t, "home", good("done")), f.startEngine(t, "abroad", good("done"))
			home.Zone, abroad.Zone = "z1", "z2"
			c.fail(f, &home)
			f.start(t, []engine.Engine{home, abroad})
			a := f.do(t, f.request(t, http.MethodPost, "/repeat/x", ""))
			assert.Equal(t, http.StatusServiceUnavailable, a.status)
			assert.Empty(t, f.received())
		})
	}
}

// A retry after a change of the allowed regions, of the route or of the customer, obeys the new ones.
func TestChangedRegionsApplyToTheNextAttempt(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *policy.Policy)
		zones  []string // of the endpoints after the first
		want   string   // where the call finally runs; "": refused
	}{
		{"the route moves", func(p *policy.Policy) { p.Routes[1].AllowedRegions = policy.Regions{"r2"} }, []string{"z1", "z2"}, "e2"},
		{"the customer moves", func(p *policy.Policy) {
			p.Routes[1].AllowedRegions, p.Tenants[0].AllowedRegions = nil, policy.Regions{"r2"}
		}, []string{"z1", "z2"}, "e2"},
		{"nothing is left", func(p *policy.Policy) { p.Routes[1].AllowedRegions = policy.Regions{"r2"} }, []string{"z1", "z1"}, ""},
		{"another route changes", func(p *policy.Policy) { p.Routes[0].AllowedRegions = policy.Regions{"r2"} }, []string{"z1", "z2"}, "e1"},
		{"the route is gone", func(p *policy.Policy) { p.Routes = p.Routes[:1] }, []string{"z1", "z2"}, "e1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
			f.policy.Routes[1].AllowedRegions = policy.Regions{"r1"}
			changes := func(f *fleet, w http.ResponseWriter, r *http.Request) {
				next := testPolicy()
				next.Routes[1].AllowedRegions = policy.Regions{"r1"}
				next.Version++
				c.change(&next)
				f.inForce.Store(next.Indexed())
				status(http.StatusServiceUnavailable, true)(f, w, r)
			}
			first := f.startEngine(t, "e0", changes)
			first.Zone, first.Slots = "z1", 1000 // most free slots: chosen first
			all := []engine.Engine{first}
			for i, zone := range c.zones {
				e := f.startEngine(t, []string{"e1", "e2"}[i], good("done"))
				e.Zone = zone
				all = append(all, e)
			}
			f.start(t, all)
			a := f.do(t, f.request(t, http.MethodPost, "/repeat/x", ""))
			runs := f.received()
			assert.Equal(t, "e0", runs[0].engine)
			if c.want == "" {
				assert.Equal(t, http.StatusServiceUnavailable, a.status)
				assert.Len(t, runs, 1)
				return
			}
			assert.Equal(t, http.StatusOK, a.status)
			assert.Equal(t, c.want, runs[1].engine)
		})
	}
}
