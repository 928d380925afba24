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

// Where the ledger lies.
const (
	Kind       = "lynxshed-accounts"
	ledgerName = "book" // the stored name is older than the type's: budgets lie under it, so it stays
)

// How often a syncer looks at the allowance and writes the ledger: the more nodes
// write, the longer each waits, since all write one object.
const (
	tick          = 150 * time.Millisecond
	calmPace      = 1100 * time.Millisecond // between writes that no request waits for, at least
	calmPerNode   = 250 * time.Millisecond
	lowPace       = 500 * time.Millisecond // where a holding is far below its target
	lowPerNode    = 80 * time.Millisecond
	urgentPace    = 300 * time.Millisecond // where requests lacked tokens lately
	urgentPerNode = 50 * time.Millisecond
	askedPace     = 100 * time.Millisecond // where one waits
	askedPerNode  = 10 * time.Millisecond
	conflictPause = 5 * time.Millisecond // for each node that writes, at most
	conflicts     = 3                    // tries in a row before the syncer pauses, out of turn
)

// Bounds of the syncer's waits.
const (
	callTimeout = 700 * time.Millisecond
	drawWait    = 60 * time.Millisecond // that a request waits for a draw
	waitingAsks = 64
	always      = time.Minute // longer than a round
	backoffMax  = 2 * time.Second

	unreadablePause = time.Second // before a ledger that can't be read is read again
)

// Writers are the other nodes that write the ledger. Each write but the first after
// another's would conflict, only to learn of that one, so they tell each other.
type Writers interface {
	// Newer returns the ledger's object where another writer has a newer one.
	Newer(ctx context.Context, revision store.Revision) (store.Object, bool)
	// Wrote tells the others of a newer one, and keeps it for them.
	Wrote(o store.Object)
}

// Syncer moves tokens between the store's ledger and an allowance.
type Syncer struct {
	store     store.Store
	allowance *Allowance
	nodes     func() int
	writes    func() bool // whether this node draws every budget, or acquires from those that do
	writers   Writers
	turn      func() Turn
	heard     <-chan struct{} // another writer wrote: turns begin anew
	again     atomic.Int64    // ns from its begin in which a round that was overtaken is to end
	health    *store.Health
	log       log.Interface
	faults    *store.Faults

	asks chan chan struct{} // of requests that wait for a draw

	stop     context.Context // ends when the node leaves, and with it a round that is under way
	stopped  context.CancelFunc
	rounds   sync.Mutex // one at a time
	leaving  bool       // the node is leaving
	ledger   Ledger     // as the store last showed it, with what this node knows of earlier eras
	revision store.Revision
	fresh    bool         // ledger and revision are as the store last showed them
	era      func() int64 // of the store, the newest that is known
	earlier  Known        // of an era that is over, until the store's ledger holds it
	shown    Ledger       // as the store last showed it
	waits    time.Time    // until then nothing is drawn: other nodes write back what they had drawn
	last     time.Time
	dropped  store.Dropped
	answered time.Time    // when the store last answered, or this node last had nothing to ask
	out      atomic.Bool  // the store does not answer
	lastRead atomic.Int64 // revision, for whoever does not make the round
}

// NewSyncer returns a syncer; nodes tells how many nodes share the budgets, and
// writes whether this one draws from the ledger.
func NewSyncer(s store.Store, p *Allowance, nodes func() int, writes func() bool, health *store.Health, l log.Interface) *Syncer {
	stop, stopped := context.WithCancel(context.Background())
	k := &Syncer{
		store: s, allowance: p, nodes: nodes, writes: writes, writers: noWriters{}, turn: func() Turn { return Turn{} }, health: health, log: l, faults: store.NewFaults(l, nil),
		asks: make(chan chan struct{}, waitingAsks), stop: stop, stopped: stopped, answered: clock.Now(), dropped: store.Dropped{Log: l}, era: func() int64 { return 0 },
	}
	k.again.Store(int64(always))
	return k
}

