package keeper

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/witness"
)

// ErrFenced means that the request's holder is fenced and nothing more may run under it.
var ErrFenced = errors.New("the holder is fenced")

// End settles or releases a request. If its holder has died, the record is kept as a
// witness until the dead holder's accounts are closed.
func (k *Keeper) End(ctx context.Context, in peer.EndRequest) peer.RecordLookup {
	if in.NotRun {
		return k.release(ctx, in)
	}
	if len(in.Awaiting) > 0 {
		return k.await(ctx, in)
	}
	effect := k.handle(holder.Settle{At: k.Clock.Now(), Request: in.Record.Request, Usage: in.Usage, Answer: in.Answer})
	ended, ok := effect.(holder.Ended)
	if !ok {
		return k.orphan(in)
	}
	if ended.Record.Entry == k.Incarnation() {
		by, _ := k.storeAtWitness(ctx, ended.Record)
		k.handle(holder.Witnessed{Request: ended.Record.Request, By: by})
	}
	k.Events.Add(event.Event{Request: in.Record.Request, Step: event.Settle, Peer: string(ended.Record.Entry.Node()),
		Decision: "settled", Reason: describe(ended.Record)})
	return peer.RecordLookup{Found: true, Record: ended.Record}
}

// await keeps a request open until the cost of all its attempts is known.
func (k *Keeper) await(ctx context.Context, in peer.EndRequest) peer.RecordLookup {
	r := in.Record.WithAwaiting(in.Usage, in.Awaiting)
	existing, ok := k.handle(holder.Await{Request: r.Request, Usage: in.Usage, Attempts: in.Awaiting}).(holder.Existing)
	if !ok {
		k.handleWitness(witness.Store{Record: r})
		return peer.RecordLookup{Found: true, Record: r}
	}
	if existing.Record.Entry == k.Incarnation() {
		_, _ = k.storeAtWitness(ctx, existing.Record)
	}
	k.Events.Add(event.Event{Request: r.Request, Step: event.Settle, Peer: string(in.Awaiting[0].Endpoint), Decision: "kept reserved", Reason: "an attempt's cost is not known yet"})
	return peer.RecordLookup{Found: true, Record: existing.Record}
}

// orphan records the end of a request whose holder is another incarnation.
func (k *Keeper) orphan(in peer.EndRequest) peer.RecordLookup {
	if in.Record.Holder == k.Incarnation() {
		return peer.RecordLookup{Record: in.Record} // already settled and durable
	}
	r := in.Record.WithEnd(in.Usage, in.Answer, k.Clock.Now())
	k.handleWitness(witness.Store{Record: r})
	k.handleWitness(witness.Settle{Request: r.Request, Usage: in.Usage, At: k.Clock.Now()})
	k.Events.Add(event.Event{Request: r.Request, Step: event.Settle, Peer: string(r.Holder), Decision: "kept as witness", Reason: "its holder is over"})
	return peer.RecordLookup{Found: true, Record: r}
}

func (k *Keeper) release(ctx context.Context, in peer.EndRequest) peer.RecordLookup {
	effect := k.handle(holder.Release{Request: in.Record.Request})
	k.handleWitness(witness.Drop{Requests: []ident.Request{in.Record.Request}})
	if by := in.Record.Witness; by != "" {
		if to, ok := k.View().Member(by.Node()); ok {
			_ = k.Peers.Drop(ctx, to, peer.DropRequest{Requests: []ident.Request{in.Record.Request}})
		}
	}
	k.forget(ctx, holder.Admit{Record: in.Record, Claimed: true})
	ended, ok := effect.(holder.Ended)
	if !ok {
		return peer.RecordLookup{}
	}
	k.Events.Add(event.Event{Request: in.Record.Request, Step: event.Settle, Decision: "released", Reason: "it did not run"})
	return peer.RecordLookup{Found: true, Record: ended.Record}
}

