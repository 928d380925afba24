package choice

import (
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// noBirthGrace is how long after this node learned of a new incarnation a peer's report without
// a start time may still concern the previous one. Older builds send none, and a read is sent for
// readTTL by its origin and again by whoever forwards it, plus one gossip interval of each.
const noBirthGrace = 4 * time.Second

// matches reports whether a peer's report with the given start time concerns this incarnation.
func (s *endpoint) matches(born int64, now time.Time) bool {
	return born == s.born || born == 0 && now.Sub(s.replacedAt) >= noBirthGrace
}

// hasReplaced reports whether the listed incarnation is known to be another one than that of an entry. The
// entry is then older than the list that this node last received.
func (s *endpoint) hasReplaced(incarnation engine.Incarnation) bool {
	return s.listed && s.born != 0 && incarnation.Born != 0 && s.born != incarnation.Born
}

// Dropped is the state that was discarded with an ended incarnation.
type Dropped struct {
	Ended     bool // an earlier incarnation was known, and this is its state
	Born      int64
	Parts     int       // prompt parts that it was assumed to cache
	Calls     int       // calls of this node in flight there
	Peers     int       // peers that had reported it
	Suspected bool      // it was suspected or taken for gone
	Placed    time.Time // when a call was last placed there; zero: never
}

// Begin records which incarnation of an endpoint is listed. The state of an earlier one is
// discarded: cached parts, load, speed, pauses and failures. What peers already reported of the
// new one is kept.
func (p *Picker) Begin(incarnation engine.Incarnation, now time.Time) Dropped {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, known := p.endpoints[incarnation.ID]
	if known && before.isSameIncarnation(incarnation) {
		before.born, before.listed = incarnation.Born, true
		return Dropped{}
	}
	if !known {
		p.newIncarnation(incarnation, 0).listed = true
		return Dropped{}
	}
	dropped := Dropped{
		Ended: before.listed, Born: before.born, Parts: len(before.cache.byID), Calls: before.inFlight, Placed: before.placed,
		Suspected: before.gone || before.failures > 0 || now.Before(before.suspectedUntil),
	}
	s := p.replaceIncarnation(before, incarnation)
	s.listed, s.replacedAt = true, now
	p.zones.forget(incarnation.ID)
	p.recent.forget(incarnation)
	dropped.Peers = len(before.peers) - len(s.peers)
	return dropped
}

// isSameIncarnation reports whether the known state may belong to a listed incarnation: it has
// the same start time, or consists only of peers' reports without one.
func (s *endpoint) isSameIncarnation(incarnation engine.Incarnation) bool {
	return s.born == incarnation.Born || !s.listed && s.born == 0 && !s.gone
}

// replaceIncarnation starts an incarnation in place of another one.
func (p *Picker) replaceIncarnation(before *endpoint, incarnation engine.Incarnation) *endpoint {
	capacity := before.cache.capacity
	before.cache.clear()
	s := p.newIncarnation(incarnation, capacity)
	for peer, d := range before.peers {
		if d.Born == incarnation.Born {
			s.peers[peer] = d
			if d.Gone {
				s.markGone(d.GoneAt)
			}
		}
	}
	return s
}

// forget drops the reads of earlier incarnations, so that peers no longer receive them.
func (l *recentReads) forget(incarnation engine.Incarnation) {
	l.reads = slices.DeleteFunc(l.reads, func(r timedRead) bool { return r.Endpoint == incarnation.ID && r.Born != incarnation.Born })
}

// forget drops the connect failures of an earlier incarnation.
func (z zones) forget(id string) {
	for _, zone := range z {
		delete(zone.failed, id)
	}
}
