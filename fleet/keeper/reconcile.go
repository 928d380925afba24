package keeper

import (
	"context"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/peer"
)

// reconcile asks the zones that were unreachable when a key was claimed. If the same
// request has run there too, the bill of the later one is voided by its own holder.
func (k *Keeper) reconcile(ctx context.Context) {
	for _, r := range k.Holding().Unverified() {
		for _, zone := range r.Unasked {
			if !k.recheckZone(ctx, r, zone) {
				break
			}
		}
	}
}

// recheckZone asks one zone. It returns false if the outcome is still open or the bill was voided.
func (k *Keeper) recheckZone(ctx context.Context, r holder.Record, zone ident.Zone) bool {
	rank := k.View().Rank(zone, r.Slot, k.Clock.Now())
	if len(rank) == 0 {
		return true
	}
	claimed, err := k.Peers.Claim(ctx, rank[0], peer.ClaimRequest{Record: r})
	if err != nil {
		return true
	}
	other := claimed.Existing
	if other == nil || other.Request == r.Request || other.Voided {
		k.handle(holder.Asked{Key: r.Key, Zone: zone})
		return true
	}
	if other.Phase != holder.Settled {
		return false
	}
	if r.Before(*other) {
		k.handle(holder.Asked{Key: r.Key, Zone: zone})
		return true
	}
	if k.isBeingWritten(r.Request) {
		return false
	}
	if _, done := k.handle(holder.Void{Key: r.Key}).(holder.Ended); done {
		k.Events.Add(event.Event{Request: r.Request, Step: event.Claim, Peer: string(other.Request), Decision: "bill taken back", Reason: "the same request had run in a zone that was cut off"})
	}
	return false
}

// isBeingWritten reports whether a request's bill is in a segment that is being written.
func (k *Keeper) isBeingWritten(id ident.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.SomeBy(k.segments.pending, func(r holder.Record) bool { return r.Request == id })
}
