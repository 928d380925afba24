package notice

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/announce"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Report reports an endpoint's notices to another node.
type Report struct {
	Endpoint  string `json:"e"`
	Born      int64  `json:"b,omitempty"` // start of the incarnation
	LeavingMs *int64 `json:"l,omitempty"` // since the latest answer with a leaving notice; nil: none
	RestMs    int64  `json:"r,omitempty"` // remaining rest; 0: none was requested
}

func (r Report) incarnation() engine.Incarnation {
	return engine.Incarnation{ID: r.Endpoint, Born: r.Born}
}

// Bounds of the reports that are sent.
const (
	maxReports = 48             // per message
	maxRest    = 24 * time.Hour // that another node may report
)

// Urgent is signaled when there are updates that should not wait for the next digests.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

// Updates returns what this node learned since the last call: from answers and, if it forwards,
// from reports.
func (t *Tracker) Updates(forward bool, now time.Time) []Report {
	return t.reports(forward, now, func(d *announce.Schedule) bool { return d.TakeUpdate() })
}

// Reports returns the reports to be sent along with the digests.
func (t *Tracker) Reports(forward bool, now time.Time) []Report {
	return t.reports(forward, now, func(d *announce.Schedule) bool { return d.WithDigests(now) })
}

func (t *Tracker) reports(forward bool, now time.Time, due func(*announce.Schedule) bool) []Report {
	if t.count.Load() == 0 {
		return nil // the common case
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for incarnation, k := range t.known {
		k.expire(now)
		t.dropEmpty(incarnation, k)
		if w := k.report(incarnation, forward, now, due); k.gone.IsZero() && w.hasContent() {
			reports = append(reports, w)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(-cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), maxReports)]
}

// expire drops a rest that ended long ago, and schedules a leaving notice to be sent again if
// it was not sent for long.
func (k *known) expire(now time.Time) {
	if end := k.rest.end(); !end.IsZero() && now.Sub(end) > restRetention {
		k.rest = rest{}
	}
	if !k.leaving.observed.IsZero() {
		k.leaving.due.Renew(now)
	}
}

// report returns what is due to be sent of one incarnation.
func (k *known) report(incarnation engine.Incarnation, forward bool, now time.Time, due func(*announce.Schedule) bool) Report {
	w := Report{Endpoint: incarnation.ID, Born: incarnation.Born}
	if due(&k.leaving.due) && (k.leaving.own || forward) && now.Sub(k.leaving.observed) < ReportLifetime {
		w.LeavingMs = lo.ToPtr(now.Sub(k.leaving.observed).Milliseconds())
	}
	until := k.rest.until
	if forward {
		until = k.rest.end()
	}
	if due(&k.rest.due) && now.Before(until) {
		w.RestMs = until.Sub(now).Milliseconds()
	}
	return w
}

// hasContent reports whether the report holds any notice.
func (r Report) hasContent() bool { return r.LeavingMs != nil || r.RestMs > 0 }

// priority orders reports when a message can't hold all: leaving notices first, the latest ones
// before others, and then long rests.
func (r Report) priority() int64 {
	if r.LeavingMs != nil {
		return maxRest.Milliseconds() + ReportLifetime.Milliseconds() - *r.LeavingMs
	}
	return r.RestMs
}

// Receive records another node's reports on listed endpoints.
func (t *Tracker) Receive(from string, reports []Report, now time.Time) {
	for _, w := range reports[:min(len(reports), maxReports)] {
		if w.valid() {
			t.record(from, w, now)
		}
	}
}

// ReceiveOwn records rests that endpoints asked of this node over connections that it carries for
// another one.
func (t *Tracker) ReceiveOwn(reports []Report, now time.Time) {
	for _, w := range reports[:min(len(reports), maxReports)] {
		t.mu.Lock()
		e, listed := t.listed[w.incarnation()]
		t.mu.Unlock()
		if listed && w.valid() && w.RestMs > 0 {
			t.Observe(e, call.Rest{For: clock.Milliseconds(w.RestMs)}, now)
		}
	}
}

// valid reports whether the report is plausible. Other nodes' reports are not trusted.
func (r Report) valid() bool {
	leaving := r.LeavingMs == nil || *r.LeavingMs >= 0 && *r.LeavingMs < ReportLifetime.Milliseconds()
	return r.hasContent() && leaving && r.RestMs >= 0 && r.RestMs <= maxRest.Milliseconds()
}

func (t *Tracker) record(from string, w Report, now time.Time) {
	var began []Change
	t.mu.Lock()
	if e, listed := t.listed[w.incarnation()]; listed {
		k := t.get(e, now)
		if w.LeavingMs != nil {
			age := clock.Milliseconds(*w.LeavingMs)
			if k.leaving.received(from, now.Add(-age), now) {
				began = append(began, Began{Engine: e, Notice: call.Leaving{}, From: from, Age: age})
			}
		}
		if left := min(clock.Milliseconds(w.RestMs), ReportLifetime); left > 0 && k.rest.received(from, now.Add(left), now) {
			began = append(began, Began{Engine: e, Notice: call.Rest{For: left}, From: from})
		}
	}
	t.mu.Unlock()
	for _, c := range began {
		t.urgent.Notify()
		t.changed(c)
	}
}