// WithFaults has a ledger that can't be read told of together with the node's other entries.
func (k *Syncer) WithFaults(f *store.Faults) *Syncer {
	k.faults = f
	return k
}

// WithEras has the ledger written back where the store came back from a copy, before Run.
func (k *Syncer) WithEras(e *store.Eras) *Syncer {
	k.era = e.Newest
	return k
}

// WithWriters has the syncer tell the other writers of the ledger, and hear of theirs.
func (k *Syncer) WithWriters(w Writers) *Syncer {
	k.writers = w
	return k
}

// WithTurns has the syncer write when it is this node's turn, unless a request waits;
// heard tells that turns have changed.
func (k *Syncer) WithTurns(turn func() Turn, heard <-chan struct{}) *Syncer {
	k.turn, k.heard = turn, heard
	return k
}

// noWriters is no other writer.
type noWriters struct{}

func (noWriters) Newer(context.Context, store.Revision) (store.Object, bool) {
	return store.Object{}, false
}
func (noWriters) Wrote(store.Object) {}

// Run keeps the allowance filled until ctx ends.
func (k *Syncer) Run(ctx context.Context) {
	timer := time.NewTimer(store.Jittered(tick))
	defer timer.Stop()
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		var asks []chan struct{}
		select {
		case <-ctx.Done():
			return
		case done := <-k.asks:
			asks = k.waiting(done)
		case <-k.heard:
		case <-timer.C:
			timer.Reset(store.Jittered(tick))
		}
		switch now, asked := clock.Now(), len(asks) > 0; {
		case k.newEra() && backoff == 0: // out of turn, and whether or not there is something to draw
			k.last = now
			backoff = k.inTurn(ctx, now, backoff, true)
		case now.Sub(k.last) < max(k.pace(asked), backoff):
		case !asked && k.turn().wait(now) > 0:
			timer.Reset(k.turn().wait(now))
		default:
			k.last = now
			backoff = k.inTurn(ctx, now, backoff, asked)
		}
		for _, done := range asks {
			close(done)
		}
	}
}

// waiting takes all requests that wait for a draw.
func (k *Syncer) waiting(first chan struct{}) []chan struct{} {
	pauseBriefly() // others may come with it
	asks := []chan struct{}{first}
	for {
		select {
		case done := <-k.asks:
			asks = append(asks, done)
		default:
			return asks
		}
	}
}