func describe(r holder.Record) string {
	if r.Budget == "" {
		return "no tokens"
	}
	return "budget " + string(r.Budget)
}

// AddAttempt adds an attempt to an open request.
func (k *Keeper) AddAttempt(ctx context.Context, in peer.NoteRequest) peer.RecordLookup {
	effect := k.handle(holder.Noted{Request: in.Request, Attempt: in.Attempt, Extra: in.Extra})
	if short, ok := effect.(holder.Short); ok {
		k.topUp(ctx, short)
		effect = k.handle(holder.Noted{Request: in.Request, Attempt: in.Attempt, Extra: in.Extra})
	}
	admitted, ok := effect.(holder.Admitted)
	if !ok {
		return peer.RecordLookup{}
	}
	if admitted.Record.Entry == k.Incarnation() {
		_, _ = k.storeAtWitness(ctx, admitted.Record)
	}
	return peer.RecordLookup{Found: true, Record: admitted.Record}
}

// TakeOver makes another node the entry of an open request.
func (k *Keeper) TakeOver(in peer.TakeOver) peer.RecordLookup {
	existing, ok := k.handle(holder.TakeOver{Request: in.Request, Entry: in.Entry, EntryURL: in.EntryURL}).(holder.Existing)
	if !ok {
		return peer.RecordLookup{}
	}
	k.Events.Add(event.Event{Request: in.Request, Step: event.Resume, Peer: string(in.Entry.Node()), Decision: "new entry", Reason: "the old entry does not answer"})
	return peer.RecordLookup{Found: true, Record: existing.Record}
}

// Find looks up a request in the holder state and then in the witness state.
func (k *Keeper) Find(id ident.Request) peer.RecordLookup {
	if r, ok := k.Holding().Record(id); ok {
		return peer.RecordLookup{Found: true, Record: r}
	}
	r, ok := k.Witness().Record(id)
	return peer.RecordLookup{Found: ok, Record: r}
}

// StoreEntryRecord stores a record that this node runs as the entry VM under another holder.
// It returns ErrFenced if that holder is fenced.
func (k *Keeper) StoreEntryRecord(r holder.Record) error {
	if fenced, ok := k.handleWitness(witness.Store{Record: r}).(witness.Fenced); ok {
		return errors.Wrapf(ErrFenced, "holder %s", fenced.Holder)
	}
	return nil
}

// RecordEnd records the end of a request that this node ran as the entry VM.
func (k *Keeper) RecordEnd(id ident.Request, u holder.Usage) {
	k.handleWitness(witness.Settle{Request: id, Usage: u, At: k.Clock.Now()})
}

// Store stores records of another holder as its witness.
func (k *Keeper) Store(in peer.StoreRequest) peer.StoreResponse {
	for _, r := range in.Records {
		if fenced, ok := k.handleWitness(witness.Store{Record: r}).(witness.Fenced); ok {
			return peer.StoreResponse{Fenced: fenced.Holder}
		}
	}
	return peer.StoreResponse{}
}

// Drop removes records whose bills are durable or that did not run.
func (k *Keeper) Drop(in peer.DropRequest) {
	k.handleWitness(witness.Drop{Requests: in.Requests})
	k.pruneCopies(in.Requests)
}

// Fence fences a holder on this node and returns the records and the last heartbeat known of it.
func (k *Keeper) Fence(in peer.FenceRequest) peer.FenceResponse {
	k.handleWitness(witness.Fence{Holder: in.Holder})
	answer := peer.FenceResponse{From: k.Incarnation(), Records: k.Witness().Of(in.Holder)}
	if last, ok := k.View().Last(in.Holder); ok {
		answer.Last = &last
	}
	return answer
}

// TakeKeys stores the keys that a leaving holder passes on.
func (k *Keeper) TakeKeys(in peer.HandOver) {
	for _, r := range in.Keyed {
		k.handle(holder.Claim{Record: r, Store: true, At: k.Clock.Now()})
	}
}
