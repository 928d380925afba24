package relay

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// originKind is the store's kind of which versions serve, and of which version began each stream while
// several do. The store preserves them when all nodes are lost. Nodes read them when they start and
// when a stream is resumed that no node knows; none watches the kind.
const originKind = "lynxshed-origins"

// versionsName names the object with the versions of all services.
const versionsName = "versions"

// Intervals and timeouts of the origins in the store.
const (
	originStoreTimeout = time.Second
	originReadTimeout  = 300 * time.Millisecond  // while a caller waits
	sharedReadTimeout  = 500 * time.Millisecond  // for a read that begins once another has ended
	minConfirmInterval = 100 * time.Millisecond  // minimum between the starts of two reads that confirm versions
	confirmPerNode     = 2500 * time.Microsecond // the same for each node of the fleet: all nodes together list 800 times a second at most
	archiveTTL         = 500 * time.Millisecond  // for which a stream that is not in the last read is not looked up again
	archiveLifetime    = 2 * origin.Retention    // after which a read is dropped
	versionsInterval   = time.Second             // between two checks of the versions in the store
	versionsStandBy    = 1500 * time.Millisecond // after which the second keeper writes versions that the first has not
)

// originKeepers are the nodes that keep origins for the store.
type originKeepers interface {
	// KeeperRank returns this node's rank among them, from 0, or peer.NoKeeper.
	KeeperRank() int
	// Writes reports whether this node is a delegate.
	Writes() bool
	// ReportStored tells the others that the store has the records that arrived here until a time.
	ReportStored(until time.Time)
}

// originStore reads the origins of streams from the store, and writes those that this node keeps.
type originStore struct {
	*Node
	tracker *origin.Tracker
	keeper  *origin.Keeper
	keepers originKeepers

	mu      sync.Mutex
	archive *origin.Archive // nil: not read
	readAt  time.Time
	toldAll bool          // the read told all versions that have served lately
	reading chan struct{} // closed once the read in progress has ended; nil: none
	fresh   *store.SharedCall
	refresh func() // has the endpoints listed again

	// Used only by run.
	ring         *origin.Ring    // nil: to be listed before a write
	written      origin.Versions // in the store, as last read or written
	revision     store.Revision  // of that object; 0: there is none
	unrevised    bool            // there is one, of which not even the revision can be decoded
	era          int64           // of the store when that was read
	differsSince time.Time       // when they began to differ from those known here; zero: they don't
	failing      bool            // the last write failed
	renew        chan struct{}   // requests a read
}

func newOriginStore(n *Node, t *origin.Tracker, k *origin.Keeper, keepers originKeepers) *originStore {
	s := &originStore{Node: n, tracker: t, keeper: k, keepers: keepers, renew: make(chan struct{}, 1), refresh: func() {}}
	s.fresh = store.NewSharedCall(func() time.Duration { return confirmInterval(s.registry.Count()) }, s.readListed)
	return s
}

// restored handles a restore of the store from a backup: it may lack the latest records and versions.
func (s *originStore) restored() {
	s.tracker.ReportAgain()
	s.requestRead()
}

// reconnected handles a new list of endpoints: a version may have come and gone since what was read before. The
// nodes that others ask read that; in a small fleet these are all.
func (s *originStore) reconnected() {
	if s.keepers.Writes() {
		s.requestRead()
	}
}

func (s *originStore) requestRead() {
	select {
	case s.renew <- struct{}{}:
	default: // already signaled
	}
}

// run reads the origins until that has succeeded, and then writes those that this node keeps, until ctx
// ends.
func (s *originStore) run(ctx context.Context) {
	s.load(ctx)
	check := time.NewTicker(versionsInterval)
	defer check.Stop()
	var write <-chan time.Time // nil: no records wait
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.renew:
			s.load(ctx)
		case <-s.keeper.Wake():
			if write == nil { // further records don't prolong a wait
				write = time.After(origin.WriteInterval)
			}
		case <-write:
			s.writeRecords(ctx)
			write = nil
			if s.keeper.Waits() {
				write = time.After(origin.WriteInterval)
			}
		case <-s.tracker.VersionsChanged():
			s.writeVersions(ctx)
		case <-check.C:
			s.tracker.Review(clock.Now())
			s.writeVersions(ctx)
			s.dropArchive()
			s.catchUp()
		}
	}
}

