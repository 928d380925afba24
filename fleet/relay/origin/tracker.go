package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/announce"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/recent"
)

// Bounds of what a node remembers and reports.
const (
	maxRecords = 16 << 10 // streams in one generation
	maxUnsent  = 4 << 10  // records that wait to be sent
)

// SendDelay is how long a record waits for others before it is sent, which saves datagrams. If the
// node ends meanwhile, nobody else knows the streams that began within it.
const SendDelay = 20 * time.Millisecond

// Change is a service that has begun or ceased to have several versions.
type Change struct {
	Service  string
	Versions []string // listed now or within Retention
}

// Tracker tracks the origins of streams that a node knows. It is safe for concurrent use.
type Tracker struct {
	changed func(Change)
	urgent  announce.Urgent

	mu       sync.Mutex
	services map[string]versions
	streams  *recent.Map[Stream, entry]
	unsent   []Record
	signaled bool // a signal for unsent is due
}

// versions are those of a service's endpoints. The value is when the last endpoint of a version went;
// zero while one is listed.
type versions map[string]time.Time

type entry struct {
	version string
	service string // "": reported by another node
}

// NewTracker returns an empty tracker, which calls changed on each change.
func NewTracker(changed func(Change)) *Tracker {
	return &Tracker{changed: changed, urgent: announce.NewUrgent(), services: map[string]versions{}, streams: recent.New[Stream, entry](maxRecords, Retention)}
}

// Engines sets the listed endpoints. Once a service has several versions, the origins of its streams
// are reported to other nodes, also of those that began before.
func (t *Tracker) Engines(all []engine.Engine, now time.Time) {
	t.mu.Lock()
	listed := map[string]versions{}
	for _, e := range all {
		if listed[e.Service] == nil {
			listed[e.Service] = versions{}
		}
		listed[e.Service][e.Version] = time.Time{}
	}
	var changes []Change
	for _, service := range lo.Union(lo.Keys(t.services), lo.Keys(listed)) {
		before := t.services[service]
		after := before.next(listed[service], now)
		t.services[service] = after
		if len(after) == 0 {
			delete(t.services, service)
		}
		if (len(before) > 1) != (len(after) > 1) {
			changes = append(changes, Change{Service: service, Versions: slices.Sorted(maps.Keys(after))})
		}
		if len(after) > 1 && len(before) <= 1 {
			t.sendKnown(service)
		}
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.changed(c)
	}
}

// next returns the versions once the given ones are listed, without those that went long ago.
func (v versions) next(listed versions, now time.Time) versions {
	after := maps.Clone(listed)
	if after == nil {
		after = versions{}
	}
	for version, gone := range v {
		if gone.IsZero() {
			gone = now
		}
		if _, still := after[version]; !still && now.Sub(gone) < Retention {
			after[version] = gone
		}
	}
	return after
}

// sendKnown queues the origins of a service's streams that began here while it had one version.
func (t *Tracker) sendKnown(service string) {
	t.streams.All(func(s Stream, e entry) {
		if e.service == service {
			t.queue(Record{Stream: s, Version: e.version})
		}
	})
}

// Several reports whether a service has, or has had within Retention, several versions.
func (t *Tracker) Several(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.several(service, now)
}

func (t *Tracker) several(service string, now time.Time) bool {
	return lo.CountBy(lo.Values(t.services[service]), func(gone time.Time) bool { return gone.IsZero() || now.Sub(gone) < Retention }) > 1
}

// Began records that an endpoint of a version brought a stream's first event to this node, or an event
// of a stream that goes on.
func (t *Tracker) Began(s Stream, service, version string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams.Put(s, entry{version: version, service: service}, now)
	if len(t.services[service]) > 1 {
		t.queue(Record{Stream: s, Version: version})
	}
}

// queue queues a record to be sent after SendDelay.
func (t *Tracker) queue(r Record) {
	if len(t.unsent) >= maxUnsent {
		return // the stream stays known to this node alone
	}
	t.unsent = append(t.unsent, r)
	if t.signaled {
		return
	}
	t.signaled = true
	time.AfterFunc(SendDelay, t.urgent.Notify)
}

// Urgent signals records that are due to be sent.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

// Unsent returns the records to be sent now.
func (t *Tracker) Unsent() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := t.unsent
	t.unsent, t.signaled = nil, false
	return unsent
}

// Receive records what another node reported.
func (t *Tracker) Receive(records []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		e, known := t.streams.Get(r.Stream)
		if !known {
			e = entry{version: r.Version}
		}
		t.streams.Put(r.Stream, e, now)
	}
}

// Find returns what this node alone knows of a stream of the service.
func (t *Tracker) Find(s Stream, service string, now time.Time) Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.streams.Get(s); ok {
		return Known{Version: e.version}
	}
	if t.several(service, now) {
		return Several{}
	}
	return Sole{}
}
