package doubt

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Audience is who receives an immediate message, besides the regular ones.
type Audience int

// The audiences.
const (
	Nobody    Audience = iota
	Delegates          // of the zone: this node observed a failure
	All                // nodes of the zone and the delegates of other zones: an endpoint is avoided
)

// News returns who is to be notified at once. Every node sends the failures that it observed. A
// node that forwards reports also sends that an endpoint is avoided, at most once per
// minAnnounceInterval.
func (b *Book) News(forward bool, now time.Time) Audience {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := b.failed
	b.failed = false
	switch {
	case forward && (b.started || b.extended && now.Sub(b.announcedAt) >= minAnnounceInterval):
		b.started, b.extended, b.announcedAt = false, false, now
		return All
	case failed:
		return Delegates
	}
	return Nobody
}

// Words returns the reports that this node sends: failures that it observed and, if it forwards,
// those that others observed at endpoints that it avoids.
func (b *Book) Words(forward bool, now time.Time) []Word {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.noneAvoided(now) && now.Sub(b.last) > b.rule.Window {
		return nil // the common case
	}
	var reports []Word
	for life, e := range b.reportable() {
		if w := (Word{Endpoint: life.ID, Born: life.Born, Tellers: b.reporters(e, forward, now)}); len(w.Tellers) > 0 {
			reports = append(reports, w)
		}
	}
	slices.SortFunc(reports, func(a, b Word) int {
		return cmp.Or(cmp.Compare(len(b.Tellers), len(a.Tellers)), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), maxReports)]
}

// reportable returns the endpoints that may be reported.
func (b *Book) reportable() map[engine.Life]engine.Engine {
	incarnations := map[engine.Life]engine.Engine{}
	for life := range b.own {
		incarnations[life] = b.fleet.engines[life]
	}
	for life := range b.periods {
		incarnations[life] = b.fleet.engines[life]
	}
	return incarnations
}

// reporters returns the nodes that observed failures at an endpoint, as far as this node reports
// them.
func (b *Book) reporters(e engine.Engine, forward bool, now time.Time) []Teller {
	f := findings{}
	if s, ok := b.ownSuspicion(e.Life(), now); ok && !b.ownLinkFails(e, now) {
		f.add(b.self, s.at, s.outcome == Cut, now)
	}
	if s, avoided := b.periods[e.Life()]; forward && avoided && now.Before(s.until) {
		for _, reporter := range slices.Sorted(maps.Keys(b.received[e.Life()])) {
			v := b.received[e.Life()][reporter]
			if b.mayForward(reporter, e, v) && now.Sub(v.last) < b.rule.Window && len(f.reporters) < maxReporters {
				f.add(reporter, v.last, v.interrupted, now)
			}
		}
	}
	return f.abridged(b.rule)
}

// abridged returns the reporters that a report names. If enough of them had interrupted calls, a
// few of these suffice for the receivers.
func (f findings) abridged(r Rule) []Teller {
	slices.SortFunc(f.reporters, byAge)
	if f.interrupted > r.MinReporters {
		return lo.Filter(f.reporters, func(t Teller, _ int) bool { return t.Cut })[:r.MinReporters+1]
	}
	return f.reporters
}

// mayForward reports whether this node forwards another node's observation: received first hand
// from its own zone, or from the endpoint's zone if two delegates there sent it.
func (b *Book) mayForward(reporter string, e engine.Engine, v observation) bool {
	if from := b.fleet.zones[reporter]; from != b.zone {
		return from == e.Zone && len(v.senders) >= b.rule.MinReporters
	}
	_, firsthand := v.senders[reporter]
	return firsthand
}

// Heard records another node's reports. Only known nodes and listed incarnations count.
func (b *Book) Heard(sender string, reports []Word, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, listed := b.fleet.zones[sender]; !listed {
		return
	}
	for _, w := range reports[:min(len(reports), maxReports)] {
		if _, listed := b.fleet.engines[w.life()]; !listed {
			continue
		}
		for _, t := range w.Tellers[:min(len(w.Tellers), maxReporters)] {
			b.record(w.life(), sender, t, now)
		}
		b.evaluate(w.life(), now)
	}
}

// record stores the observation of one node.
func (b *Book) record(life engine.Life, sender string, t Teller, now time.Time) {
	age := time.Duration(t.AgeMs) * time.Millisecond
	_, listed := b.fleet.zones[t.Node]
	if !listed || t.Node == b.self || t.AgeMs < 0 || t.AgeMs > b.rule.Window.Milliseconds() {
		return
	}
	of, ok := b.received[life]
	if !ok {
		of = map[string]observation{}
		b.received[life] = of
	}
	maps.DeleteFunc(of, func(_ string, v observation) bool { return now.Sub(v.last) > b.rule.Window })
	v, ok := of[t.Node]
	if !ok {
		v.senders = map[string]time.Time{}
	}
	v.senders[sender] = now
	if at := now.Add(-age); at.After(v.last) {
		v.last, v.interrupted = at, t.Cut
	}
	of[t.Node] = v
}
