package peer

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/distance"
)

// town is a fleet of three regions in which each node sees what those that live tell it.
type town struct {
	members   []Member
	regions   map[string]string
	now       time.Time
	lost      map[string]bool
	delegates map[string]*delegates
	heard     map[string]map[string]word // by who hears, and of whom
	writers   map[string]map[string]bool // by who sees it so
}

func newTown(size int) *town {
	all, regions := regional(size, 3)
	t := &town{members: all, regions: regions, now: time.Now(), lost: map[string]bool{}, delegates: map[string]*delegates{}, heard: map[string]map[string]word{}, writers: map[string]map[string]bool{}}
	for _, m := range all {
		d := newDelegates(m)
		d.near = distance.From(m.Zone, regions, distance.DefaultCosts()).Near
		t.delegates[m.Name], t.heard[m.Name] = d, map[string]word{}
	}
	return t
}

// pass lets seconds go by: each node chooses, and delegates tell their zone and, more
// seldom over regions, each other.
func (t *town) pass(seconds int) {
	for range seconds {
		t.now = t.now.Add(time.Second)
		for _, m := range t.living() {
			heard := t.heard[m.Name]
			t.writers[m.Name] = t.delegates[m.Name].choose(t.members, func(name string) word { return heard[name] }, t.now)
		}
		for _, from := range t.living() {
			for _, to := range t.living() {
				if t.tells(from, to) {
					t.heard[to.Name][from.Name] = word{at: t.now}
				}
			}
		}
	}
}

func (t *town) tells(from, to Member) bool {
	writers := t.writers[from.Name]
	near := t.regions[from.Zone] == t.regions[to.Zone]
	return writers[from.Name] && (from.Zone == to.Zone || writers[to.Name] && (near || t.now.Unix()%2 == 0))
}

func (t *town) living() []Member {
	return lo.Reject(t.members, func(m Member, _ int) bool { return t.lost[m.Name] })
}

// watches is whether a node sees itself watch the store.
func (t *town) watches(m Member) bool {
	places := distance.From(m.Zone, t.regions, distance.DefaultCosts())
	heard := func(name string) word { return t.heard[m.Name][name] }
	quiet := func(other Member) bool { return !t.delegates[m.Name].alive(other, heard, t.now) }
	return watchersOf(t.writers[m.Name], t.members, ranked(t.members), places, quiet)[m.Name]
}

// Whoever is lost at once and in silence, soon each zone with nodes has delegates among
// these, as these see it, and each region with nodes has one that watches the store; and
// no more of them than before.
func TestDelegatesThatAreLostTogetherAreReplaced(t *testing.T) {
	cases := []struct {
		name   string
		rounds int // of silence that are felt one after another
		lose   func(t *town, m Member) bool
	}{
		{"the delegates of a zone", 2, func(t *town, m Member) bool { return m.Zone == "z0" && t.writers[m.Name][m.Name] }},
		{"all delegates of a region", 2, func(t *town, m Member) bool { return t.regions[m.Zone] == "r0" && t.writers[m.Name][m.Name] }},
		{"all delegates", 2, func(t *town, m Member) bool { return t.writers[m.Name][m.Name] }},
		{"all that watch", 2, func(t *town, m Member) bool { return t.watches(m) }},
		{"all but one of a region", 3, func(t *town, m Member) bool {
			return t.regions[m.Zone] == "r0" && m.Name != t.members[0].Name
		}},
		{"a region", 2, func(t *town, m Member) bool { return t.regions[m.Zone] == "r0" }},
		{"all but one", 3, func(t *town, m Member) bool { return m.Name != t.members[7].Name }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newTown(60)
			fleet.pass(10)
			before := lo.CountBy(fleet.members, fleet.watches)
			lost := lo.Filter(fleet.members, func(m Member, _ int) bool { return c.lose(fleet, m) })
			for _, m := range lost {
				fleet.lost[m.Name] = true
			}
			fleet.pass(c.rounds * int(silentAfter/time.Second+1))
			zones := lo.GroupBy(fleet.living(), func(m Member) string { return m.Zone })
			for zone, members := range zones {
				delegates := lo.CountBy(members, func(m Member) bool { return fleet.writers[m.Name][m.Name] })
				assert.GreaterOrEqual(t, delegates, min(zoneWriters, len(members)), zone)
				assert.LessOrEqual(t, delegates, zoneWriters, zone)
			}
			for region, members := range lo.GroupBy(fleet.living(), func(m Member) string { return fleet.regions[m.Zone] }) {
				watching := lo.CountBy(members, fleet.watches)
				assert.GreaterOrEqual(t, watching, 1, region)
			}
			assert.LessOrEqual(t, lo.CountBy(fleet.living(), fleet.watches), before)
			fleet.pass(60) // those that are lost are named again now and then, in nobody's place
			for _, m := range fleet.living() {
				named := lo.Filter(fleet.members, func(other Member, _ int) bool { return other.Zone == m.Zone && fleet.writers[m.Name][other.Name] })
				assert.Positive(t, lo.CountBy(named, func(m Member) bool { return !fleet.lost[m.Name] }), m)
			}
		})
	}
}
