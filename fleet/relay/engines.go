package relay

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Entries lapse together when the store is unavailable for longer than they last without a
// heartbeat. An entry that goes while most entries of its service stay belongs to an endpoint
// that has left, also while the store is suspected: it is dropped at once, so that the time limit
// for leaving endpoints holds.

// lapseShare is the share of the time limit for leaving endpoints for which an entry that went
// while the store was suspected stays in use. Entries lapse while the store is unavailable, though
// their endpoints run, and return some two seconds after the store does. An endpoint that really
// left is bound by the whole time limit.
const lapseShare = 0.7

// engineTable builds the directory of endpoints from the store's changes. It is safe for
// concurrent use: a timer drops lapsed entries.
type engineTable struct {
	*Node
	mu               sync.Mutex
	byName           map[string]engine.Engine
	lapsed           map[string]time.Time // entries that went while the store was suspected, and when they are dropped
	revision         store.Revision
	requestingOrders bool          // the orders are being requested again
	listed           chan struct{} // closed once the endpoints were listed
	relisted         bool          // the next list is not the first
	once             sync.Once
	births           map[string]int64           // the last known birth by id
	withoutBirth     map[string]bool            // ids without a birth: in use (true) or kept out of use (false)
	usedVersions     map[string]map[string]bool // versions that may get work, by service, while any endpoint runs them
	passed           []engine.Engine            // entries in the changes that are being applied
	eras             eraRecords
}

func newEngineTable(n *Node) *engineTable {
	return &engineTable{Node: n, byName: map[string]engine.Engine{}, lapsed: map[string]time.Time{}, listed: make(chan struct{}), births: map[string]int64{}, withoutBirth: map[string]bool{}, usedVersions: map[string]map[string]bool{}, eras: newEraRecords()}
}

func (t *engineTable) apply(c store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c := c.(type) {
	case store.Snapshot:
		t.confirmation.enginesReceived()
		fromBackup := t.revision.IsOfEraBefore(c.Revision)
		t.revision = c.Revision
		t.replace(c.Objects, fromBackup)
		t.once.Do(func() { close(t.listed) })
		if t.relisted && t.origins != nil {
			t.origins.store.reconnected()
		}
		t.relisted = true
	case store.Update:
		t.revision = c.Revision
		for _, e := range c.Events {
			t.change(e)
		}
	case store.Lost:
		t.log.WithField("dependency", "store").WithField("of", "endpoints").WithError(c.Err).Warn("lost")
		return
	}
	t.publish()
	t.learnPassed()
}

// learnPassed records the versions of all entries that the changes had, also of those that are gone by now, but
// not of those that are kept out of use.
func (t *engineTable) learnPassed() {
	foreign := t.foreign()
	served := map[string][]string{}
	for _, e := range t.passed {
		if now, known := t.byName[e.ID]; !foreign[e.ID] && (known && now.Born == e.Born || e.Born != 0 || !t.tellBirths(e.Service)) {
			served[e.Service] = append(served[e.Service], e.Version)
		}
	}
	if t.origins != nil {
		t.origins.tracker.Passed(served, clock.Now())
	}
	t.passed = nil
}

// listTimeout bounds how long the orders of rollouts wait for the first list of endpoints.
const listTimeout = time.Second

// awaitListed returns once the endpoints were listed, or after listTimeout.
func (t *engineTable) awaitListed(ctx context.Context) {
	timer := time.NewTimer(listTimeout)
	defer timer.Stop()
	select {
	case <-t.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// replace applies a whole list; an entry that it does not name is gone.
func (t *engineTable) replace(objects []store.Object, fromBackup bool) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		t.put(o, fromBackup)
	}
	for name := range t.byName {
		switch {
		case listed[name]:
		case fromBackup:
			t.keepUnlisted(name)
		default:
			t.gone(name)
		}
	}
}

func (t *engineTable) change(e store.Event) {
	if e.Gone {
		t.faults.Gone(e.Object)
		t.gone(e.Object.Name)
		return
	}
	t.put(e.Object, false)
}

