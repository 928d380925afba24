package peer

import (
	"time"

	"github.com/samber/lo"
)

// Bounds, within a region, of who writes the ledger and watches the store for others.
const (
	silentAfter = 4 * time.Second  // a node that should be heard and is not is replaced
	silentFor   = 15 * time.Second // after which it may be chosen again, in case it is back
	zoneMost    = 4                // delegates of a zone with those that stand in for ones that do not reach the store
	zoneTried   = 16               // of a zone of which many fell silent: until two are heard, so many are named at most
)

// delegates chooses the nodes that write the ledger, and remembers since when each is
// to be heard: only of these does silence say anything, since most of a large fleet
// tell this node nothing.
type delegates struct {
	self    Member
	near    func(zone string) bool // whether a zone is of the node's region
	since   map[string]time.Time
	doubted map[string]bool // fell silent, and was not heard since: named beside others, not in their place
	writes  bool            // this node was chosen last
	members []Member        // as of the order
	order   []Member        // of the members, in which they are chosen
}

func newDelegates(self Member) *delegates {
	return &delegates{self: self, near: func(string) bool { return true }, since: map[string]time.Time{}, doubted: map[string]bool{}}
}

// word is when a node was last heard, and what it said of itself.
type word struct {
	at        time.Time
	out       bool // it does not reach the store
	elsewhere bool // a writer of another zone does, as it was told
	noWrites  bool // it failed to write the status of a rollout of late
	blind     bool // it found the status of a rollout, and did not see it written
}

// choose names the writers among the members. One that does not reach the store goes
// on: it holds its zone's tokens, and in most outages nobody else reaches it either.
// Where some other writer does, a zone without one gets others beside its own.
func (d *delegates) choose(members []Member, heard func(name string) word, now time.Time) map[string]bool {
	order := d.ordered(members)
	if len(members) <= allWrite {
		writers := Writers(members, nil)
		d.writes = writers[d.self.Name]
		d.expect(writers, now)
		return writers
	}
	sound, silent := lo.FilterReject(order, func(m Member, _ int) bool { return !d.silent(m, heard, now) })
	if len(sound) == 0 {
		sound = order
	}
	writers := d.named(sound, silent, heard, now)
	addSpares(writers, sound, heard)
	d.writes = writers[d.self.Name]
	d.expect(writers, now)
	return writers
}

// named picks the first two of each zone in their order. Where those that took the place
// of silent ones fell silent, too, many were lost: then as many more are named as are
// silent, until two of them are heard. So a zone of which one node is left finds it in
// some three rounds, not in as many as it had pairs of nodes.
func (d *delegates) named(sound, silent []Member, heard func(name string) word, now time.Time) map[string]bool {
	quiet := lo.CountValuesBy(silent, func(m Member) string { return m.Zone })
	doubted := lo.CountValuesBy(lo.Filter(sound, func(m Member, _ int) bool { return d.doubted[m.Name] }), func(m Member) string { return m.Zone })
	writers := map[string]bool{}
	count, sure := map[string]int{}, map[string]int{}
	for _, m := range sound {
		many := quiet[m.Zone]+doubted[m.Zone] > zoneWriters
		most := zoneMost
		if many {
			most = min(max(zoneMost, quiet[m.Zone]+doubted[m.Zone]), zoneTried)
		}
		if sure[m.Zone] >= zoneWriters || count[m.Zone] >= most {
			continue
		}
		writers[m.Name] = true
		count[m.Zone]++
		if d.alive(m, heard, now) || !many && !d.doubted[m.Name] {
			sure[m.Zone]++
		}
	}
	return writers
}

// ordered lists the members in the order in which they are chosen. Lists of members
// are never changed in place, so that one order serves until there is another list.
func (d *delegates) ordered(members []Member) []Member {
	if len(members) != len(d.members) || len(members) > 0 && &members[0] != &d.members[0] {
		d.members, d.order = members, ranked(members)
		d.doubted = lo.PickBy(d.doubted, func(name string, _ bool) bool {
			_, listed := find(members, name)
			return listed
		})
	}
	return d.order
}

// audible is whether a writer tells this node of itself: writers tell their zone, and
// each other.
func (d *delegates) audible(m Member) bool { return d.writes || m.Zone == d.self.Zone }

// silent is whether a member that is to be heard is not.
func (d *delegates) silent(m Member, heard func(name string) word, now time.Time) bool {
	since, expected := d.since[m.Name]
	if m.Name == d.self.Name || !expected || !d.audible(m) {
		return false
	}
	at, most := heard(m.Name).at, d.mostQuiet(m)
	if at.After(since) {
		since = at
	}
	switch quiet := now.Sub(since); {
	case quiet <= most && since.Equal(at):
		delete(d.doubted, m.Name)
		return false
	case quiet <= most:
		return false
	case quiet > most+silentFor:
		delete(d.since, m.Name)
		return false
	}
	d.doubted[m.Name] = true
	return true
}

// alive is whether a writer was heard of late; of itself a node knows.
func (d *delegates) alive(m Member, heard func(name string) word, now time.Time) bool {
	return m.Name == d.self.Name || now.Sub(heard(m.Name).at) <= d.mostQuiet(m)
}

// member finds a member by its name; one that left is as one of the region.
func (d *delegates) member(name string) Member {
	m, _ := find(d.members, name)
	return m
}

// mostQuiet is how long a writer may say nothing: those of other regions say less.
func (d *delegates) mostQuiet(m Member) time.Duration {
	if d.near(m.Zone) {
		return silentAfter
	}
	return farEvery * silentAfter
}

// expect notes who is to be heard from now on. One that fell silent is remembered
// though it is no longer chosen, until it may be chosen again.
func (d *delegates) expect(writers map[string]bool, now time.Time) {
	for _, m := range d.order {
		if _, expected := d.since[m.Name]; writers[m.Name] && !expected && d.audible(m) {
			d.since[m.Name] = now
		}
	}
	for name, since := range d.since {
		if !writers[name] && now.Sub(since) > d.mostQuiet(d.member(name))+silentFor {
			delete(d.since, name)
		}
	}
}

// addSpares adds, in zones where no writer reaches the store though one elsewhere
// does, the next members in their order until one is not known to be out.
func addSpares(writers map[string]bool, order []Member, heard func(name string) word) {
	inZone := map[string]int{}
	reached := map[string]bool{}
	elsewhere := map[string]bool{} // by zone: its writers were told so
	for _, m := range order {
		if !writers[m.Name] {
			continue
		}
		w := heard(m.Name)
		inZone[m.Zone]++
		reached[m.Zone] = reached[m.Zone] || !w.out
		elsewhere[m.Zone] = elsewhere[m.Zone] || w.elsewhere
	}
	for _, m := range order {
		if writers[m.Name] || reached[m.Zone] || !elsewhere[m.Zone] || inZone[m.Zone] >= zoneMost {
			continue
		}
		writers[m.Name] = true
		inZone[m.Zone]++
		reached[m.Zone] = !heard(m.Name).out
	}
}
