package relay

import (
	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// An endpoint may restart under its id. The table of endpoints detects that and notifies all
// holders of state about the ended incarnation, before any call is placed by the new entry.
// docs/design/15-lives.md lists what each of them drops.

// trackIncarnation detects whether an entry belongs to a new incarnation, and returns the entry
// with what this node knows of its incarnation.
func (t *engineTable) trackIncarnation(before engine.Engine, known bool, e engine.Engine) engine.Engine {
	now := clock.Now()
	lastBorn := t.births[e.ID]
	t.births[e.ID] = lo.CoalesceOrEmpty(e.Born, lastBorn)
	if known && (lastBorn == e.Born || e.Born == 0) {
		e.RestartedAt = before.RestartedAt
		return e
	}
	before.Born = lastBorn
	dropped := t.picker.Begin(e.Incarnation(), now)
	if !known && !dropped.Ended {
		return e
	}
	if !known {
		before.Born = dropped.Born
	}
	change := birthChange(before, e)
	if change != birthEarlier {
		e.RestartedAt = now
	}
	t.bounds.Restarted(e.ID, dropped.Placed, now)
	idle := 0
	if known {
		idle = t.dropIdle(before.Address)
	}
	t.metrics.Restarted(change)
	t.log.WithFields(incarnationFields(before, e)).WithFields(log.Fields{
		"birth": change, "parts": dropped.Parts, "calls": dropped.Calls, "peers": dropped.Peers, "doubted": dropped.Suspected, "connections": idle,
	}).Info("endpoint restarted under its id: state of the ended incarnation dropped")
	return e
}

func incarnationFields(before, e engine.Engine) log.Fields {
	return log.Fields{"endpoint": e.ID, "service": e.Service, "address": e.Address, "bornBefore": before.Born, "born": e.Born, "revisionBefore": before.Seen.Number(), "revision": e.Seen.Number()}
}

// How the birth in an entry may differ from the last one known.
const (
	birthFirst   = "first told" // by software that now reports its birth
	birthEarlier = "earlier"
	birthLater   = "later"
)

// identified records that an endpoint told another birth than its entry's: it restarted, and the version of
// its software is not known until its entry is.
func (t *engineTable) identified(e engine.Engine, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.byName[e.ID]
	if !known || current.Born != e.Born || current.Born == born {
		return
	}
	next := current
	next.Born, next.Unread = born, true
	t.log.WithFields(incarnationFields(current, next)).Warn("endpoint runs another incarnation than its entry's: streams go on there at no other until its version is known")
	t.byName[e.ID] = t.trackIncarnation(current, true, next)
	t.publish()
}

// birthChange returns how the birth of a newer entry differs. An earlier birth is another
// incarnation all the same, since the revisions of the store tell which entry is newer: the clock
// of the endpoint was set back, or the entry of another writer has ended. Such an incarnation is
// cold only if its entry says so.
func birthChange(before, e engine.Engine) string {
	switch {
	case before.Born == 0:
		return birthFirst
	case e.Born < before.Born:
		return birthEarlier
	}
	return birthLater
}

// If the endpoints of a service report their births, an entry without one comes from another
// writer. It names no endpoint to use. It ends no incarnation either: the endpoint under its id
// may still run, and writes its own entry again. While software that reports births is rolled out,
// the endpoints that do not report it are many, or were in use before, and stay.
const (
	minWithBirth = 2 // endpoints of the service that report their birth
	birthRatio   = 2 // required ratio of entries with a birth to entries without
)

// tellBirths reports whether endpoints of a service report their births.
func (t *engineTable) tellBirths(service string) bool {
	return lo.SomeBy(lo.Values(t.byName), func(e engine.Engine) bool { return e.Service == service && e.Born != 0 })
}

// foreign returns which entries without a birth are kept out of use.
func (t *engineTable) foreign() map[string]bool {
	with, without := map[string]int{}, map[string]int{}
	for _, e := range t.byName {
		if e.Born != 0 {
			with[e.Service]++
			continue
		}
		without[e.Service]++
	}
	out := map[string]bool{}
	for id, e := range t.byName {
		if e.Born != 0 {
			delete(t.withoutBirth, id)
			continue
		}
		used, known := t.withoutBirth[id]
		out[id] = !used && with[e.Service] >= max(minWithBirth, birthRatio*without[e.Service])
		t.withoutBirth[id] = !out[id]
		if out[id] && !known {
			t.log.WithFields(engineFields(e)).WithField("revision", e.Seen.Number()).WithField("tell", with[e.Service]).Warn("entry without a birth ignored: the other endpoints of the service report theirs")
		}
	}
	return out
}