// load reads the store until that succeeds.
func (s *originStore) load(ctx context.Context) {
	s.ring = nil
	for pause := firstWriteRetry; ctx.Err() == nil; pause = min(2*pause, maxLoadDelay) {
		bounded, cancel := context.WithTimeout(ctx, originStoreTimeout)
		stored, err := s.list(bounded)
		cancel()
		if err == nil {
			s.adopt(stored)
			return
		}
		s.log.WithField("dependency", "store").WithField("of", originKind).WithError(err).Warn("versions that served before this node started not read yet: streams that no node knows are not resumed")
		s.pauseRead(ctx, store.Jittered(pause))
	}
}

// pauseRead waits before the next attempt to read, until the store is reached again at most.
func (s *originStore) pauseRead(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.renew:
	case <-timer.C:
	}
}

// storedOrigins is what the store holds.
type storedOrigins struct {
	era       int64
	versions  origin.Versions
	revisions map[string]store.Revision // by name of object
	batches   []origin.Batch
	unrevised []string // names of objects of which not even the revision can be decoded
}

// list reads all objects, and keeps the records and versions among them.
func (s *originStore) list(ctx context.Context) (storedOrigins, error) {
	sent := clock.Now()
	objects, at, err := s.Node.store.Store.List(ctx, originKind)
	if err != nil {
		return storedOrigins{}, errors.Wrap(err, "read origins")
	}
	stored := s.decode(objects, at.Era())
	s.learnVersions(stored)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.archive, s.readAt, s.toldAll = origin.NewArchive(stored.batches), sent, stored.tellsAll()
	return stored, nil
}

// decode decodes the objects that can be decoded. Versions that can't be are not known.
func (s *originStore) decode(objects []store.Object, era int64) storedOrigins {
	stored := storedOrigins{era: era, revisions: map[string]store.Revision{}}
	for _, o := range objects {
		var err error
		var b origin.Batch
		stored.revisions[o.Name] = o.Revision
		if o.Name == versionsName {
			err = decodeOrigins(o, &stored.versions)
			stored.versions.Partial = stored.versions.Partial || err != nil
		} else if err = decodeOrigins(o, &b); err == nil {
			stored.batches = append(stored.batches, b)
		}
		if err != nil {
			s.faults.Report(o, "origins of streams", "nothing", err)
		}
		if o.Fault != "" && o.Revision.Number() == 0 {
			stored.unrevised = append(stored.unrevised, o.Name)
		}
	}
	return stored
}

func decodeOrigins(o store.Object, to any) error {
	if err := o.Readable(); err != nil {
		return err
	}
	return errors.Wrapf(store.Unmarshal(o.Data, to), "decode %s %s", o.Kind, o.Name)
}

// fromBackup reports whether the versions were written before the store was restored: they may lack later
// ones.
func (o storedOrigins) fromBackup() bool {
	_, exists := o.revisions[versionsName]
	return exists && o.versions.Era < o.era
}

// tellsAll reports whether no version can be missing that came or went lately.
func (o storedOrigins) tellsAll() bool {
	_, exists := o.revisions[versionsName]
	return exists && !o.versions.Partial && !o.fromBackup()
}

// learnVersions adds the versions in the store to those known here. Where it holds none, a node of a
// fleet that starts for the first time knows that none served before.
func (s *originStore) learnVersions(stored storedOrigins) {
	basis := origin.NoBasis
	_, exists := stored.revisions[versionsName]
	switch {
	case exists && !stored.versions.Partial:
		basis = lo.Ternary(stored.fromBackup(), origin.VersionsInBackup, origin.VersionsInStore)
	case s.settings.Bootstrap:
		basis = origin.VersionsObserved
	}
	s.tracker.KnowEarlier(stored.versions.Services, basis, clock.Now())
}

// adopt records which versions the store holds, before this node writes them.
func (s *originStore) adopt(stored storedOrigins) {
	s.written, s.revision, s.era = stored.versions, stored.revisions[versionsName], stored.era
	s.unrevised = lo.Contains(stored.unrevised, versionsName)
	s.log.WithFields(log.Fields{"services": s.written.Services, "partial": s.written.Partial, "fromBackup": stored.fromBackup(), "batches": len(stored.batches), "revision": s.revision.Number()}).Info("versions that served before, and origins of streams, read from the store")
}

