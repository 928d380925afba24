// Package fragile tracks the services whose endpoints crash when they have to reject too many calls
// in a second, as they say in their answers.
//
// The nodes then share the slots of each endpoint, so that together they send it no more calls at a
// time than it runs: a node that learned by rejections alone that an endpoint is full would use up
// what all nodes together may cause, and the calls of an endpoint that crashed would overrun the
// next one.
package fragile

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

const (
	// lifetime is how long a service counts as fragile after the last answer that said so. All
	// answers of its endpoints say so, but there may be none for a while.
	lifetime = 10 * time.Second
	// maxReports is the number of services in a message.
	maxReports = 16
)

// Report reports a fragile service to another node.
type Report struct {
	Service       string `json:"s"`
	MaxRejections int    `json:"n"`   // per second and endpoint
	AgeMs         int64  `json:"age"` // of the last answer that said so
}

// Change is a service that this node began or ceased to treat as fragile.
type Change struct {
	Service       string
	Fragile       bool
	MaxRejections int
	From          string // the node that reported it; "" if it was an answer to this node
}

// Tracker tracks the fragile services that a node knows. It is safe for concurrent use.
type Tracker struct {
	changed func(Change)
	count   atomic.Int64 // of known services; 0 skips the lock

	mu    sync.Mutex
	known map[string]known
}

type known struct {
	observed      time.Time
	maxRejections int
}

// NewTracker returns an empty tracker, which calls changed on each change.
func NewTracker(changed func(Change)) *Tracker {
	return &Tracker{changed: changed, known: map[string]known{}}
}

// Observe records an answer to this node in which an endpoint says that it is fragile.
func (t *Tracker) Observe(service string, maxRejections int, now time.Time) {
	t.record(service, "", known{observed: now, maxRejections: maxRejections})
}

// Receive records the reports of another node.
func (t *Tracker) Receive(from string, reports []Report, now time.Time) {
	for _, r := range reports[:min(len(reports), maxReports)] {
		age := clock.Milliseconds(r.AgeMs)
		if r.Service != "" && r.MaxRejections >= 0 && age >= 0 && age < lifetime {
			t.record(r.Service, from, known{observed: now.Add(-age), maxRejections: r.MaxRejections})
		}
	}
}

func (t *Tracker) record(service, from string, k known) {
	t.mu.Lock()
	before, ok := t.known[service]
	if !ok || k.observed.After(before.observed) {
		t.known[service] = k
		t.count.Store(int64(len(t.known)))
	}
	t.mu.Unlock()
	if !ok {
		t.changed(Change{Service: service, Fragile: true, MaxRejections: k.maxRejections, From: from})
	}
}

// Is reports whether a service's endpoints are fragile.
func (t *Tracker) Is(service string, now time.Time) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	k, ok := t.known[service]
	over := ok && now.Sub(k.observed) >= lifetime
	if over {
		delete(t.known, service)
		t.count.Store(int64(len(t.known)))
	}
	t.mu.Unlock()
	if over {
		t.changed(Change{Service: service, MaxRejections: k.maxRejections})
	}
	return ok && !over
}

// Reports returns the fragile services for the other nodes, those observed last first.
func (t *Tracker) Reports(now time.Time) []Report {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for service, k := range t.known {
		if age := now.Sub(k.observed); age < lifetime {
			reports = append(reports, Report{Service: service, MaxRejections: k.maxRejections, AgeMs: age.Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Service, b.Service))
	})
	return reports[:min(len(reports), maxReports)]
}
