package account

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Kind and name of the ledger in the store.
const (
	Kind       = "lynxshed-accounts"
	ledgerName = "book" // can't change: existing budgets are stored under it
)

// How often a syncer checks the allowance and writes the ledger. Intervals grow with the number of
// nodes, since all write one object.
const (
	checkInterval   = 150 * time.Millisecond
	idleInterval    = 1100 * time.Millisecond // minimum between writes that no request waits for
	idlePerNode     = 250 * time.Millisecond
	lowInterval     = 500 * time.Millisecond // while a holding is far below its target
	lowPerNode      = 80 * time.Millisecond
	urgentInterval  = 300 * time.Millisecond // after requests lacked tokens
	urgentPerNode   = 50 * time.Millisecond
	waitingInterval = 100 * time.Millisecond // while a request waits
	waitingPerNode  = 10 * time.Millisecond
	conflictPause   = 5 * time.Millisecond // maximum, per writing node
	maxConflicts    = 3                    // attempts in a row before the syncer pauses, outside of slots
)

// Timeouts and limits of the syncer.
const (
	callTimeout = 700 * time.Millisecond
	drawTimeout = 60 * time.Millisecond // how long a request waits for a draw
	maxWaiting  = 64                    // requests that may wait for a draw
	noLimit     = time.Minute           // longer than a round
	maxBackoff  = 2 * time.Second

	unreadablePause = time.Second // before an unreadable ledger is read again
)

// Writers connects the nodes that write the ledger. Without it, each write after another node's
// write would conflict just to learn of that one.
type Writers interface {
	// Newer returns the ledger's object if another writer has a newer one.
	Newer(ctx context.Context, revision store.Revision) (store.Object, bool)
	// Wrote announces a newer object to the other writers and keeps it for them.
	Wrote(o store.Object)
}

// Syncer moves tokens between the store's ledger and an allowance.
type Syncer struct {
	store       store.Store
	allowance   *Allowance
	nodes       func() int
	writes      func() bool // whether this node draws from the ledger or acquires from nodes that do
	writers     Writers
	slot        func() Slot
	written     <-chan struct{} // signals that another writer wrote, which resets the slots
	retryWithin atomic.Int64    // ns from its start within which a round may retry after a conflict
	health      *store.Health
	log         log.Interface
	faults      *store.Faults

	draws chan chan struct{} // requests that wait for a draw

	stop        context.Context // ends when the node leaves, which also ends a running round
	cancel      context.CancelFunc
	rounds      sync.Mutex // held during a round
	leaving     bool       // the node is leaving
	ledger      Ledger     // last read from the store, merged with what this node knows of earlier eras
	revision    store.Revision
	fresh       bool         // ledger and revision are as last read from the store
	era         func() int64 // newest known era of the store
	earlier     KnownLedger  // ledger of an earlier era, until the store's ledger contains it
	stored      Ledger       // last read from the store
	pausedUntil time.Time    // end of the pause in which other nodes write back what they had drawn
	lastRound   time.Time    // start of the last round
	dropped     store.Dropped
	answered    time.Time    // when the store last answered, or this node last had nothing to request
	unavailable atomic.Bool  // the store does not answer
	lastRead    atomic.Int64 // revision, for use outside of a round
}

// NewSyncer returns a syncer. The function nodes returns how many nodes share the budgets, and
// writes reports whether this one draws from the ledger.
func NewSyncer(backend store.Store, p *Allowance, nodes func() int, writes func() bool, health *store.Health, l log.Interface) *Syncer {
	stop, cancel := context.WithCancel(context.Background())
	s := &Syncer{
		store: backend, allowance: p, nodes: nodes, writes: writes, writers: noWriters{}, slot: func() Slot { return Slot{} }, health: health, log: l, faults: store.NewFaults(l, nil),
		draws: make(chan chan struct{}, maxWaiting), stop: stop, cancel: cancel, answered: clock.Now(), dropped: store.Dropped{Log: l}, era: func() int64 { return 0 },
	}
	s.retryWithin.Store(int64(noLimit))
	return s
}

