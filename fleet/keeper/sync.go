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
	maxSyncTries  = 6
	maxDonors     = 4
	recallTimeout = 500 * time.Millisecond
	topUpTimeout  = 1500 * time.Millisecond
	// idleRead is how often the ledger of an idle slot is read again.
	idleRead = 2 * time.Second
)

// slotSync serializes the updates of one slot's ledger and keeps it as last seen.
type slotSync struct {
	mu      sync.Mutex
	slot    ledger.Slot
	version platform.Version
	read    time.Time
	posted  time.Time // when the books were last posted or found unchanged
}

func (k *Keeper) slotSync(slot ident.Slot) *slotSync {
	s, _ := k.slotMu.LoadOrStore(slot, &slotSync{slot: ledger.Slot{Slot: slot}})
	return s.(*slotSync)
}

// refresh reads a slot's ledger; the caller holds its lock.
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

// update changes a slot's ledger by a conditional write until it holds. The
// change is made anew from what is read after each conflict or lost answer.
func (k *Keeper) update(ctx context.Context, slot ident.Slot, change func(ledger.Slot) (ledger.Slot, error)) error {
	s := k.slotSync(slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read.IsZero() || k.Clock.Since(s.read) > idleRead {
		if err := k.refresh(ctx, s); err != nil {
			return err
		}
	}
	var last error
	for range maxSyncTries {
		next, err := change(s.slot)
		if err != nil {
			return err
		}
		if !s.slot.Material(next) {
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

// due reports whether a slot's books should be posted again.
func (k *Keeper) due(slot ident.Slot) bool {
	s := k.slotSync(slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	return k.Clock.Since(s.posted) >= k.options.LedgerEvery
}

// SyncSlot posts the holder's books of a slot and draws what is wanted.
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
		k.renounce(err)
	}
	return err
}

// topUp draws tokens that requests wait for; where the pool lacks them, other
// holders are asked to return theirs.
func (k *Keeper) topUp(ctx context.Context, s holder.Short) {
	ctx, cancel := context.WithTimeout(ctx, topUpTimeout)
	defer cancel()
	k.want(s.Budget, s.Need)
	defer k.want(s.Budget, -s.Need)
	if err := k.SyncSlot(ctx, s.Slot); err != nil {
		k.Events.Add(event.Event{Step: event.Draw, Peer: string(s.Budget), Decision: "failed", Reason: err.Error()})
		return
	}
	lack := k.lack(s)
	if lack <= 0 {
		return
	}
	for _, donor := range k.donors(s) {
		asked, stop := context.WithTimeout(ctx, recallTimeout)
		back, err := k.Peers.Surrender(asked, donor, peer.Surrendering{Slot: s.Slot, Budget: s.Budget, Need: lack, For: k.Incarnation()})
		stop()
		if err != nil {
			continue
		}
		k.Events.Add(event.Event{Step: event.Recall, Peer: string(donor.Node), Decision: "called back", Reason: "budget " + string(s.Budget) + " is short here"})
		if lack -= back.Tokens; lack <= 0 {
			break
		}
	}
	k.slotSync(s.Slot).expire()
	_ = k.SyncSlot(ctx, s.Slot)
}

// expire makes the next update read the ledger first.
func (s *slotSync) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = time.Time{}
}

func (k *Keeper) want(b ident.Budget, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wants[b] += tokens
	if k.wants[b] <= 0 {
		delete(k.wants, b)
	}
}

// lack is how much of what is wanted is not free here after a draw.
func (k *Keeper) lack(s holder.Short) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wants[s.Budget] - k.holding.Spendable(s.Budget)
}

// donors are the other holders of a budget, the one with the most unspent first.
func (k *Keeper) donors(s holder.Short) []membership.Member {
	seen, _ := k.Holding().LedgerBudget(s.Budget)
	accounts := lo.Filter(seen.Accounts, func(a ledger.Account, _ int) bool {
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

// Surrender returns tokens that another holder lacks. A need of nothing asks the
// holder to look at the ledger anew.
func (k *Keeper) Surrender(ctx context.Context, in peer.Surrendering) peer.Surrendered {
	given, ok := k.handle(holder.Surrender{Slot: in.Slot, Budget: in.Budget, Need: in.Need}).(holder.Surrendered)
	if !ok {
		return peer.Surrendered{}
	}
	k.slotSync(in.Slot).expire()
	if err := k.syncSlot(ctx, in.Slot, holder.Credit{Budget: in.Budget, To: in.For, Tokens: given.Tokens}); err != nil {
		return peer.Surrendered{}
	}
	if given.Tokens > 0 {
		k.Events.Add(event.Event{Step: event.Return, Peer: string(in.Budget), Decision: "returned", Reason: "another zone is short"})
	}
	return peer.Surrendered{Tokens: given.Tokens}
}

// Open makes the books of every budget whose slot this node holds.
func (k *Keeper) Open() {
	c := k.Catalog()
	if c.Revision == 0 {
		return
	}
	now := k.Clock.Now()
	bySlot := lo.GroupBy(c.Budgets(), func(b catalog.Budget) ident.Slot { return k.SlotOf(b.Customer) })
	for slot, budgets := range bySlot {
		if !k.holds(slot) {
			continue
		}
		lines := lo.Map(budgets, func(b catalog.Budget, _ int) holder.BudgetLine {
			return holder.BudgetLine{Name: b.Name, Limit: b.Limit, Version: b.Version}
		})
		k.handle(holder.Opened{At: now, Slot: slot, Budgets: lines})
	}
}
