package keeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/table"
)

const (
	callBackTime  = 3 * time.Second
	callBackPause = 150 * time.Millisecond
)

// Prepare puts lowered limits into the ledgers before the edits that lower them
// are accepted: holdings are called back, and the edit is refused where what is
// spent, reserved or held out of reach is more than the new limit.
func (k *Keeper) Prepare(ctx context.Context, before, after table.Table, edits []table.Edit) (func(context.Context), error) {
	var lowered []limitChange
	undo := func(ctx context.Context) {
		for _, c := range lowered {
			k.restore(ctx, c)
		}
	}
	for _, e := range edits {
		c, ok := limitChangeOf(before, after, e.ID(), k.SlotOf)
		if !ok {
			continue
		}
		if err := k.lower(ctx, c); err != nil {
			undo(ctx)
			return nil, err
		}
		lowered = append(lowered, c)
	}
	return undo, nil
}

// limitChange is a budget whose limit an edit lowers or sets for the first time.
type limitChange struct {
	budget   ident.Budget
	slot     ident.Slot
	from, to int64
	old, new table.Version
}

func limitChangeOf(before, after table.Table, id table.ID, slotOf func(ident.Customer) ident.Slot) (limitChange, bool) {
	next, ok := after.Get(id)
	if !ok || id.Kind != table.Budget {
		return limitChange{}, false
	}
	old, existed := before.Get(id)
	c := limitChange{
		budget: ident.Budget(id.Name),
		slot:   slotOf(ident.Customer(next.Cells.Get(table.ColCustomer))),
		from:   old.Cells.Int(table.ColLimitTokens, 0),
		to:     next.Cells.Int(table.ColLimitTokens, 0),
		old:    old.Version,
		new:    next.Version,
	}
	return c, existed && c.to < c.from
}

// lower sets the target in the ledger and calls holdings back until it holds.
func (k *Keeper) lower(ctx context.Context, c limitChange) error {
	deadline := k.Clock.Now().Add(callBackTime)
	for {
		b, err := k.setTarget(ctx, c)
		if err != nil {
			return err
		}
		if b.Target == nil {
			k.callBack(ctx, b, c) // the holders place what is left anew
			k.Events.Add(event.Event{Step: event.Recall, Peer: string(c.budget), Decision: "limit lowered", Reason: fmt.Sprintf("to %d tokens", c.to)})
			return nil
		}
		if k.Clock.Now().After(deadline) || ctx.Err() != nil {
			k.restore(ctx, c)
			return table.Faults{k.belowSpent(b, c)}
		}
		k.callBack(ctx, b, c)
		k.Clock.Sleep(callBackPause)
		k.slotSync(c.slot).expire()
	}
}

func (k *Keeper) setTarget(ctx context.Context, c limitChange) (ledger.Budget, error) {
	var seen ledger.Budget
	err := k.update(ctx, c.slot, func(doc ledger.Slot) (ledger.Slot, error) {
		b, ok := doc.Budget(c.budget)
		if !ok {
			b = ledger.Budget{Name: c.budget}
		}
		seen = b.WithRow(c.to, c.new)
		return doc.WithBudget(seen), nil
	})
	return seen, err
}

// restore takes the target back, also where it is in force by now.
func (k *Keeper) restore(ctx context.Context, c limitChange) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callBackTime)
	defer cancel()
	_ = k.update(ctx, c.slot, func(doc ledger.Slot) (ledger.Slot, error) {
		b, ok := doc.Budget(c.budget)
		if !ok {
			return doc, nil
		}
		b = b.WithoutTarget(c.new)
		if b.Version == c.new {
			b.Limit, b.Version = max(b.Limit, c.from), c.old
		}
		return doc.WithBudget(b), nil
	})
}

// callBack asks every holder at once for what it does not need.
func (k *Keeper) callBack(ctx context.Context, b ledger.Budget, c limitChange) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	in := peer.Surrendering{Slot: c.slot, Budget: c.budget, Need: max(0, b.Committed()-c.to)}
	view := k.View()
	var wait sync.WaitGroup
	for _, a := range b.Accounts {
		to, ok := view.Member(a.Holder.Node())
		if !ok || to.Incarnation != a.Holder {
			continue
		}
		wait.Go(func() {
			if to.Node == k.Self.Node {
				k.Surrender(ctx, in)
				return
			}
			_, _ = k.Peers.Surrender(ctx, to, in)
		})
	}
	wait.Wait()
}

func (k *Keeper) belowSpent(b ledger.Budget, c limitChange) table.Fault {
	held := lo.Map(b.Accounts, func(a ledger.Account, _ int) string {
		return fmt.Sprintf("%s in %s: %d", a.Holder.Node(), a.Zone, a.Unspent())
	})
	return table.Fault{
		Row: table.ID{Kind: table.Budget, Name: string(c.budget)}, Cell: table.ColLimitTokens, Value: fmt.Sprint(c.to),
		Rule: fmt.Sprintf("a limit can't be lower than what is spent or committed: %d spent, %d committed, held by %v", b.Spent(), b.Committed(), held),
	}
}
