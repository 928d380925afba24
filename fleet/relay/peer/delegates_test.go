package peer

import (
	"maps"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// view is a node's view of a fleet of several zones with three fast links each.
type view struct {
	members []Member
	now     time.Time
	states  map[string]peerState
}

func newView(n int) *view {
	v := &view{members: members(n), now: time.Now(), states: map[string]peerState{}}
	for i := range v.members {
		v.members[i].LinkMbps = 20
		if i < 12 {
			v.members[i].LinkMbps = 200
		}
	}
	return v
}

func (v *view) stateOf(name string) peerState { return v.states[name] }

// near returns a writer of the zone of n100, which sends to n100.
func (v *view) near(writers map[string]bool) string {
	m, _ := lo.Find(v.members, func(m Member) bool { return writers[m.Name] && m.Zone == v.members[100].Zone })
	return m.Name
}

// pass lets time pass, during which messages of the senders are received every second.
func (v *view) pass(d *delegates, length time.Duration, senders func() map[string]bool) map[string]bool {
	for end := v.now.Add(length); v.now.Before(end); v.now = v.now.Add(time.Second) {
		for name := range senders() {
			v.states[name] = peerState{at: v.now, storeLost: v.states[name].storeLost}
		}
		d.choose(v.members, v.stateOf, v.now)
	}
	return d.choose(v.members, v.stateOf, v.now)
}

// chosenExcept returns the chosen delegates except one.
func (v *view) chosenExcept(d *delegates, dead string) func() map[string]bool {
	return func() map[string]bool {
		return lo.OmitByKeys(d.choose(v.members, v.stateOf, v.now), []string{dead})
	}
}

func zonesOf(members []Member, chosen map[string]bool) map[string]int {
	return lo.CountValuesBy(lo.Filter(members, func(m Member, _ int) bool { return chosen[m.Name] }), func(m Member) string { return m.Zone })
}

// An outage of the store on all nodes must not change the writers: they hold the tokens of
// their zones, and callers would be refused for lack of tokens that the old writers hold.
func TestAnOutageOfTheStoreChangesNoWriter(t *testing.T) {
	v := newView(295)
	d := newDelegates(v.members[100])
	before := maps.Clone(d.choose(v.members, v.stateOf, v.now))
	assert.Len(t, before, 8)
	for name := range before {
		v.states[name] = peerState{at: v.now, storeLost: true}
	}
	assert.Equal(t, before, v.pass(d, 10*time.Second, func() map[string]bool { return before }))
}

// Most nodes of a large fleet send something to this one once a minute. That must not count
// as silence; a writer's silence does.
func TestOnlyWritersAreExpectedToSend(t *testing.T) {
	v := newView(295)
	d := newDelegates(v.members[100])
	before := maps.Clone(d.choose(v.members, v.stateOf, v.now))
	for _, m := range v.members {
		if !before[m.Name] && m.LinkMbps == 200 {
			v.states[m.Name] = peerState{at: v.now.Add(-time.Minute)} // received from once, long ago
		}
	}
	dead := v.near(before)
	after := v.pass(d, 10*time.Second, v.chosenExcept(d, dead))
	assert.False(t, after[dead])
	added := lo.Keys(lo.OmitByKeys(after, lo.Keys(before)))
	assert.Len(t, added, 1)
	one, _ := lo.Find(v.members, func(m Member) bool { return m.Name == added[0] })
	assert.Equal(t, 200.0, one.LinkMbps, "the next in order, though it sent nothing for a minute")
}

// A replaced delegate is chosen again once it sends.
func TestASilentWriterIsChosenAgain(t *testing.T) {
	v := newView(295)
	d := newDelegates(v.members[100])
	before := maps.Clone(d.choose(v.members, v.stateOf, v.now))
	dead := v.near(before)
	assert.False(t, v.pass(d, 8*time.Second, v.chosenExcept(d, dead))[dead])
	v.states[dead] = peerState{at: v.now}
	assert.True(t, d.choose(v.members, v.stateOf, v.now)[dead])
}

// If only some nodes lose the store, a zone whose writers lost it gets a few spare writers in
// addition. A node that does not write knows of other zones only what its zone's writers
// report.
func TestZoneWithoutTheStoreGetsSpareWriters(t *testing.T) {
	cases := []struct {
		name      string
		lost      []string // zones without the store
		elsewhere bool
		want      map[string]int
	}{
		{"one zone", []string{"z0"}, true, map[string]int{"z0": 3, "z1": 2, "z2": 2, "z3": 2}},
		{"all zones", []string{"z0", "z1", "z2", "z3"}, false, map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}},
		{"none", nil, true, map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newView(295)
			d := newDelegates(v.members[100])
			before := maps.Clone(d.choose(v.members, v.stateOf, v.now))
			for _, m := range v.members {
				if before[m.Name] {
					v.states[m.Name] = peerState{at: v.now, storeLost: lo.Contains(c.lost, m.Zone), elsewhere: c.elsewhere}
				}
			}
			after := maps.Clone(d.choose(v.members, v.stateOf, v.now))
			for name := range before {
				assert.True(t, after[name], "writers that hold tokens stay")
			}
			assert.Equal(t, c.want, zonesOf(v.members, after))
			for _, m := range v.members {
				if m.Zone == "z0" {
					v.states[m.Name] = peerState{at: v.now, storeLost: true, elsewhere: c.elsewhere}
				}
			}
			chosen := zonesOf(v.members, d.choose(v.members, v.stateOf, v.now))["z0"]
			assert.Equal(t, lo.Ternary(c.elsewhere, maxZoneWriters, zoneWriters), chosen)
		})
	}
}

// A node that does not write receives nothing from writers of other zones, so their silence
// must not count; on a writer it does.
func TestWritersOfOtherZonesAreJudgedByWritersOnly(t *testing.T) {
	for _, writes := range []bool{false, true} {
		v := newView(295)
		self := v.members[100]
		order := ranked(v.members)
		if writes {
			self = order[0]
		}
		d := newDelegates(self)
		before := maps.Clone(d.choose(v.members, v.stateOf, v.now))
		assert.Equal(t, writes, before[self.Name])
		far, _ := lo.Find(order, func(m Member) bool { return before[m.Name] && m.Zone != self.Zone })
		after := v.pass(d, 8*time.Second, v.chosenExcept(d, far.Name))
		assert.Equal(t, !writes, after[far.Name])
	}
}