// Draw has the ledger written now for a request that lacks a tenant's tokens, where
// this node draws them, the store answers and there is something left to draw. It
// returns when that is done, and soon where it takes long.
func (k *Syncer) Draw(ctx context.Context, tenant string) {
	if k.Out() || k.allowance.State(tenant).Pool <= 0 || !k.writes() {
		return
	}
	done := make(chan struct{})
	select {
	case k.asks <- done:
	default: // too many wait
		return
	}
	timer := time.NewTimer(drawWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pace is the time between writes: the more nodes write, the longer, so that
// they seldom collide.
func (k *Syncer) pace(asked bool) time.Duration {
	switch {
	case asked:
		return askedPace + time.Duration(k.nodes())*askedPerNode
	case k.allowance.HasShortfall():
		return urgentPace + time.Duration(k.nodes())*urgentPerNode
	case k.allowance.Low(k.nodes(), clock.Now()):
		return lowPace + time.Duration(k.nodes())*lowPerNode
	default:
		return max(calmPace, time.Duration(k.nodes())*calmPerNode)
	}
}

// inTurn makes one round. A write that was overtaken in its turn waits for the next one:
// tried again at once it would overtake that of whoever has its turn now. One that a
// request waits for is tried again where that may end while the request waits.
func (k *Syncer) inTurn(ctx context.Context, now time.Time, backoff time.Duration, asked bool) time.Duration {
	again := time.Duration(0)
	switch {
	case k.turn().cycle() == 0:
		again = always
	case asked:
		again = drawWait
	}
	k.again.Store(int64(again))
	return k.round(ctx, now, backoff)
}

func (k *Syncer) round(ctx context.Context, now time.Time, backoff time.Duration) time.Duration {
	if k.stop.Err() != nil {
		return 0 // the node is leaving, which may take its time
	}
	k.rounds.Lock()
	defer k.rounds.Unlock()
	if k.leaving || !k.writes() && !k.allowance.HoldsRow() && !k.Out() { // a node that is out goes on asking, to learn when it is not
		k.answered = now // one that asks nothing can't tell of an outage
		return 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(k.stop, cancel)()
	err := k.settle(ctx, now, false)
	unreadable := errors.Is(err, errUnreadable)
	if err == nil || unreadable || errors.Is(err, store.ErrConflict) { // a conflict is an answer too
		k.tell(false, nil)
		k.answered = now
		return lo.Ternary(unreadable, unreadablePause, 0)
	}
	if k.health.Stood(now) {
		return urgentPace // the round's time was over while the process stood still: the store is asked again first
	}
	k.tell(true, err)
	return min(max(2*backoff, urgentPace), backoffMax)
}

// Out is whether the store did not answer when it was last asked.
func (k *Syncer) Out() bool { return k.out.Load() }

// tell logs when the store is lost or reconnected.
func (k *Syncer) tell(out bool, err error) {
	if k.out.Swap(out) == out {
		return
	}
	entry := k.log.WithField("dependency", "store").WithField("revision", k.revision.Number())
	if out {
		k.health.Lost(Kind)
		entry.WithError(err).Warn("accounts: store lost")
		return
	}
	outage := clock.Since(k.answered)
	k.allowance.StoreBack(outage, clock.Now())
	entry.WithField("outageMs", outage.Milliseconds()).Info("accounts: store reconnected")
	k.health.Reconnected(Kind)
}

// Leave gives back all that is not in use, and draws nothing any more. A round that
// is under way ends at once, whatever the store does.
func (k *Syncer) Leave(ctx context.Context) error {
	k.stopped()
	k.rounds.Lock()
	defer k.rounds.Unlock()
	k.leaving = true
	return k.settle(ctx, clock.Now(), true)
}

func (k *Syncer) settle(ctx context.Context, now time.Time, leaving bool) error {
	var err error
	k.catchUp(ctx)
	if k.newEra() {
		k.fresh = false
	}
	began := clock.Now()
	for range conflicts {
		if !k.fresh {
			if err = k.read(ctx); err != nil {
				return err
			}
		}
		next, worth := k.allowance.Propose(k.claimed(now), Round{Nodes: k.nodes(), Now: now, All: k.writes(), Leaving: leaving, Waits: k.mayNotDraw(now)})
		if !worth && !leaving && !k.writesBack(now) {
			k.allowance.Answered()
			return nil
		}
		tried := clock.Now()
		if err = k.write(ctx, next); err == nil {
			k.allowance.Answered()
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		if !leaving && clock.Since(began)+clock.Since(tried) > time.Duration(k.again.Load()) {
			return err
		}
		k.pauseAfterConflict()
	}
	return err
}

// catchUp takes in what another writer wrote meanwhile, where one told of it. An object
// that can't be read is passed over: the store's own answer to a write decides.
func (k *Syncer) catchUp(ctx context.Context) {
	o, newer := k.writers.Newer(ctx, k.revision)
	if !newer || o.Revision <= k.revision {
		return
	}
	if err := k.saw(o); err != nil && !errors.Is(err, errUnreadable) { // that was told
		k.log.WithField("revision", o.Revision.Number()).WithError(err).Warn("accounts: a peer's ledger is not understood")
	}
}

func pauseBriefly() { time.Sleep(time.Duration(2+rand.IntN(10)) * time.Millisecond) }

// pauseAfterConflict lets the other writers go first, the longer the more there are.
func (k *Syncer) pauseAfterConflict() {
	time.Sleep(conflictPause + rand.N(time.Duration(max(k.nodes(), 1))*conflictPause))
}

func (k *Syncer) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := k.store.Get(ctx, Kind, ledgerName)
	if errors.Is(err, store.ErrNotFound) {
		return k.sawNone()
	}
	if err != nil {
		return errors.Wrap(err, "read accounts")
	}
	return k.saw(o)
}

func (k *Syncer) saw(o store.Object) error {
	if o.Revision < k.revision && o.Readable() == nil { // else its revision may be unreadable, too
		k.dropped.Tell(Kind, "ledger", o.Revision, k.revision)
		return errors.Newf("accounts at revision %s are older than %s", o.Revision, k.revision)
	}
	b, err := k.readable(o)
	if err != nil {
		o.Kind = Kind
		k.faults.Tell(o, "accounts", "nothing is drawn until it can be read", err)
		return errors.Mark(errors.Wrap(err, "accounts"), errUnreadable)
	}
	k.faults.Read(o)
	k.take(b, o.Revision)
	return nil
}

// errUnreadable says that the store answered with a ledger that can't be read. What nodes
// hold goes on being spent; nothing is drawn and nothing written over it, since any other
// reading of it could free tokens that are spent.
var errUnreadable = errors.New("accounts: the ledger can't be read")

func (k *Syncer) readable(o store.Object) (Ledger, error) {
	var b Ledger
	if err := o.Readable(); err != nil {
		return b, err
	}
	if err := json.Unmarshal(o.Data, &b); err != nil {
		return b, err
	}
	if o.Revision.Era() != k.revision.Era() {
		return b, nil // what was reported after the copy was made is gone
	}
	return b, b.Follows(k.shown)
}

func (k *Syncer) write(ctx context.Context, next Ledger) error {
	next.Origin = next.Origin.in(k.revision)
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "accounts")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.fresh = false
	o, err := k.store.Put(ctx, store.Object{Kind: Kind, Name: ledgerName, Revision: k.revision, Data: data})
	if errors.Is(err, store.ErrConflict) && o.Revision > k.revision {
		return errors.CombineErrors(k.saw(o), err)
	}
	if err != nil {
		return errors.Wrap(err, "write accounts")
	}
	k.logMoves(next)
	k.earlier = Known{} // the store's ledger holds it now
	if err := k.saw(o); err != nil {
		return err
	}
	k.writers.Wrote(o)
	return nil
}

// logMoves tells what a write that took effect has moved, one line for all tenants.
func (k *Syncer) logMoves(next Ledger) {
	moves := map[string]int64{}
	pools := map[string]int64{}
	for _, h := range k.allowance.Holdings(clock.Now()) {
		before, _ := k.ledger.Account(h.Tenant).Row(k.allowance.life)
		after, _ := next.Account(h.Tenant).Row(k.allowance.life)
		if after.Drawn != before.Drawn {
			moves[h.Tenant] = after.Drawn - before.Drawn
			pools[h.Tenant] = next.Account(h.Tenant).Pool(h.Prepaid)
		}
	}
	if lost := k.lost(next); len(lost) > 0 && !k.leaving {
		k.log.WithField("revision", k.revision.Number()).WithField("tokens", lost).Warn("accounts: an earlier life of this node ended with tokens that it had drawn and not reported as spent")
	}
	k.log.WithField("revision", k.revision.Number()).WithField("tokens", moves).WithField("pools", pools).Info("accounts: written")
}

// lost lists, by tenant, what rows that the next ledger closes had drawn beyond
// what they had reported as spent.
func (k *Syncer) lost(next Ledger) map[string]int64 {
	lost := map[string]int64{}
	for _, after := range next.Accounts {
		before := k.ledger.Account(after.Tenant)
		tokens := (after.ClosedDrawn - after.ClosedSpent) - (before.ClosedDrawn - before.ClosedSpent)
		if tokens > 0 {
			lost[after.Tenant] = tokens
		}
	}
	return lost
}
