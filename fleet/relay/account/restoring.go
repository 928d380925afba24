package account

import (
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// How long nothing is drawn after the store was restored from a backup.
const (
	writeBackDelay = time.Second     // for other nodes to write back what they know
	unclaimedDelay = 2 * time.Second // on a node without a known ledger, if no node has written it back
)

// newEra reports whether the store was restored from a backup since this node last read the ledger.
func (s *Syncer) newEra() bool {
	return store.Revision(s.lastRead.Load()).IsOfEraBefore(store.At(s.era(), 0))
}

// receiveNone records that the store has no ledger.
func (s *Syncer) receiveNone() error {
	if at := store.At(s.era(), 0); s.revision.Era() < at.Era() {
		s.apply(Ledger{}, at)
		return nil
	}
	s.ledger, s.stored, s.revision, s.fresh = Ledger{}, Ledger{}, store.At(s.era(), 0), true
	s.lastRead.Store(int64(s.revision))
	return nil
}

// apply applies the ledger that the store holds.
func (s *Syncer) apply(l Ledger, at store.Revision) {
	if s.revision.IsOfEraBefore(at) {
		s.restored(l, at)
	}
	if s.revision == 0 {
		s.firstRead(l, at)
	}
	s.stored = l
	if s.earlier.Revision > 0 {
		l = s.mergeEarlier(l, at)
	}
	s.ledger, s.revision, s.fresh = l, at, true
	s.lastRead.Store(int64(at))
	s.allowance.Apply(l, at)
}

// firstRead delays draws where the first ledger that this node reads went through a backup, so that
// nodes that know more can write it back.
func (s *Syncer) firstRead(l Ledger, at store.Revision) {
	switch {
	case l.Origin.fromBackup(at):
		s.pausedUntil = clock.Now().Add(unclaimedDelay)
		s.log.WithFields(s.originFields(l, at)).Warn("accounts: ledger was restored from a backup and this node has no newer one: drawing is paused so that other nodes can write theirs back")
	case l.Origin.Base > 0:
		s.pausedUntil = clock.Now().Add(writeBackDelay)
	}
}

// restored records that the store was restored from a backup since the ledger was last read.
func (s *Syncer) restored(l Ledger, at store.Revision) {
	if s.earlier.Revision == 0 { // otherwise the ledger contains what was known before, not written back yet
		s.earlier.Revision = s.revision
	}
	s.earlier.Ledger = s.ledger
	s.pausedUntil = clock.Now().Add(writeBackDelay)
	s.log.WithFields(s.originFields(l, at)).WithField("known", s.revision.Number()).WithField("knownEra", s.revision.Era()).
		WithField("included", l.Includes(s.earlier, at)).Warn("accounts: store was restored from a backup: writing back the ledger known to this node")
}

func (s *Syncer) originFields(l Ledger, at store.Revision) log.Fields {
	return log.Fields{
		"revision": at.Number(), "era": at.Era(), "writtenInEra": l.Origin.Era, "told": l.Origin.Recorded, "base": l.Origin.Base.Number(), "baseEra": l.Origin.Base.Era(),
	}
}

// mergeEarlier returns the ledger merged with what this node knows of an earlier era. That is
// dropped once the store's ledger contains it.
func (s *Syncer) mergeEarlier(l Ledger, at store.Revision) Ledger {
	limits := s.allowance.Limits()
	if l.Origin.Recorded && l.Origin.Era == at.Era() && l.Includes(s.earlier, at) && l.showsLimits(s.allowance.incarnation, limits) {
		s.earlier = KnownLedger{}
		return l
	}
	return l.Merge(s.earlier, at).WithLimits(s.allowance.node, s.allowance.incarnation, limits)
}

// showsLimits reports whether a ledger shows the limits of an incarnation.
func (l Ledger) showsLimits(incarnation string, limits map[string]int64) bool {
	for tenant, limit := range limits {
		if row, known := l.Account(tenant).Row(incarnation); !row.shows(limit, known) {
			return false
		}
	}
	return true
}

// writesBack reports whether the ledger is to be written even if nothing is to be drawn: it lacks
// what this node knows, or no node has written it since it was restored from a backup.
func (s *Syncer) writesBack(now time.Time) bool {
	if s.earlier.Revision > 0 {
		return true
	}
	return s.ledgerFromBackup() && !now.Before(s.pausedUntil)
}

// proposalBase returns the ledger on which this node bases its proposal.
func (s *Syncer) proposalBase(now time.Time) Ledger {
	if s.earlier.Revision > 0 || !s.ledgerFromBackup() || now.Before(s.pausedUntil) {
		return s.ledger
	}
	l := s.ledger.WithUnclaimed(s.allowance.tuning)
	s.log.WithFields(s.originFields(l, s.revision)).WithField("tokens", l.drawnBeyond(s.ledger)).Warn("accounts: no node has written the ledger back: tokens possibly drawn since the backup count as spent")
	return l
}

// drawnBeyond returns by tenant how much more the ledger shows as drawn than another one.
func (l Ledger) drawnBeyond(other Ledger) map[string]int64 {
	more := map[string]int64{}
	for _, a := range l.Accounts {
		if tokens := a.Drawn() - other.Account(a.Tenant).Drawn(); tokens > 0 {
			more[a.Tenant] = tokens
		}
	}
	return more
}

// ledgerFromBackup reports whether no node has written the ledger since it was restored from a backup.
func (s *Syncer) ledgerFromBackup() bool {
	return s.stored.Origin.fromBackup(s.revision)
}

// drawingPaused reports whether drawing is paused, since the ledger may lack what others have drawn.
func (s *Syncer) drawingPaused(now time.Time) bool {
	return now.Before(s.pausedUntil) || s.earlier.Revision > 0
}
