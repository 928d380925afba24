package choice

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Parts are fetched from the nearest holders. Among equally near ones the choice differs from
// call to call, so that they share the load.
func TestPartsAreFetchedFromTheNearest(t *testing.T) {
	now := time.Unix(1000, 0)
	all := testEngines(6)
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	for i, zone := range []string{"b1", "b1", "a2", "a2", "a1", "a1"} {
		all[i].Zone = zone
	}
	profile := Profile{Service: service, Tokens: true, Capacity: 100_000, TokenBytes: 131_072, LinkMbps: 500_000}
	shared := []call.Part{{ID: "system", Tokens: 6000}, {ID: "own", Tokens: 500}}
	cases := []struct {
		name    string
		keeping []int
		want    []int
	}{
		{"in other regions only", []int{0, 1}, []int{0, 1}},
		{"in the region, too", []int{0, 1, 2, 3}, []int{2, 3}},
		{"in the zone, too", []int{0, 1, 2, 4}, []int{4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPicker("a1", DefaultTuning()).WithPlaces(distance.From("a1", regions, distance.DefaultCosts()))
			for _, i := range c.keeping {
				p.endpoint(all[i].Incarnation(), profile.Capacity).cache.read(shared[0], true)
			}
			used := map[string]bool{}
			for i := range 64 {
				one := call.Call{ID: fmt.Sprint(i), PromptMax: 6500, Parts: shared}
				from := p.source(Request{Call: one, Engines: all, Profile: profile, Now: now}, "")
				used[from.id] = true
			}
			want := map[string]bool{}
			for _, i := range c.want {
				want[all[i].ID] = true
			}
			assert.Equal(t, want, used)
		})
	}
}

// Among equal endpoints a call stays in the zone, then in the region. It leaves if the endpoints
// there are worse by more than the cost of leaving.
func TestCallsStayNear(t *testing.T) {
	now := time.Unix(1000, 0)
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	cases := []struct {
		name   string
		full   []string // zones whose endpoints are full
		tokens bool
		chosen string
	}{
		{"a prompt", nil, true, "a1"},
		{"a prompt, the zone is full", []string{"a1"}, true, "a2"},
		{"a prompt, the region is full", []string{"a1", "a2"}, true, "b1"},
		{"a plain call", nil, false, "a1"},
		{"a plain call, the zone is full", []string{"a1"}, false, "a2"},
		{"a plain call, the region is full", []string{"a1", "a2"}, false, "b1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPicker("a1", DefaultTuning()).WithPlaces(distance.From("a1", regions, distance.DefaultCosts()))
			all := testEngines(3)
			for i, zone := range []string{"b1", "a2", "a1"} {
				all[i].Zone = zone
				if slices.Contains(c.full, zone) {
					p.endpoint(all[i].Incarnation(), 0).inFlight = 3 * all[i].Slots
					p.endpoint(all[i].Incarnation(), 0).waiting = 200_000
				}
			}
			one := call.Call{ID: "x", PromptMax: 2000, OutputMax: 20}
			got, ok := p.Pick(Request{Call: one, Engines: all, Profile: Profile{Service: service, Tokens: c.tokens, Capacity: 100_000}, Objective: 500 * time.Millisecond, Bytes: 8000, Cap: 100, Now: now})
			require.True(t, ok)
			assert.Equal(t, c.chosen, got.Engine.Zone)
		})
	}
}

// Parts are fetched only from endpoints at which the call itself may run, whichever others cache them.
// The affinity target is one of these, too.
func TestPartsAreFetchedFromAllowedRegionsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	all := testEngines(6)
	profile := Profile{Service: service, Tokens: true, Capacity: 100_000, TokenBytes: 131_072, LinkMbps: 500_000}
	shared := []call.Part{{ID: "system", Tokens: 6000}, {ID: "own", Tokens: 500}}
	cases := []struct {
		name    string
		keeping []int
		want    []int // sources
	}{
		{"only others keep them", []int{3, 4, 5}, nil},
		{"one at home, too", []int{1, 3, 4, 5}, []int{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPicker("z", DefaultTuning())
			for _, i := range c.keeping {
				p.endpoint(all[i].Incarnation(), profile.Capacity).cache.read(shared[0], true)
			}
			r := Request{Call: call.Call{PromptMax: 6500, Parts: shared}, Engines: all[:3], Profile: profile, Now: now}
			for i := range 32 {
				r.Call.ID = fmt.Sprint(i)
				affinity := p.affinity(r)
				_, home := find(r.Engines, affinity)
				assert.True(t, home)
				from := p.source(r, affinity)
				if len(c.want) == 0 {
					assert.Empty(t, from.id)
					continue
				}
				assert.Equal(t, all[c.want[0]].ID, from.id)
			}
		})
	}
}