// WithFaults reports an unreadable ledger together with the node's other faulty entries.
func (s *Syncer) WithFaults(f *store.Faults) *Syncer {
	s.faults = f
	return s
}

// WithEras enables writing the ledger back after the store was restored from a backup. Call it
// before Run.
func (s *Syncer) WithEras(e *store.Eras) *Syncer {
	s.era = e.Newest
	return s
}

// WithWriters announces writes to the other writers of the ledger and receives theirs.
func (s *Syncer) WithWriters(w Writers) *Syncer {
	s.writers = w
	return s
}

// WithSlots restricts writes to this node's slots, unless a request waits. The channel written
// signals that the slots have changed.
func (s *Syncer) WithSlots(slot func() Slot, written <-chan struct{}) *Syncer {
	s.slot, s.written = slot, written
	return s
}

// noWriters is used where there are no other writers.
type noWriters struct{}

func (noWriters) Newer(context.Context, store.Revision) (store.Object, bool) {
	return store.Object{}, false
}
func (noWriters) Wrote(store.Object) {}

// Run keeps the allowance filled until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	timer := time.NewTimer(store.Jittered(checkInterval))
	defer timer.Stop()
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		var draws []chan struct{}
		select {
		case <-ctx.Done():
			return
		case done := <-s.draws:
			draws = s.collectDraws(done)
		case <-s.written:
		case <-timer.C:
			timer.Reset(store.Jittered(checkInterval))
		}
		switch now, waiting := clock.Now(), len(draws) > 0; {
		case s.newEra() && backoff == 0: // outside of the slot, and even if there is nothing to draw
			s.lastRound = now
			backoff = s.runInSlot(ctx, now, backoff, true)
		case now.Sub(s.lastRound) < max(s.writeInterval(waiting), backoff):
		case !waiting && s.slot().wait(now) > 0:
			timer.Reset(s.slot().wait(now))
		default:
			s.lastRound = now
			backoff = s.runInSlot(ctx, now, backoff, waiting)
		}
		for _, done := range draws {
			close(done)
		}
	}
}

// collectDraws collects all requests that wait for a draw.
func (s *Syncer) collectDraws(first chan struct{}) []chan struct{} {
	pauseBriefly() // more may arrive together with it
	draws := []chan struct{}{first}
	for {
		select {
		case done := <-s.draws:
			draws = append(draws, done)
		default:
			return draws
		}
	}
}

