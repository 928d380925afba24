package peer

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Peers of the region are asked for tokens before richer ones of other regions, also if
// another peer names these.
func TestTokensComeFromTheRegionFirst(t *testing.T) {
	now := time.Now()
	l := newTransfers(allowanceWith("b", 0))
	report := func(peer string, c distance.Class, free int64) {
		l.recordFrom(peer, c, map[string]account.BudgetReport{tenant: {Free: free}}, now)
	}
	report("far and rich", distance.OtherRegion, 500)
	report("zone", distance.SameZone, 5)
	report("region", distance.SameRegion, 50)
	report("far", distance.OtherRegion, 60)
	assert.Equal(t, []string{"region", "zone", "far and rich", "far"}, l.sources(tenant, now))
	assert.Equal(t, []string{"unknown", "zone", "far and rich"}, l.nearFirst([]string{"far and rich", "unknown", "zone"}))
}

// regional returns a fleet of size nodes in some regions with two zones each, and the region
// of each zone.
func regional(size, regions int) ([]Member, map[string]string) {
	all := members(size)
	of := map[string]string{}
	for i := range all {
		zone := fmt.Sprint("z", i%(2*regions))
		all[i].Zone = zone
		of[zone] = fmt.Sprint("r", (i%(2*regions))/2)
		all[i].Address = fmt.Sprint("10.0.0.1:", 1000+i)
	}
	return all, of
}

// A node asks its zone's delegates first, then those of its region's other zones, then those
// of other regions. Outside its zone it skips ones that do not reach the store.
func TestSourcesOfTheRegionComeFirst(t *testing.T) {
	all, regions := regional(60, 3)
	writers := Writers(all, func() []Member { return all })
	watchers := map[string]bool{}
	self, _ := lo.Find(all, func(m Member) bool { return !writers[m.Name] })
	g := gossipOf(self.Name, all)
	g.registry.self = self
	g.places = distance.From(self.Zone, regions, distance.DefaultCosts())
	assert.Empty(t, g.watchers(writers), "only delegates know the watchers")
	var near, others []Member
	for _, m := range all {
		switch {
		case !writers[m.Name]:
		case m.Zone == self.Zone:
			near = append(near, m)
			others = append(others, m)
		default:
			others = append(others, m)
		}
	}
	byName := lo.KeyBy(all, func(m Member) string { return m.Name })
	classes := func() []distance.Class {
		var got []distance.Class
		for _, s := range *g.sourcesOf(writers, watchers, near, others) {
			got = append(got, g.places.Class(byName[s.Name].Zone))
		}
		return got
	}
	z, r, o := distance.SameZone, distance.SameRegion, distance.OtherRegion
	assert.Equal(t, []distance.Class{z, z, r, r, o, o}, classes())
	for _, m := range others {
		if g.places.Class(m.Zone) == r {
			g.peers[m.Name] = peerRecord{storeLost: true}
		}
	}
	assert.Equal(t, []distance.Class{z, z, o, o}, classes())
}

// Two delegates of each region, from two zones, watch the store. Delegates known to be lost
// watch only if all of the region are. In a small fleet all nodes watch.
func TestTwoDelegatesOfARegionWatch(t *testing.T) {
	all, regions := regional(60, 3)
	order := ranked(all)
	writers := Writers(all, func() []Member { return order })
	places := distance.From("z0", regions, distance.DefaultCosts())
	zone := lo.SliceToMap(all, func(m Member) (string, string) { return m.Name, m.Zone })
	of := func(watchers map[string]bool, region string) []string {
		return lo.Filter(lo.Keys(watchers), func(name string, _ int) bool { return regions[zone[name]] == region })
	}
	cases := []struct {
		name string
		lost func(Member) bool
		want func(t *testing.T, watchers map[string]bool)
	}{
		{"all reach the store", func(Member) bool { return false }, func(t *testing.T, watchers map[string]bool) {
			for _, region := range []string{"r0", "r1", "r2"} {
				two := of(watchers, region)
				assert.Len(t, two, regionWatchers)
				assert.NotEqual(t, zone[two[0]], zone[two[1]])
			}
		}},
		{"a zone is lost", func(m Member) bool { return m.Zone == "z0" }, func(t *testing.T, watchers map[string]bool) {
			for _, name := range of(watchers, "r0") {
				assert.Equal(t, "z1", zone[name])
			}
			assert.Len(t, of(watchers, "r0"), regionWatchers)
		}},
		{"a region is lost", func(m Member) bool { return regions[m.Zone] == "r0" }, func(t *testing.T, watchers map[string]bool) {
			assert.Len(t, of(watchers, "r0"), regionWatchers, "its first ones stay")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			watchers := watchersOf(writers, all, order, places, c.lost)
			assert.Len(t, watchers, 3*regionWatchers)
			for name := range watchers {
				assert.True(t, writers[name])
			}
			c.want(t, watchers)
		})
	}
	small := all[:allWrite]
	writers = Writers(small, func() []Member { return small })
	assert.Equal(t, writers, watchersOf(writers, small, small, places, func(Member) bool { return false }))
}

// recordingSocket records the messages sent to each address.
type recordingSocket struct {
	net.PacketConn
	sent map[string][]message
}

func (s *recordingSocket) WriteTo(data []byte, to net.Addr) (int, error) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return 0, err
	}
	s.sent[to.String()] = append(s.sent[to.String()], m)
	return len(data), nil
}

// A node sends what calls with allowed regions read only to peers in these regions.
func TestReadsStayInAllowedRegions(t *testing.T) {
	all, regions := regional(12, 3) // all nodes send to all
	self := all[0]
	g, _ := trafficGossipOf(all, regions, self)
	socket := &recordingSocket{sent: map[string][]message{}}
	g.socket = socket
	now := time.Now()
	engines := engine.NewDirectory(1, []engine.Engine{{ID: "e0", Service: "homes", Zone: "z0"}}).Of("homes")
	c := call.Call{ID: "bound", PromptMax: 9000, Parts: []call.Part{{ID: "secret", Tokens: 2520}, {ID: "own", Tokens: 6000}}}
	placed, ok := g.picker.Pick(choice.Request{Call: c, AllowedRegions: []string{"r0", "r1"}, Engines: engines, Profile: choice.Profile{Service: "homes", Tokens: true, Capacity: 347_000}, Cap: 9, Now: now})
	assert.True(t, ok)
	placed.First(100*time.Millisecond, now)
	for range budgetEvery * roundBeats * farEvery {
		g.broadcast()
	}
	for _, m := range all[1:] {
		messages := socket.sent[m.Address]
		assert.NotEmpty(t, messages)
		bound, other := 0, 0
		for _, one := range messages {
			for _, r := range one.Reads {
				bound += lo.Ternary(slices.Contains(r.Parts, "secret"), 1, 0)
				other += lo.Ternary(slices.Contains(r.Parts, "0123456789abcdef"), 1, 0)
			}
		}
		assert.Equal(t, regions[m.Zone] != "r2", bound > 0, m)
		assert.Positive(t, other, m)
	}
}
