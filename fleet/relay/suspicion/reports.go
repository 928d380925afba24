package suspicion

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
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
func (t *Tracker) Audience(forward bool, now time.Time) Audience {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := t.failed
	t.failed = false
	switch {
	case forward && (t.started || t.extended && now.Sub(t.announcedAt) >= minAnnounceInterval):
		t.started, t.extended, t.announcedAt = false, false, now
		return All
	case failed:
		return Delegates
	}
	return Nobody
}

// Reports returns the reports that this node sends: failures that it observed and, if it forwards,
// those that others observed at endpoints that it avoids.
func (t *Tracker) Reports(forward bool, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.noneAvoided(now) && now.Sub(t.last) > t.rule.Window {
		return nil // the common case
	}
	var reports []Report
	for incarnation, e := range t.reportable() {
		if w := (Report{Endpoint: incarnation.ID, Born: incarnation.Born, Reporters: t.reporters(e, forward, now)}); len(w.Reporters) > 0 {
			reports = append(reports, w)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Reporters), len(a.Reporters)), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), maxReports)]
}

// reportable returns the endpoints that may be reported.
func (t *Tracker) reportable() map[engine.Incarnation]engine.Engine {
	incarnations := map[engine.Incarnation]engine.Engine{}
	for incarnation := range t.own {
		incarnations[incarnation] = t.fleet.engines[incarnation]
	}
	for incarnation := range t.periods {
		incarnations[incarnation] = t.fleet.engines[incarnation]
	}
	return incarnations
}

// reporters returns the nodes that observed failures at an endpoint, as far as this node reports
// them.
func (t *Tracker) reporters(e engine.Engine, forward bool, now time.Time) []Reporter {
	f := findings{}
	if s, ok := t.ownSuspicion(e.Incarnation(), now); ok && !t.ownLinkFails(e, now) {
		f.add(t.self, s.at, s.outcome == Interrupted, now)
	}
	if s, avoided := t.periods[e.Incarnation()]; forward && avoided && now.Before(s.until) {
		for _, reporter := range slices.Sorted(maps.Keys(t.received[e.Incarnation()])) {
			v := t.received[e.Incarnation()][reporter]
			if t.mayForward(reporter, e, v) && now.Sub(v.last) < t.rule.Window && len(f.reporters) < maxReporters {
				f.add(reporter, v.last, v.interrupted, now)
			}
		}
	}
	return f.abridged(t.rule)
}

// abridged returns the reporters that a report names. If enough of them had interrupted calls, a
// few of these suffice for the receivers.
func (f findings) abridged(r Rule) []Reporter {
	slices.SortFunc(f.reporters, byAge)
	if f.interrupted > r.MinReporters {
		return lo.Filter(f.reporters, func(r Reporter, _ int) bool { return r.Interrupted })[:r.MinReporters+1]
	}
	return f.reporters
}

// mayForward reports whether this node forwards another node's observation: received first hand
// from its own zone, or from the endpoint's zone if two delegates there sent it.
func (t *Tracker) mayForward(reporter string, e engine.Engine, v observation) bool {
	if from := t.fleet.zones[reporter]; from != t.zone {
		return from == e.Zone && len(v.senders) >= t.rule.MinReporters
	}
	_, firsthand := v.senders[reporter]
	return firsthand
}

// Receive records another node's reports. Only known nodes and listed incarnations count.
func (t *Tracker) Receive(sender string, reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, listed := t.fleet.zones[sender]; !listed {
		return
	}
	for _, w := range reports[:min(len(reports), maxReports)] {
		if _, listed := t.fleet.engines[w.incarnation()]; !listed {
			continue
		}
		for _, r := range w.Reporters[:min(len(w.Reporters), maxReporters)] {
			t.record(w.incarnation(), sender, r, now)
		}
		t.evaluate(w.incarnation(), now)
	}
}

// record stores the observation of one node.
func (t *Tracker) record(incarnation engine.Incarnation, sender string, r Reporter, now time.Time) {
	age := clock.Milliseconds(r.AgeMs)
	_, listed := t.fleet.zones[r.Node]
	if !listed || r.Node == t.self || r.AgeMs < 0 || r.AgeMs > t.rule.Window.Milliseconds() {
		return
	}
	of, ok := t.received[incarnation]
	if !ok {
		of = map[string]observation{}
		t.received[incarnation] = of
	}
	maps.DeleteFunc(of, func(_ string, v observation) bool { return now.Sub(v.last) > t.rule.Window })
	v, ok := of[r.Node]
	if !ok {
		v.senders = map[string]time.Time{}
	}
	v.senders[sender] = now
	if at := now.Add(-age); at.After(v.last) {
		v.last, v.interrupted = at, r.Interrupted
	}
	of[r.Node] = v
}
