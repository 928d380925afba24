package peer

import (
	"time"

	"github.com/samber/lo"
)

// Bounds of who writes the ledger and watches the store for others.
const (
	silentAfter = 4 * time.Second  // a node that should be heard and is not is replaced
	silentFor   = 15 * time.Second // after which it may be chosen again, in case it is back
	zoneMost    = 4                // delegates of a zone with those that stand in for ones that do not reach the store
)

// delegates chooses the nodes that write the ledger, and remembers since when each is
// to be heard: only of these does silence say anything, since the others of a large
// fleet tell this node something once in a minute.
type delegates struct {
	self  string
	since map[string]time.Time
}

func newDelegates(self string) *delegates {
	return &delegates{self: self, since: map[string]time.Time{}}
}

// word is when a node was last heard, and whether it said that it does not reach the store.
type word struct {
	at  time.Time
	out bool
}

// choose names the writers among the members. One that does not reach the store goes
// on: it holds its zone's tokens, and in most outages nobody else reaches it either.
// Where some other writer does, a zone without one gets others beside its own.
func (d *delegates) choose(members []Member, heard func(name string) word, now time.Time) map[string]bool {
	fit := func() []Member {
		sound := lo.Reject(members, func(m Member, _ int) bool { return d.silent(m.Name, heard(m.Name).at, now) })
		if len(sound) == 0 {
			return members
		}
		return sound
	}
	writers := Writers(members, fit)
	if len(members) > allWrite {
		addSpares(writers, ranked(fit()), func(name string) bool { return heard(name).out })
	}
	d.expect(writers, now)
	return writers
}

// silent is whether a member that is to be heard is not.
func (d *delegates) silent(name string, heard, now time.Time) bool {
	since, expected := d.since[name]
	if name == d.self || !expected {
		return false
	}
	if heard.After(since) {
		since = heard
	}
	quiet := now.Sub(since)
	if quiet > silentAfter+silentFor {
		delete(d.since, name)
		return false
	}
	return quiet > silentAfter
}

// expect notes who is to be heard from now on. One that fell silent is remembered
// though it is no longer chosen, until it may be chosen again.
func (d *delegates) expect(writers map[string]bool, now time.Time) {
	for name := range writers {
		if _, expected := d.since[name]; !expected {
			d.since[name] = now
		}
	}
	for name, since := range d.since {
		if !writers[name] && now.Sub(since) > silentAfter+silentFor {
			delete(d.since, name)
		}
	}
}

// addSpares adds, in zones where no writer reaches the store though one elsewhere
// does, the next members in their order until one is not known to be out.
func addSpares(writers map[string]bool, order []Member, out func(name string) bool) {
	reached := map[string]bool{}
	for _, m := range order {
		if writers[m.Name] && !out(m.Name) {
			reached[m.Zone] = true
		}
	}
	if len(reached) == 0 {
		return
	}
	inZone := lo.CountValuesBy(lo.Filter(order, func(m Member, _ int) bool { return writers[m.Name] }), func(m Member) string { return m.Zone })
	for _, m := range order {
		if reached[m.Zone] || writers[m.Name] || inZone[m.Zone] >= zoneMost {
			continue
		}
		writers[m.Name] = true
		inZone[m.Zone]++
		reached[m.Zone] = !out(m.Name)
	}
}
