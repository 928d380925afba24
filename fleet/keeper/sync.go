package keeper

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

const (
	maxSyncAttempts = 6
	maxDonors       = 4
	recallTimeout   = 500 * time.Millisecond
	topUpTimeout    = 1500 * time.Millisecond
	// maxLedgerAge is the age from which a cached ledger is read again before an update.
	maxLedgerAge = 2 * time.Second
)

// slotSync serializes the updates of one slot's ledger and caches it as last read or written.
type slotSync struct {
	mu      sync.Mutex
	slot    ledger.Slot
	version platform.Version
	read    time.Time
	posted  time.Time // when the ledger was last written or needed no write
}

func (k *Keeper) slotSync(slot ident.Slot) *slotSync {
	s, _ := k.slotMu.LoadOrStore(slot, &slotSync{slot: ledger.Slot{Slot: slot}})
	return s.(*slotSync)
}

// refresh reads a slot's ledger. The caller holds s.mu.
func (k *Keeper) refresh(ctx context.Context, s *slotSync) error {
	o, err := k.Platform.Get(ctx, ledger.Key(s.slot.Slot))
	if errors.Is(err, platform.ErrNotFound) {
		s.slot, s.version = ledger.Slot{Slot: s.slot.Slot}, 0
		s.read = k.Clock.Now()
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read ledger of slot %d", s.slot.Slot)
	}
	var next ledger.Slot
	if err := json.Unmarshal(o.Value, &next); err != nil {
		return errors.Wrapf(err, "decode ledger of slot %d", s.slot.Slot)
	}
	s.slot, s.version, s.read = next, o.Version, k.Clock.Now()
	return nil
}

// update changes a slot's ledger by a conditional write. After a conflict or a lost
// answer it reads the ledger and applies the change again, up to maxSyncAttempts times.
func (k *Keeper) update(ctx context.Context, slot ident.Slot, change func(ledger.Slot) (ledger.Slot, error)) error {
	s := k.slotSync(slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read.IsZero() || k.Clock.Since(s.read) > maxLedgerAge {
		if err := k.refresh(ctx, s); err != nil {
			return err
		}
	}
	var last error
	for range maxSyncAttempts {
		next, err := change(s.slot)
		if err != nil {
			return err
		}
		if !s.slot.NeedsWrite(next) {
			s.posted = k.Clock.Now()
			return nil
		}
		version, err := k.Platform.Put(ctx, ledger.Key(slot), s.version, next)
		if err == nil {
			s.slot, s.version, s.posted = next, version, k.Clock.Now()
			k.handle(holder.Synced{At: k.Clock.Now(), Slot: next})
			return nil
		}
		last = err
		if !errors.IsAny(err, platform.ErrConflict, platform.ErrUnknown) {
			return errors.Wrapf(err, "write ledger of slot %d", slot)
		}
		if err := k.refresh(ctx, s); err != nil {
			return err
		}
	}
	return errors.Wrapf(last, "write ledger of slot %d", slot)
}

// due reports whether a slot's ledger should be updated again.
func (k *Keeper) due(slot ident.Slot) bool {
	s := k.slotSync(slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.Clock.Since(s.posted) >= k.options.LedgerInterval
}

// SyncSlot updates the ledger of a slot with the holder's accounts and draws the wanted tokens.
func (k *Keeper) SyncSlot(ctx context.Context, slot ident.Slot) error {
	return k.syncSlot(ctx, slot, holder.Credit{})
}

func (k *Keeper) syncSlot(ctx context.Context, slot ident.Slot, credit holder.Credit) error {
	err := k.update(ctx, slot, func(doc ledger.Slot) (ledger.Slot, error) {
		k.mu.Lock()
		k.holding, _ = k.holding.Handle(holder.Synced{At: k.Clock.Now(), Slot: doc})
		post := k.holding.Post(slot, k.wants, credit, k.segments.durable, k.Clock.Now())
		k.mu.Unlock()
		return doc.Apply(post)
	})
	if errors.Is(err, ledger.ErrClosed) {
		k.renewIncarnation(err)
	}
	return err
}

// topUp draws tokens that requests are waiting for. If the pool does not have enough,
// other holders are asked to return tokens.
func (k *Keeper) topUp(ctx context.Context, s holder.Short) {
	ctx, cancel := context.WithTimeout(ctx, topUpTimeout)
	defer cancel()
	k.addWant(s.Budget, s.Need)
	defer k.addWant(s.Budget, -s.Need)
	if err := k.SyncSlot(ctx, s.Slot); err != nil {
		k.Events.Add(event.Event{Step: event.Draw, Peer: string(s.Budget), Decision: "failed", Reason: err.Error()})
		return
	}
	shortfall := k.shortfall(s)
	if shortfall <= 0 {
		return
	}
	for _, donor := range k.donors(s) {
		recallCtx, stop := context.WithTimeout(ctx, recallTimeout)
		surrendered, err := k.Peers.Surrender(recallCtx, donor, peer.SurrenderRequest{Slot: s.Slot, Budget: s.Budget, Need: shortfall, For: k.Incarnation()})
		stop()
		if err != nil {
			continue
		}
		k.Events.Add(event.Event{Step: event.Recall, Peer: string(donor.Node), Decision: "called back", Reason: "budget " + string(s.Budget) + " is short here"})
		if shortfall -= surrendered.Tokens; shortfall <= 0 {
			break
		}
	}
	k.slotSync(s.Slot).invalidate()
	_ = k.SyncSlot(ctx, s.Slot)
}

// invalidate marks the cached ledger as stale, so that the next update reads it first.
func (s *slotSync) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = time.Time{}
}

func (k *Keeper) addWant(b ident.Budget, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wants[b] += tokens
	if k.wants[b] <= 0 {
		delete(k.wants, b)
	}
}

// shortfall returns how many of the wanted tokens are not free here after a draw.
func (k *Keeper) shortfall(s holder.Short) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wants[s.Budget] - k.holding.Spendable(s.Budget)
}

