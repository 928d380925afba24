package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
)

// Peers of the region are asked for tokens before richer ones of other regions, also where
// a peer names these.
func TestTokensComeFromTheRegionFirst(t *testing.T) {
	now := time.Now()
	l := newTransfers(allowanceWith("b", 0))
	tell := func(peer string, c distance.Class, free int64) {
		l.recordFrom(peer, c, map[string]account.BudgetReport{tenant: {Free: free}}, now)
	}
	tell("far and rich", distance.OtherRegion, 500)
	tell("zone", distance.SameZone, 5)
	tell("region", distance.SameRegion, 50)
	tell("far", distance.OtherRegion, 60)
	assert.Equal(t, []string{"region", "zone", "far and rich", "far"}, l.sources(tenant, now))
	assert.Equal(t, []string{"unknown", "zone", "far and rich"}, l.nearFirst([]string{"far and rich", "unknown", "zone"}))
}

// regional is a fleet of so many regions with two zones each.
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

// A node asks its zone's delegates, then those of its region's other zones, and those of
// other regions last; ones that do not reach the store are left out there.
func TestSourcesOfTheRegionComeFirst(t *testing.T) {
	all, regions := regional(60, 3)
	writers := Writers(all, func() []Member { return all })
	self, _ := lo.Find(all, func(m Member) bool { return !writers[m.Name] })
	g := gossipOf(self.Name, all)
	g.registry.self = self
	g.places = distance.From(self.Zone, regions, distance.DefaultCosts())
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
		var seen []distance.Class
		for _, s := range *g.sourcesOf(writers, near, others) {
			seen = append(seen, g.places.Class(byName[s.Name].Zone))
		}
		return seen
	}
	z, r, o := distance.SameZone, distance.SameRegion, distance.OtherRegion
	assert.Equal(t, []distance.Class{z, z, r, r, o, o}, classes())
	for _, m := range others {
		if g.places.Class(m.Zone) == r {
			g.heard[m.Name] = heard{out: true}
		}
	}
	assert.Equal(t, []distance.Class{z, z, o, o}, classes())
}