// The reads of a call with allowed regions are sent only to nodes of these regions.
func TestReadsAreSentToAllowedRegionsOnly(t *testing.T) {
	var l recentReads
	now := time.Unix(1000, 0)
	l.add(engine.Incarnation{ID: "anywhere"}, []call.Part{{ID: "a"}}, nil, false, now)
	l.add(engine.Incarnation{ID: "home"}, []call.Part{{ID: "b"}}, []string{"r1", "r2"}, false, now)
	cases := []struct {
		region string
		want   []string
	}{{"r1", []string{"anywhere", "home"}}, {"r2", []string{"anywhere", "home"}}, {"r3", []string{"anywhere"}}, {"", []string{"anywhere"}}}
	for _, c := range cases {
		var announced []string
		for _, r := range l.list(c.region, false, now) {
			announced = append(announced, r.Endpoint)
		}
		assert.Equal(t, c.want, announced, c.region)
	}
}

// Delegates forward received reads as long as few endpoints are known to cache the parts. Other zones
// receive only a node's own reads of such parts.
func TestRareReadsAreForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	all := testEngines(minHolders + 2)
	read := func(i int) []Read { return []Read{{Endpoint: all[i].ID, Parts: []string{"a"}, Tokens: []int64{6000}}} }
	cases := []struct {
		name      string
		forward   bool
		announced int
	}{{"a delegate", true, minHolders}, {"another node", false, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPicker("z", DefaultTuning())
			p.capacity = 100_000
			for i := range all {
				p.ReceiveReads(read(i), c.forward, now)
				p.ReceiveReads(read(i), c.forward, now)
			}
			assert.Len(t, p.holders["a"], len(all), "including endpoints that this node never used")
			assert.Len(t, p.Reads("", now), c.announced)
			assert.Empty(t, p.RareReads("", now))
		})
	}
	p := NewPicker("z", DefaultTuning())
	for i := range all {
		got, ok := p.Pick(Request{Call: call.Call{ID: fmt.Sprint(i), PromptMax: 6500, Parts: []call.Part{{ID: "a", Tokens: 6000}, {ID: fmt.Sprint("own", i), Tokens: 500}}},
			Engines: all[i : i+1], Profile: Profile{Service: service, Tokens: true, Capacity: 100_000}, Cap: 9, Now: now})
		require.True(t, ok)
		got.First(time.Millisecond, now)
	}
	assert.Len(t, p.Reads("", now), len(all))
	assert.Len(t, p.RareReads("", now), minHolders)
}

// Moving parts costs round trips: over a long distance reading them again is faster.
func TestPartsAreFetchedOverADistanceWhereThatIsFaster(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name    string
		trip    time.Duration // to the region that keeps the parts
		fetched bool
	}{
		{"near", time.Millisecond, true},
		{"12 ms away", 24 * time.Millisecond, true},
		{"on another continent", 300 * time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			places := distance.From("a1", map[string]string{"a1": "a", "b1": "b"}, distance.DefaultCosts())
			places.RecordRoundTrip("b1", c.trip, now)
			p := NewPicker("a1", DefaultTuning()).WithPlaces(places)
			all := testEngines(2)
			all[0].Zone, all[1].Zone = "b1", "a1"
			profile := Profile{Service: service, Tokens: true, Capacity: 100_000, TokenBytes: 131_072, LinkMbps: 500_000}
			parts := []call.Part{{ID: "system", Tokens: 6000}, {ID: "own", Tokens: 500}}
			p.endpoint(all[0].Incarnation(), profile.Capacity).cache.read(parts[0], true)
			got, ok := p.Pick(Request{Call: call.Call{ID: "x", PromptMax: 6500, Parts: parts}, Engines: all, Exclude: map[engine.Incarnation]bool{all[0].Incarnation(): true}, Profile: profile, Cap: 9, Now: now})
			require.True(t, ok)
			assert.Equal(t, c.fetched, got.Fetched > 0)
		})
	}
}
