package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
)

// The timing of endpoints on trial does not change the service's model, and they are compared with the
// model and not with their own speed.
func TestEndpointsOnTrialDoNotUpdateTheModel(t *testing.T) {
	now := time.Now()
	p := NewPicker("z", DefaultTuning())
	all := testEngines(4)
	random := rand.New(rand.NewPCG(1, 2))
	kind := kindsOfEngines[1]
	for range 200 {
		playCall(t, p, random, all[0], kind, 1, now)
	}
	before := *p.models[service]
	const slowdown = 6
	for i := range 100 {
		c := call.Call{ID: fmt.Sprint("trial", i), PromptMax: 2000, OutputMax: 100}
		placement, ok := p.Pick(Request{Call: c, Engines: all[1:], Trial: true, Profile: Profile{Service: service, Tokens: true, Capacity: 1}, Cap: 100, Now: now})
		require.True(t, ok)
		first, gap := millis(slowdown*kind.first(placement.Uncached)), millis(slowdown*(kind.eventMs+kind.batchMs))
		placement.First(first, now)
		placement.Events(gap, now)
		assert.InDelta(t, slowdown, placement.Slowness(first, 0, now), 1)
		assert.InDelta(t, slowdown, placement.Slowness(0, gap, now), 1.5)
		assert.InDelta(t, 1, placement.Slowness(millis(kind.first(placement.Uncached)), millis(kind.eventMs+kind.batchMs), now), 0.3)
		assert.Zero(t, placement.Slowness(0, 0, now))
		placement.Close(Good, now.Add(time.Minute))
	}
	after := *p.models[service]
	after.value = before.value // a property of calls, not of endpoints
	assert.Equal(t, before, after)
}

// Endpoints of another list may be sources of parts: the target version of a service fetches
// from the old one.
func TestPartsAreFetchedFromOtherVersions(t *testing.T) {
	now := time.Now()
	all := testEngines(2)
	old, target := all[:1], all[1:]
	c := func(id string) call.Call {
		return call.Call{ID: id, PromptMax: 9000, OutputMax: 10, Parts: []call.Part{{ID: "system", Tokens: 8900}, {ID: id, Tokens: 100}}}
	}
	profile := Profile{Service: service, Tokens: true, Capacity: 100_000, TokenBytes: 1000, LinkMbps: 100_000}
	for _, isSource := range []bool{true, false} {
		p := NewPicker("z", DefaultTuning())
		read, ok := p.Pick(Request{Call: c("a"), Engines: old, Profile: profile, Cap: 10, Now: now})
		require.True(t, ok)
		read.First(time.Second, now)
		read.Close(Good, now)
		r := Request{Call: c("b"), Engines: target, Profile: profile, Cap: 10, Now: now}
		want := ""
		if isSource {
			r.Sources, want = all, old[0].Address
		}
		moved, ok := p.Pick(r)
		require.True(t, ok)
		assert.Equal(t, target[0].ID, moved.Engine.ID)
		assert.Equal(t, want, moved.Source)
	}
}

func TestExpectedCallDuration(t *testing.T) {
	p := NewPicker("z", DefaultTuning())
	random := rand.New(rand.NewPCG(1, 2))
	all := testEngines(1)
	kind := kindsOfEngines[1]
	for range 500 {
		playCall(t, p, random, all[0], kind, 1, time.Now())
	}
	profile := Profile{Service: service, Tokens: true}
	expected := kind.first(4000) + 20*kind.eventMs
	assert.InEpsilon(t, expected, float64(p.ExpectedDuration(profile, 4000, 20, 1).Milliseconds()), 0.2)
	assert.Greater(t, p.ExpectedDuration(profile, 4000, 40, 1), p.ExpectedDuration(profile, 4000, 20, 1))
	assert.Greater(t, p.ExpectedDuration(profile, 8000, 20, 1), p.ExpectedDuration(profile, 4000, 20, 1))
	assert.Greater(t, p.ExpectedDuration(Profile{Service: "unknown"}, 0, 0, 6), time.Duration(0))
}

func TestInFlightCountsSomeEndpoints(t *testing.T) {
	now := time.Now()
	p := NewPicker("z", DefaultTuning())
	all := testEngines(2)
	ids := func(yield func(string) bool) { _ = yield(all[0].ID) && yield("unknown") }
	assert.Zero(t, p.InFlight(ids))
	var open []*Placement
	for i := range 3 {
		placement, ok := p.Pick(Request{Call: call.Call{ID: fmt.Sprint(i)}, Engines: all[:1], Profile: Profile{Service: service}, Cap: 10, Now: now})
		require.True(t, ok)
		open = append(open, placement)
	}
	_, ok := p.Pick(Request{Call: call.Call{ID: "other"}, Engines: all[1:], Profile: Profile{Service: service}, Cap: 10, Now: now})
	require.True(t, ok)
	assert.Equal(t, 3, p.InFlight(ids))
	open[0].Close(Good, now)
	assert.Equal(t, 2, p.InFlight(ids))
}