// Draw triggers a write of the ledger for a request that lacks a tenant's tokens, if this node
// draws them, the store answers and the pool is not empty. It returns when the write is done, or
// after a short timeout.
func (s *Syncer) Draw(ctx context.Context, tenant string) {
	if s.Unavailable() || s.allowance.State(tenant).Pool <= 0 || !s.writes() {
		return
	}
	done := make(chan struct{})
	select {
	case s.draws <- done:
	default: // too many requests wait
		return
	}
	timer := time.NewTimer(drawTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeInterval returns the interval between writes. It grows with the number of nodes, so that they
// seldom collide.
func (s *Syncer) writeInterval(waiting bool) time.Duration {
	switch {
	case waiting:
		return waitingInterval + time.Duration(s.nodes())*waitingPerNode
	case s.allowance.HasShortfall():
		return urgentInterval + time.Duration(s.nodes())*urgentPerNode
	case s.allowance.Low(s.nodes(), clock.Now()):
		return lowInterval + time.Duration(s.nodes())*lowPerNode
	default:
		return max(idleInterval, time.Duration(s.nodes())*idlePerNode)
	}
}

// runInSlot runs one round. A write that conflicts in its slot waits for the next slot, since an
// immediate retry would conflict with the writer whose slot it is now. A write that a request
// waits for is retried if that can finish while the request waits.
func (s *Syncer) runInSlot(ctx context.Context, now time.Time, backoff time.Duration, waiting bool) time.Duration {
	retryWithin := time.Duration(0)
	switch {
	case s.slot().cycle() == 0:
		retryWithin = noLimit
	case waiting:
		retryWithin = drawTimeout
	}
	s.retryWithin.Store(int64(retryWithin))
	return s.round(ctx, now, backoff)
}

func (s *Syncer) round(ctx context.Context, now time.Time, backoff time.Duration) time.Duration {
	if s.stop.Err() != nil {
		return 0 // Leave runs the last round
	}
	s.rounds.Lock()
	defer s.rounds.Unlock()
	// A node that gets no answer goes on, to notice the end of the outage.
	if s.leaving || !s.writes() && !s.allowance.HoldsRow() && !s.Unavailable() {
		s.answered = now // a node without requests can't observe an outage
		return 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.stop, cancel)()
	err := s.sync(ctx, now, false)
	unreadable := errors.Is(err, errUnreadable)
	if err == nil || unreadable || errors.Is(err, store.ErrConflict) { // a conflict is an answer as well
		s.setUnavailable(false, nil)
		s.answered = now
		return lo.Ternary(unreadable, unreadablePause, 0)
	}
	if s.health.Stalled(now) {
		return urgentInterval // the round timed out because the process stalled: try the store again first
	}
	s.setUnavailable(true, err)
	return min(max(2*backoff, urgentInterval), maxBackoff)
}

// Unavailable reports whether the store did not answer the last time.
func (s *Syncer) Unavailable() bool { return s.unavailable.Load() }

// setUnavailable records whether the store is unavailable, and logs changes.
func (s *Syncer) setUnavailable(unavailable bool, err error) {
	if s.unavailable.Swap(unavailable) == unavailable {
		return
	}
	entry := s.log.WithField("dependency", "store").WithField("revision", s.revision.Number())
	if unavailable {
		s.health.Lost(Kind)
		entry.WithError(err).Warn("accounts: store lost")
		return
	}
	outage := clock.Since(s.answered)
	s.allowance.RecordOutage(outage, clock.Now())
	entry.WithField("outageMs", outage.Milliseconds()).Info("accounts: store reconnected")
	s.health.Reconnected(Kind)
}

// Leave gives back everything that is not in use and ends drawing. A running round is canceled at
// once, even if the store hangs.
func (s *Syncer) Leave(ctx context.Context) error {
	s.cancel()
	s.rounds.Lock()
	defer s.rounds.Unlock()
	s.leaving = true
	return s.sync(ctx, clock.Now(), true)
}

func (s *Syncer) sync(ctx context.Context, now time.Time, leaving bool) error {
	var err error
	s.catchUp(ctx)
	if s.newEra() {
		s.fresh = false
	}
	began := clock.Now()
	for range maxConflicts {
		if !s.fresh {
			if err = s.read(ctx); err != nil {
				return err
			}
		}
		next, worth := s.allowance.Propose(s.proposalBase(now), Round{Nodes: s.nodes(), Now: now, Draws: s.writes(), Leaving: leaving, Paused: s.drawingPaused(now)})
		if !worth && !leaving && !s.writesBack(now) {
			s.allowance.ShortfallProposed()
			return nil
		}
		attempted := clock.Now()
		if err = s.write(ctx, next); err == nil {
			s.allowance.ShortfallProposed()
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		if !leaving && clock.Since(began)+clock.Since(attempted) > time.Duration(s.retryWithin.Load()) {
			return err
		}
		s.pauseAfterConflict()
	}
	return err
}

// catchUp applies what another writer has written and announced meanwhile. An unreadable object is
// ignored: the store's own answer to a write decides.
func (s *Syncer) catchUp(ctx context.Context) {
	o, newer := s.writers.Newer(ctx, s.revision)
	if !newer || o.Revision <= s.revision {
		return
	}
	if err := s.receive(o); err != nil && !errors.Is(err, errUnreadable) { // already reported
		s.log.WithField("revision", o.Revision.Number()).WithError(err).Warn("accounts: cannot use the ledger of a peer")
	}
}

func pauseBriefly() { time.Sleep(time.Duration(2+rand.IntN(10)) * time.Millisecond) }

// pauseAfterConflict lets other writers go first. The pause grows with their number.
func (s *Syncer) pauseAfterConflict() {
	time.Sleep(conflictPause + rand.N(time.Duration(max(s.nodes(), 1))*conflictPause))
}

func (s *Syncer) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.store.Get(ctx, Kind, ledgerName)
	if errors.Is(err, store.ErrNotFound) {
		return s.receiveNone()
	}
	if err != nil {
		return errors.Wrap(err, "read accounts")
	}
	return s.receive(o)
}

func (s *Syncer) receive(o store.Object) error {
	if o.Revision < s.revision && o.Readable() == nil { // otherwise its revision may be unreadable, too
		s.dropped.Report(Kind, "ledger", o.Revision, s.revision)
		return errors.Newf("accounts at revision %s are older than %s", o.Revision, s.revision)
	}
	l, err := s.decode(o)
	if err != nil {
		o.Kind = Kind
		s.faults.Report(o, "accounts", "nothing is drawn until it can be read", err)
		return errors.Mark(errors.Wrap(err, "accounts"), errUnreadable)
	}
	s.faults.Resolve(o)
	s.apply(l, o.Revision)
	return nil
}

// errUnreadable marks a ledger from the store that can't be read. Nodes go on spending what they
// hold, but nothing is drawn and the ledger is not overwritten, since any guess at its content
// could free spent tokens.
var errUnreadable = errors.New("accounts: the ledger can't be read")

func (s *Syncer) decode(o store.Object) (Ledger, error) {
	var l Ledger
	if err := o.Readable(); err != nil {
		return l, err
	}
	if err := store.Unmarshal(o.Data, &l); err != nil {
		return l, err
	}
	if o.Revision.Era() != s.revision.Era() {
		return l, nil // what was reported after the backup was made is missing
	}
	return l, l.Follows(s.stored)
}

func (s *Syncer) write(ctx context.Context, next Ledger) error {
	next.Origin = next.Origin.in(s.revision)
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "accounts")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.fresh = false
	o, err := s.store.Put(ctx, store.Object{Kind: Kind, Name: ledgerName, Revision: s.revision, Data: data})
	if errors.Is(err, store.ErrConflict) && o.Revision > s.revision {
		return errors.CombineErrors(s.receive(o), err)
	}
	if err != nil {
		return errors.Wrap(err, "write accounts")
	}
	s.logMoves(next)
	s.earlier = KnownLedger{} // the store's ledger contains it now
	if err := s.receive(o); err != nil {
		return err
	}
	s.writers.Wrote(o)
	return nil
}

// logMoves logs the tokens moved by a successful write, in one line for all tenants.
func (s *Syncer) logMoves(next Ledger) {
	moves := map[string]int64{}
	pools := map[string]int64{}
	for _, h := range s.allowance.Holdings(clock.Now()) {
		before, _ := s.ledger.Account(h.Tenant).Row(s.allowance.incarnation)
		after, _ := next.Account(h.Tenant).Row(s.allowance.incarnation)
		if after.Drawn != before.Drawn {
			moves[h.Tenant] = after.Drawn - before.Drawn
			pools[h.Tenant] = next.Account(h.Tenant).Pool(h.Prepaid)
		}
	}
	if lost := s.lostTokens(next); len(lost) > 0 && !s.leaving {
		s.log.WithField("revision", s.revision.Number()).WithField("tokens", lost).Warn("accounts: an earlier life of this node ended with tokens that it had drawn and not reported as spent")
	}
	s.log.WithField("revision", s.revision.Number()).WithField("tokens", moves).WithField("pools", pools).Info("accounts: written")
}

// lostTokens returns by tenant what the rows closed by the next ledger had drawn beyond what they had
// reported as spent.
func (s *Syncer) lostTokens(next Ledger) map[string]int64 {
	lost := map[string]int64{}
	for _, after := range next.Accounts {
		before := s.ledger.Account(after.Tenant)
		tokens := (after.ClosedDrawn - after.ClosedSpent) - (before.ClosedDrawn - before.ClosedSpent)
		if tokens > 0 {
			lost[after.Tenant] = tokens
		}
	}
	return lost
}