// known looks a stream up in the last read.
func (s *originStore) known(of origin.Stream) (origin.Known, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, ok := s.archive.Find(of)
	return origin.Known{Version: version}, ok
}

// find looks a stream up, in a new read if the last one is old.
func (s *originStore) find(ctx context.Context, of origin.Stream) (origin.Known, bool) {
	if known, ok := s.known(of); ok {
		return known, true
	}
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	if !s.read(ctx) {
		return origin.Known{}, false
	}
	return s.known(of)
}

// read reads the store unless the last read is recent. Callers that wait at the same time share a read.
// It reports whether there is a recent one.
func (s *originStore) read(ctx context.Context) bool {
	s.mu.Lock()
	if s.archive != nil && clock.Since(s.readAt) < archiveTTL {
		s.mu.Unlock()
		return true
	}
	done := s.reading
	if done == nil {
		done = make(chan struct{})
		s.reading = done
		go s.readOnce(done)
	}
	s.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *originStore) readOnce(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), originReadTimeout)
	defer cancel()
	if _, err := s.list(ctx); err != nil {
		s.log.WithField("dependency", "store").WithField("of", originKind).WithError(err).Warn("origins of streams not read")
	}
	s.mu.Lock()
	s.reading = nil
	s.mu.Unlock()
	close(done)
}

// confirmInterval returns the minimum time between the starts of two reads that confirm versions, at each of a
// number of nodes.
func confirmInterval(nodes int) time.Duration {
	return max(minConfirmInterval, time.Duration(nodes)*confirmPerNode)
}

// confirm reads the store once more, from now on: the origins, and the versions of the endpoints that it lists.
// It reports whether these are all versions that have served lately.
func (s *originStore) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, sharedReadTimeout)
	defer cancel()
	return s.fresh.Do(ctx)
}

// toldAllSince reports whether the last read of the origins began since a time, and told all versions.
func (s *originStore) toldAllSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.toldAll && !s.readAt.Before(t)
}

// readListed adds the versions of the endpoints that the store lists now to those known here, and reads the
// origins.
func (s *originStore) readListed() bool {
	ctx, cancel := context.WithTimeout(context.Background(), originReadTimeout)
	defer cancel()
	var stored storedOrigins
	var originsErr error
	var reads sync.WaitGroup
	reads.Go(func() { stored, originsErr = s.list(ctx) })
	objects, _, err := s.Node.store.Store.List(ctx, s.adapter.EngineKind())
	reads.Wait()
	if err = errors.CombineErrors(err, originsErr); err != nil {
		s.log.WithField("dependency", "store").WithField("of", originKind).WithError(err).Warn("versions that serve not confirmed: streams that no node knows are resumed only if nodes of all zones know of one version")
		return false
	}
	s.tracker.Learn(s.versionsIn(objects), clock.Now())
	return stored.tellsAll()
}

// versionsIn returns the versions of endpoints by service. Entries that can't be read name none.
func (s *originStore) versionsIn(objects []store.Object) map[string][]string {
	versions := map[string][]string{}
	for _, o := range objects {
		if e, err := s.adapter.Engine(o, clock.Now()); err == nil && !lo.Contains(versions[e.Service], e.Version) {
			versions[e.Service] = append(versions[e.Service], e.Version)
		}
	}
	return versions
}

// catchUp has the endpoints listed again if others have listed a version for a while that this node does not.
func (s *originStore) catchUp() {
	if s.tracker.Behind(clock.Now()) {
		s.refresh()
	}
}

// dropArchive frees a read that no stream can need any more.
func (s *originStore) dropArchive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.archive != nil && clock.Since(s.readAt) > archiveLifetime {
		s.archive = nil
	}
}

// writeRecords writes the records that are due.
func (s *originStore) writeRecords(ctx context.Context) {
	records, until := s.keeper.Due(clock.Now())
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout)
	defer cancel()
	err := s.writeBatch(ctx, records)
	if errors.Is(err, store.ErrConflict) { // another keeper took that object
		s.ring = nil
		err = s.writeBatch(ctx, records)
	}
	s.logWrites(err, len(records))
	if err != nil {
		s.ring = nil
		return
	}
	s.keeper.Written(len(records))
	s.keepers.ReportStored(until)
}

