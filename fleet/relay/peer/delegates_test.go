package peer

import (
	"maps"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// scene is what a node hears of a fleet of several zones with three wide links each.
type scene struct {
	members []Member
	now     time.Time
	heard   map[string]word
}

func newScene(n int) *scene {
	s := &scene{members: members(n), now: time.Now(), heard: map[string]word{}}
	for i := range s.members {
		s.members[i].LinkMbps = 20
		if i < 12 {
			s.members[i].LinkMbps = 200
		}
	}
	return s
}

func (s *scene) word(name string) word { return s.heard[name] }

// near is a writer of the zone of n100, which tells it of itself.
func (s *scene) near(writers map[string]bool) string {
	m, _ := lo.Find(s.members, func(m Member) bool { return writers[m.Name] && m.Zone == s.members[100].Zone })
	return m.Name
}

// pass lets time go by; those that speak are heard every second.
func (s *scene) pass(d *delegates, length time.Duration, speak func() map[string]bool) map[string]bool {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(time.Second) {
		for name := range speak() {
			s.heard[name] = word{at: s.now, out: s.heard[name].out}
		}
		d.choose(s.members, s.word, s.now)
	}
	return d.choose(s.members, s.word, s.now)
}

// chosenBut are those who speak where all that are chosen do, but for one.
func (s *scene) chosenBut(d *delegates, dead string) func() map[string]bool {
	return func() map[string]bool {
		return lo.OmitByKeys(d.choose(s.members, s.word, s.now), []string{dead})
	}
}

func zonesOf(members []Member, chosen map[string]bool) map[string]int {
	return lo.CountValuesBy(lo.Filter(members, func(m Member, _ int) bool { return chosen[m.Name] }), func(m Member) string { return m.Zone })
}

// Who writes holds the tokens of its zone: an outage that all feel changes nobody, or
// callers would be refused for want of tokens that lie beside them.
func TestAnOutageOfTheStoreChangesNoWriter(t *testing.T) {
	s := newScene(295)
	d := newDelegates(s.members[100])
	before := maps.Clone(d.choose(s.members, s.word, s.now))
	assert.Len(t, before, 8)
	for name := range before {
		s.heard[name] = word{at: s.now, out: true}
	}
	assert.Equal(t, before, s.pass(d, 10*time.Second, func() map[string]bool { return before }))
}

// Most nodes of a large fleet tell this one something once in a minute: that says
// nothing of them, and a writer's silence does.
func TestOnlyWritersAreExpectedToBeHeard(t *testing.T) {
	s := newScene(295)
	d := newDelegates(s.members[100])
	before := maps.Clone(d.choose(s.members, s.word, s.now))
	for _, m := range s.members {
		if !before[m.Name] && m.LinkMbps == 200 {
			s.heard[m.Name] = word{at: s.now.Add(-time.Minute)} // heard once, long ago
		}
	}
	dead := s.near(before)
	after := s.pass(d, 10*time.Second, s.chosenBut(d, dead))
	assert.False(t, after[dead])
	added := lo.Keys(lo.OmitByKeys(after, lo.Keys(before)))
	assert.Len(t, added, 1)
	one, _ := lo.Find(s.members, func(m Member) bool { return m.Name == added[0] })
	assert.Equal(t, 200.0, one.LinkMbps, "the next in order, though it was not heard for a minute")
}

// A node that was replaced is chosen again once it is heard, or after a while.
func TestASilentWriterIsChosenAgain(t *testing.T) {
	s := newScene(295)
	d := newDelegates(s.members[100])
	before := maps.Clone(d.choose(s.members, s.word, s.now))
	dead := s.near(before)
	assert.False(t, s.pass(d, 8*time.Second, s.chosenBut(d, dead))[dead])
	s.heard[dead] = word{at: s.now}
	assert.True(t, d.choose(s.members, s.word, s.now)[dead])
}

// Where only some nodes lose the store, a zone whose writers did gets others beside
// them, no more than a few; a node that is no writer knows of the rest of the fleet
// what its zone's writers say.
func TestAZoneWithoutTheStoreGetsOtherWriters(t *testing.T) {
	cases := []struct {
		name      string
		out       []string // zones
		elsewhere bool
		want      map[string]int
	}{
		{"one zone", []string{"z0"}, true, map[string]int{"z0": 3, "z1": 2, "z2": 2, "z3": 2}},
		{"all zones", []string{"z0", "z1", "z2", "z3"}, false, map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}},
		{"none", nil, true, map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(295)
			d := newDelegates(s.members[100])
			before := maps.Clone(d.choose(s.members, s.word, s.now))
			for _, m := range s.members {
				if before[m.Name] {
					s.heard[m.Name] = word{at: s.now, out: lo.Contains(c.out, m.Zone), elsewhere: c.elsewhere}
				}
			}
			after := maps.Clone(d.choose(s.members, s.word, s.now))
			for name := range before {
				assert.True(t, after[name], "those that hold tokens go on")
			}
			assert.Equal(t, c.want, zonesOf(s.members, after))
			for _, m := range s.members {
				if m.Zone == "z0" {
					s.heard[m.Name] = word{at: s.now, out: true, elsewhere: c.elsewhere}
				}
			}
			most := zonesOf(s.members, d.choose(s.members, s.word, s.now))["z0"]
			assert.Equal(t, lo.Ternary(c.elsewhere, zoneMost, zoneWriters), most)
		})
	}
}

// A node that is no writer does not hear those of other zones, which says nothing of
// them; a writer does.
func TestWritersOfOtherZonesAreJudgedByWritersOnly(t *testing.T) {
	for _, writes := range []bool{false, true} {
		s := newScene(295)
		self := s.members[100]
		order := ranked(s.members)
		if writes {
			self = order[0]
		}
		d := newDelegates(self)
		before := maps.Clone(d.choose(s.members, s.word, s.now))
		assert.Equal(t, writes, before[self.Name])
		far, _ := lo.Find(order, func(m Member) bool { return before[m.Name] && m.Zone != self.Zone })
		after := s.pass(d, 8*time.Second, s.chosenBut(d, far.Name))
		assert.Equal(t, !writes, after[far.Name])
	}
}
