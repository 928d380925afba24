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

// BillPrefix is the platform's prefix of every segment of bills.
const BillPrefix = "bills/"

// maxSegment is how many bills fit one segment, well under the platform's limit.
const maxSegment = 2000

func segmentPrefix(zone ident.Zone, i ident.Incarnation) string {
	return fmt.Sprintf("%s%s/%s/", BillPrefix, zone, i)
}

func segmentKey(zone ident.Zone, i ident.Incarnation, seq int64) string {
	return fmt.Sprintf("%s%010d", segmentPrefix(zone, i), seq)
}

// segmentWriter writes segments in order; one whose answer was lost is written
// again, the same, before the next.
type segmentWriter struct {
	durable int64 // the last segment known to lie in the platform
	pending []holder.Record
}

// Flush makes settled bills durable and posts the books of every slot held.
func (k *Keeper) Flush(ctx context.Context) error {
	k.Open()
	err := k.writeSegments(ctx)
	for _, slot := range k.Holding().Slots() {
		if syncErr := k.syncOrLeave(ctx, slot); syncErr != nil {
			err = errors.CombineErrors(err, syncErr)
			break // the platform is out: the other slots wait for the next flush
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

// nextSegment picks the settled records of the next segment. Those that cost
// nothing need no bill.
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
	k.segmentWritten(self, seq, records)
	k.tellDurable(ctx, records)
	return nil
}

// segmentWritten counts a segment and its bills at once: a post to the ledger that
// named the segment without its bills would let a closer of the account miss them.
func (k *Keeper) segmentWritten(self ident.Incarnation, seq int64, records []holder.Record) {
	ids := lo.Map(records, func(r holder.Record, _ int) ident.Request { return r.Request })
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.holding.Self() != self {
		return
	}
	k.segments = segmentWriter{durable: seq}
	k.holding, _ = k.holding.Handle(holder.Durable{Requests: ids})
}

// putSegment creates a segment. One that is there already must be an earlier try
// of the same, whose answer was lost.
func (k *Keeper) putSegment(ctx context.Context, key string, segment bill.Segment) error {
	_, err := k.Platform.Put(ctx, key, 0, segment)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	there, readErr := k.segmentOf(ctx, key)
	if readErr != nil {
		return errors.CombineErrors(err, readErr)
	}
	if len(there) != len(segment.Bills) || there[0].Request != segment.Bills[0].Request {
		return errors.Wrapf(err, "segment %s holds other bills", key)
	}
	return nil
}

// tellDurable lets the witnesses forget what lies in the platform.
func (k *Keeper) tellDurable(ctx context.Context, records []holder.Record) {
	byNode := map[ident.Node][]ident.Request{}
	for _, r := range records {
		for _, who := range lo.Uniq([]ident.Node{r.Entry.Node(), r.Witness.Node()}) {
			byNode[who] = append(byNode[who], r.Request)
		}
	}
	view := k.View()
	for n, ids := range byNode {
		if n == k.Self.Node {
			k.Drop(peer.Dropping{Requests: ids})
			continue
		}
		if to, ok := view.Member(n); ok {
			_ = k.Peers.Drop(ctx, to, peer.Dropping{Requests: ids})
		}
	}
}

// syncOrLeave posts a slot that the node holds, and closes the books of one
// that has moved to another holder.
func (k *Keeper) syncOrLeave(ctx context.Context, slot ident.Slot) error {
	if k.holds(slot) || len(k.rank(slot)) == 0 {
		if !k.due(slot) {
			return nil
		}
		return k.SyncSlot(ctx, slot)
	}
	return k.LeaveSlot(ctx, slot)
}

// LeaveSlot returns everything of a slot to the pool once nothing is open, and
// hands its keys to the successor.
func (k *Keeper) LeaveSlot(ctx context.Context, slot ident.Slot) error {
	if _, open := k.handle(holder.Leave{Slot: slot}).(holder.Missing); open {
		return k.SyncSlot(ctx, slot)
	}
	if err := k.writeSegments(ctx); err != nil {
		return err
	}
	k.handOver(ctx, slot)
	var heir ident.Incarnation
	if rank := k.rank(slot); len(rank) > 0 {
		heir = rank[0].Incarnation
	}
	tried := false
	err := k.update(ctx, slot, func(doc ledger.Slot) (ledger.Slot, error) {
		k.mu.Lock()
		post := k.holding.Post(slot, nil, holder.Credit{}, k.segments.durable, k.Clock.Now())
		k.mu.Unlock()
		post.Leave, post.Heir = true, heir
		next, err := doc.Apply(post)
		if tried && errors.Is(err, ledger.ErrClosed) {
			return doc, nil // an earlier try took effect and its answer was lost
		}
		tried = true
		return next, err
	})
	if err != nil {
		return err
	}
	k.handle(holder.Left{Slot: slot})
	k.Events.Add(event.Event{Step: event.Return, Peer: fmt.Sprintf("slot %d", slot), Decision: "left the slot", Reason: "another node holds it now"})
	return nil
}

func (k *Keeper) handOver(ctx context.Context, slot ident.Slot) {
	keyed := lo.Filter(k.Holding().Keyed(), func(r holder.Record, _ int) bool { return r.Slot == slot })
	others := k.others(slot)
	if len(keyed) == 0 || len(others) == 0 {
		return
	}
	for _, to := range others[:min(len(others), claimRanks-1)] {
		_ = k.Peers.HandOver(ctx, to, peer.HandOver{Keyed: keyed})
	}
}
