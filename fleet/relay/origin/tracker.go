package origin

import (
	"maps"
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

// backupSettles is how long after a node has read versions from a backup the store's list of endpoints
// may lack entries that were written since the backup was made. They are written again.
const backupSettles = 2500 * time.Millisecond

// Change is a service of which several versions, or one, may have begun the streams from now on.
type Change struct {
	Service  string
	Versions []string // listed now or within Retention
	Sure     bool     // versions of before this node started are known
}

// Tracker tracks the origins of streams that a node knows. It is safe for concurrent use.
type Tracker struct {
	started time.Time
	changed func(Change)
	urgent  announce.Urgent
	renewed announce.Urgent // the versions changed
	news    announce.Urgent // a version that others may not list yet is to be announced

	mu        sync.Mutex
	services  map[string]versions
	engines   []engine.Engine         // as listed last
	read      map[string]time.Time    // names of incarnations whose entry has been read since, and when it was last listed
	elsewhere map[listing]toldListing // versions that other nodes or the store have listed lately
	basis     Basis                   // of the versions of before the node started; NoBasis: not known
	settled   time.Time               // from when the basis counts
	reported  map[string]bool         // services whose streams are reported
	streams   *recent.Map[Stream, entry]
	unsent    []Record
	signaled  bool // a signal for unsent is due
}

type entry struct {
	version string
	service string // "": reported by another node
	ended   bool   // its caller has all of it
}

// NewTracker returns an empty tracker of a node that started at a time, which calls changed on each
// change.
func NewTracker(started time.Time, changed func(Change)) *Tracker {
	return &Tracker{
		started: started, changed: changed, urgent: announce.NewUrgent(), renewed: announce.NewUrgent(), news: announce.NewUrgent(), services: map[string]versions{}, elsewhere: map[listing]toldListing{}, read: map[string]time.Time{}, reported: map[string]bool{},
		streams: recent.New[Stream, entry](maxRecords, Retention),
	}
}

// Engines sets the listed endpoints. Once several versions of a service may have begun its streams,
// their origins are reported to other nodes, also of those that began before.
func (t *Tracker) Engines(all []engine.Engine, now time.Time) {
	t.mu.Lock()
	t.engines = all
	listed := listedVersions(all)
	appeared := false
	for _, service := range lo.Union(lo.Keys(t.services), lo.Keys(listed)) {
		before := t.services[service]
		after := before.next(listed[service], now)
		t.services[service] = after.without(t.resolved(lo.Keys(after), now))
		appeared = appeared || len(lo.Without(lo.Keys(listed[service]), lo.Keys(before)...)) > 0
	}
	changes := t.review(now)
	t.mu.Unlock()
	t.notify(changes)
	if appeared {
		t.renewed.Notify()
		t.news.Notify()
	}
}

// News signals that a version is listed here that others may not list yet.
func (t *Tracker) News() <-chan struct{} { return t.news }

// Listed returns the versions that this node lists, of the services that had several within Retention: nodes
// that lag behind it are to know of them before they are asked about streams.
func (t *Tracker) Listed(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	several := lo.PickBy(t.services, func(_ string, v versions) bool { return len(v.names(now)) > 1 })
	return lo.MapValues(several, func(v versions, _ string) []string { return v.listed() })
}

// ListedOf returns the versions of one service that this node lists.
func (t *Tracker) ListedOf(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[service].listed()
}

// VersionsChanged signals that a version appeared that was not known.
func (t *Tracker) VersionsChanged() <-chan struct{} { return t.renewed }

// KnowEarlier adds the versions that served before this node started. The basis is what they rest on;
// NoBasis means that some may be missing, and VersionsInBackup that those since the backup will be listed
// within backupSettles.
func (t *Tracker) KnowEarlier(earlier map[string][]string, basis Basis, now time.Time) {
	t.mu.Lock()
	for service, names := range earlier {
		t.services[service] = t.services[service].with(lo.Without(names, t.resolved(names, now)...), now)
	}
	t.restOn(basis, now)
	changes := t.review(now)
	t.mu.Unlock()
	t.notify(changes)
}

// Learn adds versions that serve now, as another node or the store lists them. It returns those that were not
// known.
func (t *Tracker) Learn(listed map[string][]string, now time.Time) map[string][]string {
	t.mu.Lock()
	for service, names := range listed {
		for _, version := range names {
			if engine.IsUnread(version) {
				continue // no entry lists it
			}
			l := listing{service, version}
			t.elsewhere[l] = t.elsewhere[l].again(now)
		}
	}
	t.mu.Unlock()
	return t.Passed(listed, now)
}

// Passed adds versions that served until now. It returns those that were not known.
func (t *Tracker) Passed(served map[string][]string, now time.Time) map[string][]string {
	t.mu.Lock()
	unknown := map[string][]string{}
	for service, all := range served {
		names := lo.Without(all, t.resolved(all, now)...)
		if lacking := lo.Without(names, t.services[service].names(now)...); len(lacking) > 0 {
			unknown[service] = lacking
		}
		t.services[service] = t.services[service].seen(names, now)
	}
	changes := t.review(now)
	t.mu.Unlock()
	t.notify(changes)
	if len(unknown) > 0 {
		t.renewed.Notify()
	}
	return unknown
}

// resolved returns those names of unknown versions whose incarnation has an entry by now, or had one within
// Retention: their streams are of that entry's version. The lock is held.
func (t *Tracker) resolved(names []string, now time.Time) []string {
	unread := lo.Filter(names, func(name string, _ int) bool { return engine.IsUnread(name) })
	if len(unread) == 0 {
		return nil // the common case
	}
	maps.DeleteFunc(t.read, func(_ string, at time.Time) bool { return now.Sub(at) >= Retention })
	listed := lo.FilterMap(t.engines, func(e engine.Engine, _ int) (string, bool) {
		return engine.UnreadVersion(e.Incarnation()), !e.Unread
	})
	for _, name := range lo.Intersect(unread, listed) {
		t.read[name] = now
	}
	return lo.Filter(unread, func(name string, _ int) bool { return !t.read[name].IsZero() })
}

// ListedElsewhere reports whether another node, or the store, has just listed a version that this node does
// not.
func (t *Tracker) ListedElsewhere(service, version string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := listing{service, version}
	return t.elsewhere[l].isCurrent(now) && !t.lists(l)
}

// Behind reports whether others have listed a version for a while that this node does not list.
func (t *Tracker) Behind(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.elsewhere, func(_ listing, told toldListing) bool { return !told.isCurrent(now) })
	return lo.SomeBy(lo.Keys(t.elsewhere), func(l listing) bool {
		return now.Sub(t.elsewhere[l].first) >= behindAfter && !t.lists(l)
	})
}