// put applies an entry. An unreadable one names no endpoint, whatever it held before, also while
// the store is suspected.
func (t *engineTable) put(o store.Object, fromBackup bool) {
	before, known := t.byName[o.Name]
	unrevised := o.Fault != "" && o.Revision.Number() == 0 // not even its revision can be decoded
	if known && o.Revision < before.Seen && !unrevised {
		t.log.WithField("endpoint", o.Name).WithField("revision", o.Revision.Number()).WithField("known", before.Seen.Number()).Info("entry of an endpoint ignored: older than the one known")
		return
	}
	if known && before.Unread && o.Revision == before.Seen {
		return // the endpoint has told since that it restarted
	}
	e, err := t.adapter.Engine(o, clock.Now())
	if err != nil {
		t.faults.Report(o, "endpoint", "no endpoint", err)
		if known {
			t.drop(o.Name)
		}
		return
	}
	t.faults.Resolve(o)
	delete(t.lapsed, o.Name)
	delete(t.eras.unlisted, o.Name)
	e = t.reconciled(t.trackIncarnation(before, known, e), known, fromBackup)
	if !known || before.State != e.State || turnedCold(before, e) {
		t.log.WithFields(engineFields(e)).Info("endpoint seen")
	}
	t.byName[o.Name] = e
	t.passed = append(t.passed, e)
}

// turnedCold reports whether the entry of an endpoint newly signals a cold start.
func turnedCold(before, e engine.Engine) bool {
	return clock.Now().Before(e.ColdUntil) && !clock.Now().Before(before.ColdUntil)
}

// gone drops an endpoint, or keeps it for a while if its entry may have lapsed because the store
// was unavailable. One that was leaving is dropped at once.
func (t *engineTable) gone(name string) {
	e, known := t.byName[name]
	if !known || !t.lapsed[name].IsZero() {
		return
	}
	if t.withNotice(e).State != engine.Ready || !t.health.Suspected() {
		t.drop(name)
		return
	}
	wait := fraction(lapseShare, t.settings.LeavingLimit())
	t.lapsed[name] = clock.Now().Add(wait)
	time.AfterFunc(wait, t.expire)
	t.log.WithField("endpoint", name).WithField("revision", t.revision.Number()).WithField("keptMs", wait.Milliseconds()).Info("entry of an endpoint went while the store was suspected: endpoint kept")
}

func (t *engineTable) drop(name string) {
	t.eras.ended(t.byName[name], clock.Now())
	delete(t.byName, name)
	delete(t.lapsed, name)
	delete(t.births, name)
	delete(t.withoutBirth, name)
	t.log.WithField("endpoint", name).Info("endpoint gone")
}

// expire drops the lapsed entries that have not returned in time.
func (t *engineTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	for name, until := range t.lapsed {
		if !now.Before(until) {
			t.drop(name)
		}
	}
	t.publish()
}

// partlyLapsed names the services of which more endpoints are listed than lapsed.
func (t *engineTable) partlyLapsed() map[string]bool {
	lapsed, listed := map[string]int{}, map[string]int{}
	for name, e := range t.byName {
		if t.lapsed[name].IsZero() {
			listed[e.Service]++
			continue
		}
		lapsed[e.Service]++
	}
	return lo.PickBy(lo.MapValues(lapsed, func(n int, service string) bool { return listed[service] > n }), func(_ string, partly bool) bool { return partly })
}

// refresh publishes the directory again after evacuations, orders, warnings or notices changed.
func (t *engineTable) refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision > 0 {
		t.publish()
	}
}

// publish stores the new directory and notifies all who depend on it. No call is sent before the
// node knows which zones and which versions are to get no new work.
func (t *engineTable) publish() {
	if t.evacuations.Load() == nil || t.rollouts.Load() == nil {
		return
	}
	zones := t.evacuated()
	all := make([]engine.Engine, 0, len(t.byName))
	partly, foreign := t.partlyLapsed(), t.foreign()
	for _, e := range t.byName {
		if !t.lapsed[e.ID].IsZero() && partly[e.Service] && !t.eras.unlisted[e.ID] || foreign[e.ID] {
			continue
		}
		e = t.withNotice(e)
		if e.State == engine.Ready && zones.Active(e.Zone) {
			e.State = engine.Evacuated
		}
		e.ReturnedAt = zones.ReturnedAt(e.Zone)
		all = append(all, e)
	}
	d := t.byVersion(engine.NewDirectory(t.revision, all))
	if t.origins != nil { // a version is known to serve before calls may find it
		t.origins.tracker.Engines(d.All(), clock.Now())
		t.origins.announce()
	}
	t.engines.Store(d)
	if t.reachability != nil {
		t.reachability.Engines(d.All(), clock.Now())
	}
	if t.suspicions != nil {
		t.suspicions.Engines(d.All())
	}
	if t.limits != nil {
		t.limits.Engines(d.All())
	}
	if t.notices != nil {
		t.notices.Engines(d.All(), clock.Now())
	}
	if t.quarantine != nil {
		t.quarantine.Engines(d.All(), clock.Now())
	}
	t.picker.Forget(func(id string) bool {
		_, ok := d.Get(id)
		return ok
	})
}
