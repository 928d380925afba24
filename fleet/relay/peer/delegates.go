package peer

import (
	"time"

	"github.com/samber/lo"
)

// Limits on the choice of the nodes that write the ledger and watch the store for others.
const (
	silenceTimeout = 4 * time.Second  // after which a silent delegate of the region is replaced
	replacedFor    = 15 * time.Second // after which it may be chosen again, in case it is available again
	maxZoneWriters = 4                // delegates of a zone, including spares for ones that do not reach the store
	maxZoneSearch  = 16               // delegates of a zone of which many became silent, until two of them send
)

// delegates chooses the nodes that write the ledger, and tracks since when each is expected
// to send. Only the silence of expected nodes counts, since most nodes of a large fleet send
// nothing to this one.
type delegates struct {
	self      Member
	near      func(zone string) bool // reports whether a zone is in the node's region
	since     map[string]time.Time   // by name: since when a delegate is expected to send
	suspected map[string]bool        // became silent and sent nothing since: chosen in addition to others, not instead of them
	writes    bool                   // this node was chosen last
	members   []Member               // that order was made from
	order     []Member               // the members in the order in which they are chosen
}

func newDelegates(self Member) *delegates {
	return &delegates{self: self, near: func(string) bool { return true }, since: map[string]time.Time{}, suspected: map[string]bool{}}
}

// peerState holds when a message of a node last arrived, and what it reported about itself.
type peerState struct {
	at          time.Time
	storeLost   bool // it does not reach the store
	elsewhere   bool // a writer of another zone reaches the store, as reported to it
	writeFailed bool // it recently failed to write the status of a rollout
	ageUnknown  bool // it found the status of a rollout without observing the write
}

// choose returns the writers among the members. A writer that does not reach the store
// stays: it holds its zone's tokens, and in most outages no other node reaches the store
// either. If a writer of another zone reaches it, a zone whose writers don't gets spares in
// addition.
func (d *delegates) choose(members []Member, state func(name string) peerState, now time.Time) map[string]bool {
	order := d.ordered(members)
	if len(members) <= allWrite {
		writers := Writers(members, nil)
		d.writes = writers[d.self.Name]
		d.expect(writers, now)
		return writers
	}
	healthy, silent := lo.FilterReject(order, func(m Member, _ int) bool { return !d.silent(m, state, now) })
	if len(healthy) == 0 {
		healthy = order
	}
	writers := d.pick(healthy, silent, state, now)
	addSpares(writers, healthy, state)
	d.writes = writers[d.self.Name]
	d.expect(writers, now)
	return writers
}

// pick picks the first two of each zone in order. If replacements of silent delegates become
// silent too, many nodes were lost: then as many more are picked as are silent, until two
// of them send. So a zone with one node left finds it in about three rounds instead of
// one round for each pair of nodes it had.
func (d *delegates) pick(healthy, silent []Member, state func(name string) peerState, now time.Time) map[string]bool {
	silentIn := lo.CountValuesBy(silent, func(m Member) string { return m.Zone })
	suspectedIn := lo.CountValuesBy(lo.Filter(healthy, func(m Member, _ int) bool { return d.suspected[m.Name] }), func(m Member) string { return m.Zone })
	writers := map[string]bool{}
	count, certain := map[string]int{}, map[string]int{}
	for _, m := range healthy {
		many := silentIn[m.Zone]+suspectedIn[m.Zone] > zoneWriters
		limit := maxZoneWriters
		if many {
			limit = min(max(maxZoneWriters, silentIn[m.Zone]+suspectedIn[m.Zone]), maxZoneSearch)
		}
		if certain[m.Zone] >= zoneWriters || count[m.Zone] >= limit {
			continue
		}
		writers[m.Name] = true
		count[m.Zone]++
		if d.alive(m, state, now) || !many && !d.suspected[m.Name] {
			certain[m.Zone]++
		}
	}
	return writers
}

// ordered lists the members in the order in which they are chosen. Lists of members are
// never changed in place, so the order stays valid until there is a new list.
func (d *delegates) ordered(members []Member) []Member {
	if len(members) != len(d.members) || len(members) > 0 && &members[0] != &d.members[0] {
		d.members, d.order = members, ranked(members)
		d.suspected = lo.PickBy(d.suspected, func(name string, _ bool) bool {
			_, listed := find(members, name)
			return listed
		})
	}
	return d.order
}

// sendsHere reports whether a writer sends to this node: writers send to their zone and to
// each other.
func (d *delegates) sendsHere(m Member) bool { return d.writes || m.Zone == d.self.Zone }

// silent reports whether a member that is expected to send does not.
func (d *delegates) silent(m Member, state func(name string) peerState, now time.Time) bool {
	since, expected := d.since[m.Name]
	if m.Name == d.self.Name || !expected || !d.sendsHere(m) {
		return false
	}
	at, limit := state(m.Name).at, d.maxSilence(m)
	if at.After(since) {
		since = at
	}
	switch quiet := now.Sub(since); {
	case quiet <= limit && since.Equal(at):
		delete(d.suspected, m.Name)
		return false
	case quiet <= limit:
		return false
	case quiet > limit+replacedFor:
		delete(d.since, m.Name)
		return false
	}
	d.suspected[m.Name] = true
	return true
}

// alive reports whether a writer sent something recently, or is this node.
func (d *delegates) alive(m Member, state func(name string) peerState, now time.Time) bool {
	return m.Name == d.self.Name || now.Sub(state(m.Name).at) <= d.maxSilence(m)
}

// member finds a member by name; one that left counts as one of the region.
func (d *delegates) member(name string) Member {
	m, _ := find(d.members, name)
	return m
}

// maxSilence returns how long a writer may send nothing: those of other regions send less
// often.
func (d *delegates) maxSilence(m Member) time.Duration {
	if d.near(m.Zone) {
		return silenceTimeout
	}
	return farEvery * silenceTimeout
}

// expect records which writers are expected to send from now on. A silent one stays
// recorded though it is no longer chosen, until it may be chosen again.
func (d *delegates) expect(writers map[string]bool, now time.Time) {
	for _, m := range d.order {
		if _, expected := d.since[m.Name]; writers[m.Name] && !expected && d.sendsHere(m) {
			d.since[m.Name] = now
		}
	}
	for name, since := range d.since {
		if !writers[name] && now.Sub(since) > d.maxSilence(d.member(name))+replacedFor {
			delete(d.since, name)
		}
	}
}

// addSpares adds writers in zones where none reaches the store though one elsewhere does:
// the next members in order, until one is not known to have lost the store.
func addSpares(writers map[string]bool, order []Member, state func(name string) peerState) {
	inZone := map[string]int{}
	reached := map[string]bool{}
	elsewhere := map[string]bool{} // by zone: as reported to its writers
	for _, m := range order {
		if !writers[m.Name] {
			continue
		}
		s := state(m.Name)
		inZone[m.Zone]++
		reached[m.Zone] = reached[m.Zone] || !s.storeLost
		elsewhere[m.Zone] = elsewhere[m.Zone] || s.elsewhere
	}
	for _, m := range order {
		if writers[m.Name] || reached[m.Zone] || !elsewhere[m.Zone] || inZone[m.Zone] >= maxZoneWriters {
			continue
		}
		writers[m.Name] = true
		inZone[m.Zone]++
		reached[m.Zone] = !state(m.Name).storeLost
	}
}