// donors returns other holders of a budget, the one with the most unspent tokens first.
func (k *Keeper) donors(s holder.Short) []membership.Member {
	budget, _ := k.Holding().LedgerBudget(s.Budget)
	accounts := lo.Filter(budget.Accounts, func(a ledger.Account, _ int) bool {
		return a.Holder != k.Incarnation() && !a.Frozen && a.Unspent()-a.Reserved > 0
	})
	slices.SortFunc(accounts, func(x, y ledger.Account) int { return int(y.Unspent() - x.Unspent()) })
	view := k.View()
	var donors []membership.Member
	for _, a := range accounts {
		if m, ok := view.Member(a.Holder.Node()); ok && m.Incarnation == a.Holder && len(donors) < maxDonors {
			donors = append(donors, m)
		}
	}
	return donors
}

// Surrender returns tokens that another holder needs. With a need of zero the holder
// only syncs with the ledger again.
func (k *Keeper) Surrender(ctx context.Context, in peer.SurrenderRequest) peer.SurrenderResponse {
	surrendered, ok := k.handle(holder.Surrender{Slot: in.Slot, Budget: in.Budget, Need: in.Need}).(holder.Surrendered)
	if !ok {
		return peer.SurrenderResponse{}
	}
	k.slotSync(in.Slot).invalidate()
	if err := k.syncSlot(ctx, in.Slot, holder.Credit{Budget: in.Budget, To: in.For, Tokens: surrendered.Tokens}); err != nil {
		return peer.SurrenderResponse{}
	}
	if surrendered.Tokens > 0 {
		k.Events.Add(event.Event{Step: event.Return, Peer: string(in.Budget), Decision: "returned", Reason: "another zone is short"})
	}
	return peer.SurrenderResponse{Tokens: surrendered.Tokens}
}

// Open opens accounts for the budgets of all slots that this node holds.
func (k *Keeper) Open() {
	c := k.Catalog()
	if c.Revision == 0 {
		return
	}
	now := k.Clock.Now()
	bySlot := lo.GroupBy(c.Budgets(), func(b catalog.Budget) ident.Slot { return k.SlotOf(b.Customer) })
	for slot, budgets := range bySlot {
		if !k.isHolder(slot) {
			continue
		}
		lines := lo.Map(budgets, func(b catalog.Budget, _ int) holder.BudgetLine {
			return holder.BudgetLine{Name: b.Name, Limit: b.Limit, Version: b.Version}
		})
		k.handle(holder.Opened{At: now, Slot: slot, Budgets: lines})
	}
}
