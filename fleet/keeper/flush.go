package keeper

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

// BillPrefix is the prefix of the platform keys of all segments of bills.
const BillPrefix = "bills/"

// maxSegment is the maximum number of bills in a segment, well under the platform's limit.
const maxSegment = 2000

func segmentPrefix(zone ident.Zone, i ident.Incarnation) string {
	return fmt.Sprintf("%s%s/%s/", BillPrefix, zone, i)
}

func segmentKey(zone ident.Zone, i ident.Incarnation, seq int64) string {
	return fmt.Sprintf("%s%010d", segmentPrefix(zone, i), seq)
}

// segmentWriter is the state of writing segments in order. A segment whose answer was
// lost is written again unchanged before the next one.
type segmentWriter struct {
	durable int64 // last segment known to be stored in the platform
	pending []holder.Record
}

// Flush makes settled bills durable and updates the ledgers of all slots with accounts.
func (k *Keeper) Flush(ctx context.Context) error {
	k.Open()
	err := k.writeSegments(ctx)
	for _, slot := range k.Holding().Slots() {
		if syncErr := k.syncOrLeave(ctx, slot); syncErr != nil {
			err = errors.CombineErrors(err, syncErr)
			break // the platform is unavailable; the other slots wait for the next flush
		}
	}
	k.handle(holder.Expire{Before: k.Clock.Now().Add(-k.options.KeyRetention)})
	return err
}

func (k *Keeper) writeSegments(ctx context.Context) error {
	for {
		records := k.nextSegment()
		if len(records) == 0 {
			return nil
		}
		if err := k.writeSegment(ctx, records); err != nil {
			return err
		}
		if len(records) < maxSegment {
			return nil
		}
	}
}

// nextSegment selects the settled records of the next segment. Those without a cost
// need no bill.
func (k *Keeper) nextSegment() []holder.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.segments.pending) > 0 {
		return k.segments.pending
	}
	settled := lo.Filter(k.holding.Records(), func(r holder.Record, _ int) bool { return r.Phase == holder.Settled })
	k.segments.pending = settled[:min(len(settled), maxSegment)]
	return k.segments.pending
}

func (k *Keeper) writeSegment(ctx context.Context, records []holder.Record) error {
	k.mu.Lock()
	self, seq := k.holding.Self(), k.segments.durable
	k.mu.Unlock()
	billable := lo.Filter(records, func(r holder.Record, _ int) bool { return r.Billable() })
	if len(billable) > 0 {
		seq++
		segment := bill.Segment{Holder: self, Bills: lo.Map(billable, func(r holder.Record, _ int) bill.Bill { return r.Bill() })}
		if err := k.putSegment(ctx, segmentKey(k.Self.Zone, self, seq), segment); err != nil {
			return errors.Wrapf(err, "write segment %d", seq)
		}
	}
	k.markSegmentWritten(self, seq, records)
	k.notifyDurable(ctx, records)
	return nil
}

// markSegmentWritten records a segment and its bills in one step. If the ledger named the segment
// without its bills, a node that closes the account would miss them.
func (k *Keeper) markSegmentWritten(self ident.Incarnation, seq int64, records []holder.Record) {
	ids := lo.Map(records, func(r holder.Record, _ int) ident.Request { return r.Request })
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holding.Self() != self {
		return
	}
	k.segments = segmentWriter{durable: seq}
	k.holding, _ = k.holding.Handle(holder.Durable{Requests: ids})
}

// putSegment creates a segment. If the key already exists, it must hold the same segment
// from an earlier attempt whose answer was lost.
func (k *Keeper) putSegment(ctx context.Context, key string, segment bill.Segment) error {
	_, err := k.Platform.Put(ctx, key, 0, segment)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	existing, readErr := k.segmentOf(ctx, key)
	if readErr != nil {
		return errors.CombineErrors(err, readErr)
	}
	if len(existing) != len(segment.Bills) || existing[0].Request != segment.Bills[0].Request {
		return errors.Wrapf(err, "segment %s holds other bills", key)
	}
	return nil
}

// notifyDurable lets witnesses remove records whose bills are durable.
func (k *Keeper) notifyDurable(ctx context.Context, records []holder.Record) {
	byNode := map[ident.Node][]ident.Request{}
	for _, r := range records {
		for _, node := range lo.Uniq([]ident.Node{r.Entry.Node(), r.Witness.Node()}) {
			byNode[node] = append(byNode[node], r.Request)
		}
	}
	view := k.View()
	for n, ids := range byNode {
		if n == k.Self.Node {
			k.Drop(peer.DropRequest{Requests: ids})
			continue
		}
		if to, ok := view.Member(n); ok {
			_ = k.Peers.Drop(ctx, to, peer.DropRequest{Requests: ids})
		}
	}
}

// syncOrLeave syncs a slot that the node holds, and closes its accounts in a slot
// that has moved to another holder.
func (k *Keeper) syncOrLeave(ctx context.Context, slot ident.Slot) error {
	if k.isHolder(slot) || len(k.rank(slot)) == 0 {
		if !k.due(slot) {
			return nil
		}
		return k.SyncSlot(ctx, slot)
	}
	return k.LeaveSlot(ctx, slot)
}

// LeaveSlot closes the node's accounts in a slot once no request is open, and passes
// the unspent tokens and the keys on to the successor.
func (k *Keeper) LeaveSlot(ctx context.Context, slot ident.Slot) error {
	if _, open := k.handle(holder.Leave{Slot: slot}).(holder.Missing); open {
		return k.SyncSlot(ctx, slot)
	}
	if err := k.writeSegments(ctx); err != nil {
		return err
	}
	k.handOver(ctx, slot)
	var successor ident.Incarnation
	if rank := k.rank(slot); len(rank) > 0 {
		successor = rank[0].Incarnation
	}
	attempted := false
	err := k.update(ctx, slot, func(doc ledger.Slot) (ledger.Slot, error) {
		k.mu.Lock()
		post := k.holding.Post(slot, nil, holder.Credit{}, k.segments.durable, k.Clock.Now())
		k.mu.Unlock()
		post.Leave, post.Successor = true, successor
		next, err := doc.Apply(post)
		if attempted && errors.Is(err, ledger.ErrClosed) {
			return doc, nil // an earlier attempt took effect but its answer was lost
		}
		attempted = true
		return next, err
	})
	if err != nil {
		return err
	}
	k.handle(holder.Left{Slot: slot})
	k.Events.Add(event.Event{Step: event.Return, Peer: fmt.Sprintf("slot %d", slot), Decision: "left the slot", Reason: "another node holds it now"})
	return nil
}

// handOver passes the keys of a slot on to the nodes that rank first for it.
func (k *Keeper) handOver(ctx context.Context, slot ident.Slot) {
	keyed := lo.Filter(k.Holding().Keyed(), func(r holder.Record, _ int) bool { return r.Slot == slot })
	others := k.others(slot)
	if len(keyed) == 0 || len(others) == 0 {
		return
	}
	for _, to := range others[:min(len(others), claimNodes-1)] {
		_ = k.Peers.HandOver(ctx, to, peer.HandOver{Keyed: keyed})
	}
}
