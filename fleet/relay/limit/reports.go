package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Report reports an endpoint's limit to another node, or its end if it has no rate.
type Report struct {
	Endpoint  string   `json:"e"`
	Born      int64    `json:"b,omitempty"` // start of the incarnation
	PerSecond *float64 `json:"r,omitempty"` // nil: the limit is over
	AgeMs     int64    `json:"a"`           // of the answer that signaled it
}

func (r Report) incarnation() engine.Incarnation {
	return engine.Incarnation{ID: r.Endpoint, Born: r.Born}
}

// valid reports whether the report is plausible. Other nodes' reports are not trusted.
func (r Report) valid() bool {
	return r.AgeMs >= 0 && r.AgeMs <= maxAge.Milliseconds() && (r.PerSecond == nil || *r.PerSecond >= 0 && !math.IsNaN(*r.PerSecond) && !math.IsInf(*r.PerSecond, 0))
}

// Bounds of the reports that are sent.
const (
	maxReports = 48
	maxAge     = time.Minute // of the answer behind a report
)

// Urgent is signaled when there are updates that should not wait for the next digests.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

// Updates returns what this node learned since the last call: from its own answers and, if it
// forwards, from reports.
func (t *Tracker) Updates(forward bool, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for incarnation, k := range t.known {
		if k.due.TakeUpdate() && (k.own || forward) {
			reports = append(reports, k.report(incarnation, now))
		}
	}
	return newest(reports)
}

// Reports returns the reports to be sent along with the digests.
func (t *Tracker) Reports(forward bool, now time.Time) []Report {
	if t.count.Load() == 0 {
		return nil // the common case
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for incarnation, k := range t.known {
		if k.due.WithDigests(now) && (k.own || forward) {
			reports = append(reports, k.report(incarnation, now))
		}
	}
	return newest(reports)
}

// newest returns the reports of the latest answers, as many as a message holds.
func newest(reports []Report) []Report {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), maxReports)]
}

func (k *known) report(incarnation engine.Incarnation, now time.Time) Report {
	w := Report{Endpoint: incarnation.ID, Born: incarnation.Born, AgeMs: now.Sub(k.observed).Milliseconds()}
	if k.named {
		w.PerSecond = &k.perSecond
	}
	return w
}

// Receive records another node's reports on listed endpoints.
func (t *Tracker) Receive(from string, reports []Report, now time.Time) {
	for _, w := range reports[:min(len(reports), maxReports)] {
		if !w.valid() {
			continue
		}
		s := signal{by: from, at: now.Add(-clock.Milliseconds(w.AgeMs)), named: w.PerSecond != nil}
		if s.named {
			s.perSecond = *w.PerSecond
		}
		t.record(w.incarnation(), s, now)
	}
}
