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
	lowerTimeout   = 3 * time.Second
	recallInterval = 150 * time.Millisecond
)

// Prepare applies lowered limits to the ledgers before the edits that lower them
// are accepted. Holdings are recalled, and the edit is refused if the tokens that are
// spent, reserved or held by unreachable nodes exceed the new limit. The returned
// function undoes the changes.
func (k *Keeper) Prepare(ctx context.Context, before, after table.Table, edits []table.Edit) (func(context.Context), error) {
	var lowered []limitChange
	undo := func(ctx context.Context) {
		for _, c := range lowered {
			k.restoreLimit(ctx, c)
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

// limitChange is a budget whose limit an edit lowers.
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

// lower sets the target in the ledger and recalls holdings until it is in force.
func (k *Keeper) lower(ctx context.Context, c limitChange) error {
	deadline := k.Clock.Now().Add(lowerTimeout)
	for {
		b, err := k.setTarget(ctx, c)
		if err != nil {
			return err
		}
		if b.Target == nil {
			k.recallAll(ctx, b, c) // the holders redistribute the remaining tokens
			k.Events.Add(event.Event{Step: event.Recall, Peer: string(c.budget), Decision: "limit lowered", Reason: fmt.Sprintf("to %d tokens", c.to)})
			return nil
		}
		if k.Clock.Now().After(deadline) || ctx.Err() != nil {
			k.restoreLimit(ctx, c)
			return table.Faults{k.belowSpent(b, c)}
		}
		k.recallAll(ctx, b, c)
		k.Clock.Sleep(recallInterval)
		k.slotSync(c.slot).invalidate()
	}
}

func (k *Keeper) setTarget(ctx context.Context, c limitChange) (ledger.Budget, error) {
	var updated ledger.Budget
	err := k.update(ctx, c.slot, func(doc ledger.Slot) (ledger.Slot, error) {
		b, ok := doc.Budget(c.budget)
		if !ok {
			b = ledger.Budget{Name: c.budget}
		}
		updated = b.WithRow(c.to, c.new)
		return doc.WithBudget(updated), nil
	})
	return updated, err
}

// restoreLimit removes the target, or restores the earlier limit if the target is already in force.
func (k *Keeper) restoreLimit(ctx context.Context, c limitChange) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lowerTimeout)
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

// recallAll asks all holders concurrently to return tokens that they do not need.
func (k *Keeper) recallAll(ctx context.Context, b ledger.Budget, c limitChange) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	in := peer.SurrenderRequest{Slot: c.slot, Budget: c.budget, Need: max(0, b.Committed()-c.to)}
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
