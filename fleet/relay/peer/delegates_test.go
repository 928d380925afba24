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
	s, d := newScene(295), newDelegates("n100")
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
	s, d := newScene(295), newDelegates("n100")
	before := maps.Clone(d.choose(s.members, s.word, s.now))
	for _, m := range s.members {
		if !before[m.Name] && m.LinkMbps == 200 {
			s.heard[m.Name] = word{at: s.now.Add(-time.Minute)} // heard once, long ago
		}
	}
	dead := lo.Keys(before)[0]
	after := s.pass(d, 10*time.Second, s.chosenBut(d, dead))
	assert.False(t, after[dead])
	added := lo.Keys(lo.OmitByKeys(after, lo.Keys(before)))
	assert.Len(t, added, 1)
	one, _ := lo.Find(s.members, func(m Member) bool { return m.Name == added[0] })
	assert.Equal(t, 200.0, one.LinkMbps, "the next in order, though it was not heard for a minute")
}

// A node that was replaced is chosen again once it is heard, or after a while.
func TestASilentWriterIsChosenAgain(t *testing.T) {
	s, d := newScene(295), newDelegates("n100")
	before := maps.Clone(d.choose(s.members, s.word, s.now))
	dead := lo.Keys(before)[0]
	assert.False(t, s.pass(d, 8*time.Second, s.chosenBut(d, dead))[dead])
	s.heard[dead] = word{at: s.now}
	assert.True(t, d.choose(s.members, s.word, s.now)[dead])
}

// Where only some nodes lose the store, a zone whose writers did gets others beside
// them; no more than a few.
func TestAZoneWithoutTheStoreGetsOtherWriters(t *testing.T) {
	s, d := newScene(295), newDelegates("n100")
	before := maps.Clone(d.choose(s.members, s.word, s.now))
	for _, m := range s.members {
		if before[m.Name] {
			s.heard[m.Name] = word{at: s.now, out: m.Zone == "z1"}
		}
	}
	after := maps.Clone(d.choose(s.members, s.word, s.now))
	for name := range before {
		assert.True(t, after[name], "those that hold tokens go on")
	}
	assert.Equal(t, map[string]int{"z0": 2, "z1": 3, "z2": 2, "z3": 2}, zonesOf(s.members, after))
	for _, m := range s.members {
		if m.Zone == "z1" {
			s.heard[m.Name] = word{at: s.now, out: true}
		}
	}
	assert.Equal(t, zoneMost, zonesOf(s.members, d.choose(s.members, s.word, s.now))["z1"])
}
