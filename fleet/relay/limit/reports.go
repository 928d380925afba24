package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Word reports an endpoint's limit to another node, or its end if it has no rate.
type Word struct {
	Endpoint  string   `json:"e"`
	Born      int64    `json:"b,omitempty"` // start of the incarnation
	PerSecond *float64 `json:"r,omitempty"` // nil: the limit is over
	AgeMs     int64    `json:"a"`           // of the answer that signaled it
}

func (w Word) life() engine.Life { return engine.Life{ID: w.Endpoint, Born: w.Born} }

// valid reports whether the report is plausible. Other nodes' reports are not trusted.
func (w Word) valid() bool {
	return w.AgeMs >= 0 && w.AgeMs <= maxAge.Milliseconds() && (w.PerSecond == nil || *w.PerSecond >= 0 && !math.IsNaN(*w.PerSecond) && !math.IsInf(*w.PerSecond, 0))
}

// Bounds of the reports that are sent.
const (
	maxReports = 48
	maxAge     = time.Minute // of the answer behind a report
)

// Urgent is signaled when there are updates that should not wait for the next digests.
func (b *Book) Urgent() <-chan struct{} { return b.urgent }

// News returns what this node learned since the last call: from its own answers and, if it
// forwards, from reports.
func (b *Book) News(forward bool, now time.Time) []Word {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Word
	for life, k := range b.known {
		if k.due.TakeNews() && (k.own || forward) {
			reports = append(reports, k.report(life, now))
		}
	}
	return newest(reports)
}

// Words returns the reports to be sent along with the digests.
func (b *Book) Words(forward bool, now time.Time) []Word {
	if b.count.Load() == 0 {
		return nil // the common case
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Word
	for life, k := range b.known {
		if k.due.Along(now) && (k.own || forward) {
			reports = append(reports, k.report(life, now))
		}
	}
	return newest(reports)
}

// newest returns the reports of the latest answers, as many as a message holds.
func newest(reports []Word) []Word {
	slices.SortFunc(reports, func(a, b Word) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return reports[:min(len(reports), maxReports)]
}

func (k *known) report(life engine.Life, now time.Time) Word {
	w := Word{Endpoint: life.ID, Born: life.Born, AgeMs: now.Sub(k.observed).Milliseconds()}
	if k.named {
		w.PerSecond = &k.perSecond
	}
	return w
}

// Heard records another node's reports on listed endpoints.
func (b *Book) Heard(from string, reports []Word, now time.Time) {
	for _, w := range reports[:min(len(reports), maxReports)] {
		if !w.valid() {
			continue
		}
		s := signal{by: from, at: now.Add(-time.Duration(w.AgeMs) * time.Millisecond), named: w.PerSecond != nil}
		if s.named {
			s.perSecond = *w.PerSecond
		}
		b.record(w.life(), s, now)
	}
}
