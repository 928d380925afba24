// Package keeper runs the holder and witness state of a node: it carries out their
// decisions at the platform, at other nodes and at engines.
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
	Claim(ctx context.Context, to membership.Member, in peer.ClaimRequest) (peer.ClaimResponse, error)
	Forget(ctx context.Context, to membership.Member, in peer.ForgetRequest) error
	Store(ctx context.Context, to membership.Member, in peer.StoreRequest) (peer.StoreResponse, error)
	Drop(ctx context.Context, to membership.Member, in peer.DropRequest) error
	Fence(ctx context.Context, to membership.Member, in peer.FenceRequest) (peer.FenceResponse, error)
	Surrender(ctx context.Context, to membership.Member, in peer.SurrenderRequest) (peer.SurrenderResponse, error)
	Lend(ctx context.Context, to membership.Member, in peer.LendRequest) (peer.LendResponse, error)
	HandOver(ctx context.Context, to membership.Member, in peer.HandOver) error
}

// Outcomes asks engines for the outcomes of attempts, or cancels them.
type Outcomes interface {
	Outcome(ctx context.Context, a holder.Attempt, id ident.Request) (backend.Outcome, error)
	Cancel(ctx context.Context, a holder.Attempt, id ident.Request) (backend.Outcome, error)
}

// Options configure a keeper. Zero values select the defaults.
type Options struct {
	Slots          int           // default 16
	KeyRetention   time.Duration // how long keys are kept; default 15 min
	LedgerInterval time.Duration // between background updates of a slot's ledger; default: at each flush
	AbandonAfter   time.Duration // age from which a running request without an entry VM is cancelled; default 30 s
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 16
	}
	if o.KeyRetention == 0 {
		o.KeyRetention = 15 * time.Minute
	}
	if o.AbandonAfter == 0 {
		o.AbandonAfter = 30 * time.Second
	}
	return o
}

// Dependencies are the components that a keeper uses.
type Dependencies struct {
	Self     membership.Member
	Platform platform.Store
	Peers    Peers
	Outcomes Outcomes
	View     func() membership.State
	Catalog  func() *catalog.Catalog
	Events   *event.Log
	Clock    clockwork.Clock
	Log      log.Interface
	// NewSerial returns the serial of the next incarnation.
	NewSerial func() string
}

// Keeper runs the slots that a node holds and its witness records.
type Keeper struct {
	Dependencies
	options Options

	mu       sync.Mutex
	holding  holder.State
	witness  witness.State
	wants    holder.Wants
	denied   map[ident.Budget]denial
	segments segmentWriter
	stranded map[ident.Incarnation]StrandedHolder
	copies   map[ident.Request]recordCopy
	borrowed map[string]time.Time // when other nodes were last asked to lend, by limit

	slotMu sync.Map // ident.Slot -> *slotSync
}

// denial caches a failed top-up, so that not every refusal causes a request to the platform.
type denial struct {
	need  int64
	until time.Time
}

// New returns a keeper without accounts.
func New(d Dependencies, o Options) *Keeper {
	return &Keeper{
		Dependencies: d,
		options:      o.withDefaults(),
		holding:      holder.New(d.Self.Incarnation, d.Self.Zone),
		witness:      witness.New(),
		wants:        holder.Wants{},
		denied:       map[ident.Budget]denial{},
		stranded:     map[ident.Incarnation]StrandedHolder{},
		copies:       map[ident.Request]recordCopy{},
		borrowed:     map[string]time.Time{},
	}
}

// handle applies a message to the holder state.
func (k *Keeper) handle(m holder.Message) holder.Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, effect := k.holding.Handle(m)
	k.holding = next
	return effect
}

// handleWitness applies a message to the witness state.
func (k *Keeper) handleWitness(m witness.Message) witness.Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, effect := k.witness.Handle(m)
	k.witness = next
	return effect
}

// Holding returns the current holder state.
func (k *Keeper) Holding() holder.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holding
}

// Witness returns the current witness state.
func (k *Keeper) Witness() witness.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness
}

// Incarnation returns the node's current incarnation as a holder.
func (k *Keeper) Incarnation() ident.Incarnation { return k.Holding().Self() }

// SlotOf returns the slot of a customer.
func (k *Keeper) SlotOf(c ident.Customer) ident.Slot { return ident.SlotOf(c, k.options.Slots) }

// rank returns the live nodes of this zone in their order for a slot.
func (k *Keeper) rank(slot ident.Slot) []membership.Member {
	return k.View().Rank(k.Self.Zone, slot, k.Clock.Now())
}

// isHolder reports whether this node is the slot's holder in its own view.
func (k *Keeper) isHolder(slot ident.Slot) bool {
	rank := k.rank(slot)
	return len(rank) > 0 && rank[0].Node == k.Self.Node
}

// others returns the other reachable nodes of this zone, in their order for the slot.
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

// renewIncarnation starts a new incarnation after other nodes fenced the old one or closed its accounts.
func (k *Keeper) renewIncarnation(why error) {
	k.mu.Lock()
	old := k.holding.Self()
	next := ident.NewIncarnation(k.Self.Node, k.NewSerial())
	k.holding, _ = k.holding.Handle(holder.Renew{Incarnation: next})
	k.segments = segmentWriter{}
	k.mu.Unlock()
	k.Log.WithField("old", old).WithField("new", next).WithError(why).Warn("incarnation ended, starting a new one")
	k.Events.Add(event.Event{Step: event.Close, Peer: string(old), Decision: "new incarnation " + string(next), Reason: "the old one's accounts were closed"})
}
