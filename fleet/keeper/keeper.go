// Package keeper is the runtime of the holder and witness slices of a node: it
// carries their decisions to the platform, to peers and to engines.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/witness"
)

// Peers are the calls that a keeper makes to other nodes.
type Peers interface {
	Claim(ctx context.Context, to membership.Member, in peer.Claiming) (peer.Claimed, error)
	Forget(ctx context.Context, to membership.Member, in peer.Forgetting) error
	Store(ctx context.Context, to membership.Member, in peer.Storing) (peer.Stored, error)
	Drop(ctx context.Context, to membership.Member, in peer.Dropping) error
	Fence(ctx context.Context, to membership.Member, in peer.Fencing) (peer.Fenced, error)
	Surrender(ctx context.Context, to membership.Member, in peer.Surrendering) (peer.Surrendered, error)
	Lend(ctx context.Context, to membership.Member, in peer.Lending) (peer.Lent, error)
	HandOver(ctx context.Context, to membership.Member, in peer.HandOver) error
}

// Outcomes asks engines what became of attempts.
type Outcomes interface {
	Outcome(ctx context.Context, a holder.Attempt, id ident.Request) (backend.Outcome, error)
	Cancel(ctx context.Context, a holder.Attempt, id ident.Request) (backend.Outcome, error)
}

// Options of a keeper; zero values choose the documented defaults.
type Options struct {
	Slots        int           // 16 when zero
	KeyRetention time.Duration // how long keys are kept; 15 min when zero
	LedgerEvery  time.Duration // between posts of a slot's books that nobody waits for; each flush when zero
	Abandon      time.Duration // how long a running request may lack an entry; 30 s when zero
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 16
	}
	if o.KeyRetention == 0 {
		o.KeyRetention = 15 * time.Minute
	}
	if o.Abandon == 0 {
		o.Abandon = 30 * time.Second
	}
	return o
}

// Parts are what a keeper works with.
type Parts struct {
	Self     membership.Member
	Platform platform.Store
	Peers    Peers
	Outcomes Outcomes
	View     func() membership.State
	Catalog  func() *catalog.Catalog
	Events   *event.Log
	Clock    clockwork.Clock
	Log      log.Interface
	// NewSerial makes the serial of a next incarnation.
	NewSerial func() string
}

// Keeper holds the node's slots; New makes one.
type Keeper struct {
	Parts
	options Options

	mu       sync.Mutex
	holding  holder.State
	witness  witness.State
	wants    holder.Wants
	denied   map[ident.Budget]denial
	segments segmentWriter
	stranded map[ident.Incarnation]Stranding
	passed   map[ident.Request]passing
	asked    map[string]time.Time // when other zones were last asked for a limit

	slotMu sync.Map // ident.Slot -> *slotSync
}

// denial remembers a top-up that failed, so that not every refusal asks the platform.
type denial struct {
	need  int64
	until time.Time
}

// New makes a keeper without books.
func New(p Parts, o Options) *Keeper {
	return &Keeper{
		Parts:    p,
		options:  o.withDefaults(),
		holding:  holder.New(p.Self.Incarnation, p.Self.Zone),
		witness:  witness.New(),
		wants:    holder.Wants{},
		denied:   map[ident.Budget]denial{},
		stranded: map[ident.Incarnation]Stranding{},
		passed:   map[ident.Request]passing{},
		asked:    map[string]time.Time{},
	}
}

// handle runs one decision of the holder slice.
func (k *Keeper) handle(m holder.Message) holder.Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, effect := k.holding.Handle(m)
	k.holding = next
	return effect
}

// testify runs one decision of the witness slice.
func (k *Keeper) testify(m witness.Message) witness.Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, effect := k.witness.Handle(m)
	k.witness = next
	return effect
}

// Holding is the holder slice's state now.
func (k *Keeper) Holding() holder.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holding
}

// Witness is the witness slice's state now.
func (k *Keeper) Witness() witness.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness
}

// Incarnation is the node's current life as a holder.
func (k *Keeper) Incarnation() ident.Incarnation { return k.Holding().Self() }

// SlotOf is the slot of a customer.
func (k *Keeper) SlotOf(c ident.Customer) ident.Slot { return ident.SlotOf(c, k.options.Slots) }

// rank orders the live nodes of the own zone for a slot.
func (k *Keeper) rank(slot ident.Slot) []membership.Member {
	return k.View().Rank(k.Self.Zone, slot, k.Clock.Now())
}

// holds reports whether the node is the slot's holder by its own view.
func (k *Keeper) holds(slot ident.Slot) bool {
	rank := k.rank(slot)
	return len(rank) > 0 && rank[0].Node == k.Self.Node
}

// others lists the reachable nodes of the own zone but this one, best for the slot first.
func (k *Keeper) others(slot ident.Slot) []membership.Member {
	now, view := k.Clock.Now(), k.View()
	ranked := view.Rank(k.Self.Zone, slot, now)
	for _, m := range view.Reachable(k.Self.Zone, now) {
		if m.Phase == membership.Leaving {
			ranked = append(ranked, m)
		}
	}
	others := ranked[:0:0]
	for _, m := range ranked {
		if m.Node != k.Self.Node {
			others = append(others, m)
		}
	}
	return others
}

// renounce begins a new incarnation: the old one's accounts were closed by others.
func (k *Keeper) renounce(why error) {
	k.mu.Lock()
	old := k.holding.Self()
	next := ident.NewIncarnation(k.Self.Node, k.NewSerial())
	k.holding, _ = k.holding.Handle(holder.Renew{Incarnation: next})
	k.segments = segmentWriter{}
	k.mu.Unlock()
	k.Log.WithField("old", old).WithField("new", next).WithError(why).Warn("incarnation is over")
	k.Events.Add(event.Event{Step: event.Close, Peer: string(old), Decision: "new incarnation " + string(next), Reason: "the old one's accounts were closed"})
}
