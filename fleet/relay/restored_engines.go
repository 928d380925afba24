package relay

import (
	"maps"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// A store that was restored from a backup holds entries of endpoints that are older than what nodes
// know. An endpoint that announced that it leaves goes on leaving. One whose entry was gone is not
// used before the entry had time to lapse again. One that registered since the backup was made stays
// in use until it had time to write its entry again.
const (
	relapseWindow    = 4 * time.Second         // three heartbeats and a round trip
	rewriteWindow    = 2500 * time.Millisecond // entries return some two seconds after the store does
	endedRetention   = time.Minute             // a backup is some seconds old
	leavingRetention = 10 * time.Minute        // an endpoint that leaves may serve on for minutes
)

// eraRecords holds by id what the table of endpoints remembers of incarnations beyond their
// entries.
type eraRecords struct {
	leaving  map[string]incarnationInEra // that announced that they leave
	gone     map[string]incarnationInEra // whose entries are gone
	unused   map[string]bool             // kept out of use, since their entries returned with a backup
	unlisted map[string]bool             // that a backup does not name, and that are in use
}

type incarnationInEra struct {
	engine.Incarnation
	era int64
	at  time.Time
}

func newEraRecords() eraRecords {
	return eraRecords{leaving: map[string]incarnationInEra{}, gone: map[string]incarnationInEra{}, unused: map[string]bool{}, unlisted: map[string]bool{}}
}

// ended records that an entry went, and drops the records that no backup can name any more.
func (l eraRecords) ended(e engine.Engine, now time.Time) {
	delete(l.unused, e.ID)
	delete(l.unlisted, e.ID)
	l.gone[e.ID] = incarnationInEra{Incarnation: e.Incarnation(), era: e.Seen.Era(), at: now}
	if last, ok := l.leaving[e.ID]; ok {
		last.at = now
		l.leaving[e.ID] = last
	}
	maps.DeleteFunc(l.gone, func(_ string, incarnation incarnationInEra) bool { return now.Sub(incarnation.at) > endedRetention })
	maps.DeleteFunc(l.leaving, func(_ string, incarnation incarnationInEra) bool { return now.Sub(incarnation.at) > leavingRetention })
}

// predates reports whether the record is of the same incarnation as an entry, and from an earlier
// era.
func (l incarnationInEra) predates(e engine.Engine) bool {
	return l.Incarnation == e.Incarnation() && l.era < e.Seen.Era()
}

// reconciled returns an entry corrected by what is known of its incarnation from an earlier era.
func (t *engineTable) reconciled(e engine.Engine, known, fromBackup bool) engine.Engine {
	delete(t.eras.unused, e.ID)
	if e.State == engine.Draining {
		if t.eras.leaving[e.ID].Incarnation != e.Incarnation() {
			t.eras.leaving[e.ID] = incarnationInEra{Incarnation: e.Incarnation(), era: e.Seen.Era(), at: clock.Now()}
		}
		return e
	}
	switch {
	case t.eras.leaving[e.ID].predates(e):
		t.logUnused(e, "it announced that it leaves")
		e.State = engine.Draining
	case !known && fromBackup && t.eras.gone[e.ID].predates(e):
		t.logUnused(e, "its entry was gone")
		e.State = engine.Draining
		t.eras.unused[e.ID] = true
		time.AfterFunc(relapseWindow, func() { t.useAgain(e.Incarnation()) })
	}
	return e
}

func (t *engineTable) logUnused(e engine.Engine, why string) {
	t.log.WithFields(engineFields(e)).WithField("revision", e.Seen.Number()).WithField("era", e.Seen.Era()).WithField("why", why).Info("endpoint not used, though the restored store lists it as ready")
}

// useAgain uses an endpoint whose entry returned with a backup and did not lapse.
func (t *engineTable) useAgain(incarnation engine.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.byName[incarnation.ID]
	if !known || e.Incarnation() != incarnation || !t.eras.unused[incarnation.ID] {
		return
	}
	delete(t.eras.unused, incarnation.ID)
	e.State = engine.Ready
	t.byName[incarnation.ID] = e
	t.log.WithFields(engineFields(e)).Info("endpoint whose entry returned with a backup of the store is alive: used again")
	t.publish()
}

// keepUnlisted keeps an endpoint in use that a backup does not name, until it had time to write its
// entry again.
func (t *engineTable) keepUnlisted(name string) {
	if t.withNotice(t.byName[name]).State != engine.Ready {
		t.drop(name)
		return
	}
	t.eras.unlisted[name] = true
	t.lapsed[name] = clock.Now().Add(rewriteWindow)
	time.AfterFunc(rewriteWindow, t.expire)
	t.log.WithField("endpoint", name).WithField("revision", t.revision.Number()).WithField("era", t.revision.Era()).WithField("keptMs", rewriteWindow.Milliseconds()).Info("endpoint kept, though the restored store does not name it")
}