// lists reports whether this node lists a version. The lock is held.
func (t *Tracker) lists(l listing) bool {
	gone, known := t.services[l.service][l.version]
	return known && gone.IsZero()
}

// restOn sets what the versions of before the node started rest on, unless that is known better.
func (t *Tracker) restOn(basis Basis, now time.Time) {
	switch {
	case basis == NoBasis, t.basis != NoBasis && t.basis != VersionsInBackup, t.basis == basis:
	case basis == VersionsInBackup:
		t.basis, t.settled = basis, now.Add(backupSettles)
	default:
		t.basis, t.settled = basis, time.Time{}
	}
}

// Review checks again for which services streams are reported, as time has passed.
func (t *Tracker) Review(now time.Time) {
	t.mu.Lock()
	changes := t.review(now)
	t.mu.Unlock()
	t.notify(changes)
}

// review returns the services whose streams begin or cease to be reported.
func (t *Tracker) review(now time.Time) []Change {
	var changes []Change
	for service, v := range t.services {
		names := v.names(now)
		if len(names) == 0 {
			delete(t.services, service)
		}
		report := len(names) > 1 || !t.sure(now)
		if report == t.reported[service] {
			continue
		}
		changes = append(changes, Change{Service: service, Versions: names, Sure: t.sure(now)})
		if t.reported[service] = report; report {
			t.sendKnown(service)
		}
	}
	return changes
}

func (t *Tracker) notify(changes []Change) {
	for _, c := range changes {
		t.changed(c)
	}
}

// sure reports whether the versions of the last Retention are known.
func (t *Tracker) sure(now time.Time) bool {
	return t.basis != NoBasis && !now.Before(t.settled) || now.Sub(t.started) >= Retention
}

// Sure reports whether the versions of the last Retention are known, and what that rests on.
func (t *Tracker) Sure(now time.Time) (Basis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case now.Sub(t.started) >= Retention:
		return VersionsObserved, true
	case !t.sure(now):
		return NoBasis, false
	}
	return t.basis, true
}

// Versions returns the versions that may have begun streams within Retention.
func (t *Tracker) Versions(now time.Time) Versions {
	t.mu.Lock()
	defer t.mu.Unlock()
	named := lo.MapValues(t.services, func(v versions, _ string) []string { return v.names(now) })
	return Versions{Services: lo.PickBy(named, func(_ string, names []string) bool { return len(names) > 0 }), Partial: t.basis == NoBasis && !t.sure(now)}
}

// sendKnown queues the origins of a service's streams that began here while nobody had to know, and
// may still be resumed.
func (t *Tracker) sendKnown(service string) {
	t.streams.All(func(s Stream, e entry) {
		if e.service == service && !e.ended {
			t.queue(Record{Stream: s, Version: e.version})
		}
	})
}

// ReportAgain queues the origins of all streams that began here, may still be resumed and are
// reported: what was known of them elsewhere may be lost.
func (t *Tracker) ReportAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.services {
		if t.reported[service] {
			t.sendKnown(service)
		}
	}
}

// Several reports whether several versions of a service may have begun a stream within Retention. That is
// so where their number is not known.
func (t *Tracker) Several(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sure(now) || len(t.services[service].names(now)) > 1
}

// Began records that an endpoint of a version brought a stream's first event to this node, or an event
// of a stream that goes on.
func (t *Tracker) Began(s Stream, service, version string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams.Put(s, entry{version: version, service: service}, now)
	if t.reported[service] {
		t.queue(Record{Stream: s, Version: version})
	}
}

// Ended records that a stream's caller has all of it.
func (t *Tracker) Ended(s Stream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.streams.Get(s); ok {
		e.ended = true
		t.streams.Put(s, e, now)
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
		if !known || engine.IsUnread(e.version) {
			e.version = r.Version
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
	names := t.services[service].names(now)
	switch {
	case len(names) > 1:
		return Several{}
	case !t.sure(now) || len(names) == 0:
		return Unsure{}
	}
	return Sole{}
}