func (s *originStore) writeBatch(ctx context.Context, records []origin.Record) error {
	if s.ring == nil {
		stored, err := s.list(ctx)
		if err != nil {
			return err
		}
		if err := s.removeUnrevised(ctx, lo.Intersect(stored.unrevised, origin.SlotNames)); err != nil {
			return err
		}
		s.ring = new(origin.NewRing(stored.revisions))
	}
	next := s.ring.With(records, clock.Now())
	name, revision, batch := next.Current()
	data, err := json.Marshal(batch)
	if err != nil {
		return errors.Wrap(err, "encode origins")
	}
	after, err := s.Node.store.Put(ctx, store.Object{Kind: originKind, Name: name, Revision: revision, Data: data})
	if err != nil {
		return errors.Wrapf(err, "write origins as %s", name)
	}
	s.ring = new(next.Written(after.Revision))
	return nil
}

// removeUnrevised removes objects in the place of others: without a revision they can't be replaced.
func (s *originStore) removeUnrevised(ctx context.Context, names []string) error {
	for _, name := range names {
		if err := ignoreNotFound(s.Node.store.Delete(ctx, originKind, name)); err != nil {
			return errors.Wrapf(err, "remove %s, which can't be decoded", name)
		}
	}
	return nil
}

// logWrites logs that writes begin to fail, or succeed again.
func (s *originStore) logWrites(err error, records int) {
	entry := s.log.WithField("dependency", "store").WithField("of", originKind).WithField("records", records)
	switch {
	case err != nil && !s.failing:
		entry.WithError(err).Warn("origins of streams not written: tried again")
	case err == nil && s.failing:
		entry.Info("origins of streams written again")
	}
	s.failing = err != nil
}

// writeVersions writes the versions known here if they differ from those in the store and no other node
// does it. Before this node has read them it does not know what it would overwrite.
func (s *originStore) writeVersions(ctx context.Context) {
	if !s.differs() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout)
	defer cancel()
	switch rank := s.keepers.KeeperRank(); {
	case rank == peer.NoKeeper, rank > 0 && clock.Since(s.differsSince) < versionsStandBy:
		return
	case rank > 0 && (!s.readVersions(ctx) || !s.differs()):
		return // another node has written them
	}
	versions := s.versions(clock.Now())
	data, err := json.Marshal(versions)
	if err != nil {
		s.log.WithError(err).Warn("versions of services not encoded")
		return
	}
	after, err := s.Node.store.Put(ctx, store.Object{Kind: originKind, Name: versionsName, Revision: s.revision, Data: data})
	switch {
	case errors.Is(err, store.ErrConflict):
		s.readVersions(ctx) // what another node has added is written, too, the next time
		if s.unrevised {
			err = s.removeUnrevised(ctx, []string{versionsName})
			s.log.WithError(err).WithField("name", versionsName).Warn("versions of services that can't be decoded removed, to be written anew")
		}
	case err != nil:
		s.log.WithField("dependency", "store").WithField("of", originKind).WithError(err).Warn("versions of services not written yet")
	default:
		s.written, s.revision, s.differsSince = versions, after.Revision, time.Time{}
		s.log.WithFields(log.Fields{"services": versions.Services, "partial": versions.Partial, "revision": after.Revision.Number()}).Info("versions of services written to the store")
	}
}

// versions returns the versions known here as the store is to keep them. A node that knows those of a
// backup alone does not vouch for the era since.
func (s *originStore) versions(now time.Time) origin.Versions {
	v := s.tracker.Versions(now)
	v.Era = s.written.Era
	if _, sure := s.tracker.Sure(now); sure {
		v.Era = s.era
	}
	return v
}

// differs reports whether the versions known here differ from those in the store, and records since when.
func (s *originStore) differs() bool {
	now := clock.Now()
	switch {
	case s.versions(now).Equal(s.written):
		s.differsSince = time.Time{}
		return false
	case s.differsSince.IsZero():
		s.differsSince = now
	}
	return true
}

// readVersions reads the versions in the store and adds them to those known here.
func (s *originStore) readVersions(ctx context.Context) bool {
	stored, err := s.list(ctx)
	if err != nil {
		s.log.WithField("dependency", "store").WithField("of", originKind).WithError(err).Warn("versions of services not read")
		return false
	}
	s.adopt(stored)
	return true
}
