package suspicion

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

// Audience returns who is to be notified at once. Every node sends the failures that it observed. A
// node that forwards reports also sends that an endpoint is avoided, at most once per
// minAnnounceInterval.
func (b *Tracker) Audience(forward bool, now time.Time) Audience {
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

// Reports returns the reports that this node sends: failures that it observed and, if it forwards,
// those that others observed at endpoints that it avoids.
func (b *Tracker) Reports(forward bool, now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.noneAvoided(now) && now.Sub(b.last) > b.rule.Window {
		return nil // the common case
	}
	var reports []Report
	for incarnation, e := range b.reportable() {
		if w := (Report{Endpoint: incarnation.ID, Born: incarnation.Born, Reporters: b.reporters(e, forward, now)}); len(w.Reporters) > 0 {
			reports = append(reports, w)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Reporters), len(a.Reporters)), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), maxReports)]
}

// reportable returns the endpoints that may be reported.
func (b *Tracker) reportable() map[engine.Incarnation]engine.Engine {
	incarnations := map[engine.Incarnation]engine.Engine{}
	for incarnation := range b.own {
		incarnations[incarnation] = b.fleet.engines[incarnation]
	}
	for incarnation := range b.periods {
		incarnations[incarnation] = b.fleet.engines[incarnation]
	}
	return incarnations
}

// reporters returns the nodes that observed failures at an endpoint, as far as this node reports
// them.
func (b *Tracker) reporters(e engine.Engine, forward bool, now time.Time) []Reporter {
	f := findings{}
	if s, ok := b.ownSuspicion(e.Incarnation(), now); ok && !b.ownLinkFails(e, now) {
		f.add(b.self, s.at, s.outcome == Interrupted, now)
	}
	if s, avoided := b.periods[e.Incarnation()]; forward && avoided && now.Before(s.until) {
		for _, reporter := range slices.Sorted(maps.Keys(b.received[e.Incarnation()])) {
			v := b.received[e.Incarnation()][reporter]
			if b.mayForward(reporter, e, v) && now.Sub(v.last) < b.rule.Window && len(f.reporters) < maxReporters {
				f.add(reporter, v.last, v.interrupted, now)
			}
		}
	}
	return f.abridged(b.rule)
}

// abridged returns the reporters that a report names. If enough of them had interrupted calls, a
// few of these suffice for the receivers.
func (f findings) abridged(r Rule) []Reporter {
	slices.SortFunc(f.reporters, byAge)
	if f.interrupted > r.MinReporters {
		return lo.Filter(f.reporters, func(t Reporter, _ int) bool { return t.Interrupted })[:r.MinReporters+1]
	}
	return f.reporters
}

// mayForward reports whether this node forwards another node's observation: received first hand
// from its own zone, or from the endpoint's zone if two delegates there sent it.
func (b *Tracker) mayForward(reporter string, e engine.Engine, v observation) bool {
	if from := b.fleet.zones[reporter]; from != b.zone {
		return from == e.Zone && len(v.senders) >= b.rule.MinReporters
	}
	_, firsthand := v.senders[reporter]
	return firsthand
}

// Receive records another node's reports. Only known nodes and listed incarnations count.
func (b *Tracker) Receive(sender string, reports []Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, listed := b.fleet.zones[sender]; !listed {
		return
	}
	for _, w := range reports[:min(len(reports), maxReports)] {
		if _, listed := b.fleet.engines[w.incarnation()]; !listed {
			continue
		}
		for _, t := range w.Reporters[:min(len(w.Reporters), maxReporters)] {
			b.record(w.incarnation(), sender, t, now)
		}
		b.evaluate(w.incarnation(), now)
	}
}

// record stores the observation of one node.
func (b *Tracker) record(incarnation engine.Incarnation, sender string, t Reporter, now time.Time) {
	age := time.Duration(t.AgeMs) * time.Millisecond
	_, listed := b.fleet.zones[t.Node]
	if !listed || t.Node == b.self || t.AgeMs < 0 || t.AgeMs > b.rule.Window.Milliseconds() {
		return
	}
	of, ok := b.received[incarnation]
	if !ok {
		of = map[string]observation{}
		b.received[incarnation] = of
	}
	maps.DeleteFunc(of, func(_ string, v observation) bool { return now.Sub(v.last) > b.rule.Window })
	v, ok := of[t.Node]
	if !ok {
		v.senders = map[string]time.Time{}
	}
	v.senders[sender] = now
	if at := now.Add(-age); at.After(v.last) {
		v.last, v.interrupted = at, t.Interrupted
	}
	of[t.Node] = v
}
