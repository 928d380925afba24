package peer

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/distance"
)

// simulation is a fleet of three regions in which nodes choose delegates by what running nodes
// send them.
type simulation struct {
	members   []Member
	regions   map[string]string
	now       time.Time
	lost      map[string]bool
	delegates map[string]*delegates
	states    map[string]map[string]peerState // by receiver and sender
	writers   map[string]map[string]bool      // by node that chose them
}

func newSimulation(size int) *simulation {
	all, regions := regional(size, 3)
	s := &simulation{members: all, regions: regions, now: time.Now(), lost: map[string]bool{}, delegates: map[string]*delegates{}, states: map[string]map[string]peerState{}, writers: map[string]map[string]bool{}}
	for _, m := range all {
		d := newDelegates(m)
		d.near = distance.From(m.Zone, regions, distance.DefaultCosts()).Near
		s.delegates[m.Name], s.states[m.Name] = d, map[string]peerState{}
	}
	return s
}

// pass simulates seconds: each node chooses delegates, and delegates send to their zone and to
// each other, less often across regions.
func (s *simulation) pass(seconds int) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		for _, m := range s.living() {
			states := s.states[m.Name]
			s.writers[m.Name] = s.delegates[m.Name].choose(s.members, func(name string) peerState { return states[name] }, s.now)
		}
		for _, from := range s.living() {
			for _, to := range s.living() {
				if s.sends(from, to) {
					s.states[to.Name][from.Name] = peerState{at: s.now}
				}
			}
		}
	}
}

func (s *simulation) sends(from, to Member) bool {
	writers := s.writers[from.Name]
	near := s.regions[from.Zone] == s.regions[to.Zone]
	return writers[from.Name] && (from.Zone == to.Zone || writers[to.Name] && (near || s.now.Unix()%2 == 0))
}

func (s *simulation) living() []Member {
	return lo.Reject(s.members, func(m Member, _ int) bool { return s.lost[m.Name] })
}

// watches reports whether a node watches the store in its own view.
func (s *simulation) watches(m Member) bool {
	places := distance.From(m.Zone, s.regions, distance.DefaultCosts())
	state := func(name string) peerState { return s.states[m.Name][name] }
	silent := func(other Member) bool { return !s.delegates[m.Name].alive(other, state, s.now) }
	return watchersOf(s.writers[m.Name], s.members, ranked(s.members), places, silent)[m.Name]
}

// Whichever nodes are lost together without notice, each zone with running nodes soon has
// delegates among these, in their own view, and each region with running nodes has a watcher
// of the store. There are no more watchers than before.
func TestDelegatesThatAreLostTogetherAreReplaced(t *testing.T) {
	cases := []struct {
		name   string
		rounds int // silence timeouts in sequence until it is detected
		lose   func(s *simulation, m Member) bool
	}{
		{"the delegates of a zone", 2, func(s *simulation, m Member) bool { return m.Zone == "z0" && s.writers[m.Name][m.Name] }},
		{"all delegates of a region", 2, func(s *simulation, m Member) bool { return s.regions[m.Zone] == "r0" && s.writers[m.Name][m.Name] }},
		{"all delegates", 2, func(s *simulation, m Member) bool { return s.writers[m.Name][m.Name] }},
		{"all watchers", 2, func(s *simulation, m Member) bool { return s.watches(m) }},
		{"all but one of a region", 3, func(s *simulation, m Member) bool {
			return s.regions[m.Zone] == "r0" && m.Name != s.members[0].Name
		}},
		{"a region", 2, func(s *simulation, m Member) bool { return s.regions[m.Zone] == "r0" }},
		{"all but one", 3, func(s *simulation, m Member) bool { return m.Name != s.members[7].Name }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newSimulation(60)
			fleet.pass(10)
			before := lo.CountBy(fleet.members, fleet.watches)
			lost := lo.Filter(fleet.members, func(m Member, _ int) bool { return c.lose(fleet, m) })
			for _, m := range lost {
				fleet.lost[m.Name] = true
			}
			fleet.pass(c.rounds * int(silenceTimeout/time.Second+1))
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
			fleet.pass(60) // lost nodes are chosen again at times, in addition to running ones
			for _, m := range fleet.living() {
				named := lo.Filter(fleet.members, func(other Member, _ int) bool { return other.Zone == m.Zone && fleet.writers[m.Name][other.Name] })
				assert.Positive(t, lo.CountBy(named, func(m Member) bool { return !fleet.lost[m.Name] }), m)
			}
		})
	}
}
