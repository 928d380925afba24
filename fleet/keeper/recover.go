package keeper

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
)

// recentSegments is how many segments up to the last one covered by the ledger are read for
// bills whose witnesses were not notified that they are durable.
const recentSegments = 20

// clockSkew is the maximum difference between the clocks of two VMs.
const clockSkew = 10 * time.Second

// StrandedHolder is a dead holder whose accounts can't be closed yet, and why.
type StrandedHolder struct {
	Holder ident.Incarnation `json:"holder"`
	Zone   ident.Zone        `json:"zone"`
	Why    string            `json:"why"`
	Since  time.Time         `json:"since"`
}

// Recover cleans up after dead nodes: open requests without an entry VM, records
// known to one VM only, and accounts of dead holders.
func (k *Keeper) Recover(ctx context.Context) {
	k.endAbandoned(ctx)
	k.replaceWitnesses(ctx)
	k.copyRecords(ctx)
	k.closeDead(ctx)
	k.reconcile(ctx)
}

// copyRecords copies the records of dead holders to another node of the zone, so that
// two VMs have them again until the accounts are closed.
func (k *Keeper) copyRecords(ctx context.Context) {
	for _, dead := range k.Witness().Holders() {
		if !k.unresponsive(dead) {
			continue
		}
		for _, r := range k.uncopied(dead) {
			if by, _ := k.storeAtWitness(ctx, r); by != "" {
				k.mu.Lock()
				k.copies[r.Request] = recordCopy{to: by, phase: r.Phase}
				k.mu.Unlock()
			}
		}
	}
}

// recordCopy is the node that has a copy of a dead holder's record, and the phase of that copy.
type recordCopy struct {
	to    ident.Incarnation
	phase holder.Phase
}

// uncopied returns the records of a dead holder of which no other live node is known to have a current copy.
func (k *Keeper) uncopied(dead ident.Incarnation) []holder.Record {
	return lo.Filter(k.Witness().Of(dead), func(r holder.Record, _ int) bool {
		k.mu.Lock()
		c, ok := k.copies[r.Request]
		k.mu.Unlock()
		return !ok || c.phase != r.Phase || k.unresponsive(c.to)
	})
}

// copiedTo returns the nodes to which a dead holder's records were copied.
func (k *Keeper) copiedTo(dead ident.Incarnation) []ident.Incarnation {
	records := k.Witness().Of(dead)
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.Uniq(lo.FilterMap(records, func(r holder.Record, _ int) (ident.Incarnation, bool) {
		c, ok := k.copies[r.Request]
		return c.to, ok
	}))
}

// pruneCopies removes the entries of dropped records.
func (k *Keeper) pruneCopies(ids []ident.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		delete(k.copies, id)
	}
}

// endAbandoned settles or releases open requests whose entry VM does not answer, by the outcomes
// that engines report.
func (k *Keeper) endAbandoned(ctx context.Context) {
	for _, r := range k.Holding().Records() {
		if !k.abandoned(r) {
			continue
		}
		usage, ended := k.outcome(ctx, r, k.View().Gone(r.Entry))
		if !ended {
			continue
		}
		if r.Model && usage.Tokens() == 0 && k.View().Gone(r.Entry) {
			k.release(ctx, peer.EndRequest{Record: r, NotRun: true})
			continue
		}
		k.End(ctx, peer.EndRequest{Record: r, Usage: usage})
		k.Events.Add(event.Event{Request: r.Request, Step: event.Settle, Peer: string(r.Entry.Node()), Decision: "settled from the engine's outcome", Reason: "its entry does not answer"})
	}
}

// abandoned reports whether only the engines can still report the end of an open record.
func (k *Keeper) abandoned(r holder.Record) bool {
	return r.Phase == holder.Open && (len(r.Awaiting) > 0 || k.unresponsive(r.Entry))
}

// unresponsive reports whether an incarnation is suspected or has ended.
func (k *Keeper) unresponsive(i ident.Incarnation) bool {
	if i.Node() == k.Self.Node {
		return i != k.Incarnation()
	}
	view := k.View()
	return view.Gone(i) || view.StatusOf(i.Node(), k.Clock.Now()) == membership.StatusSuspect
}

// outcome returns the total cost of all attempts of a request; ended is false while one
// may still run or can't be queried. An attempt that never started counts as ended
// only once its entry VM's incarnation has ended, since a paused VM may still send it.
func (k *Keeper) outcome(ctx context.Context, r holder.Record, entryEnded bool) (total holder.Usage, ended bool) {
	if !r.Model {
		return holder.Usage{}, entryEnded
	}
	ended = true
	attempts := r.Attempts
	if len(r.Awaiting) > 0 {
		attempts, total, entryEnded = r.Awaiting, r.Usage, true
	}
	for _, a := range attempts {
		o, err := k.Outcomes.Outcome(ctx, a, r.Request)
		if err == nil && !o.Ended() && k.Clock.Since(r.At) > k.options.AbandonAfter {
			o, err = k.Outcomes.Cancel(ctx, a, r.Request)
		}
		if err != nil || !o.Ended() || (o.State == backend.StateNeverStarted && !entryEnded) {
			ended = false
			continue
		}
		total.Prompt += o.PromptTokens
		total.Output += o.OutputTokens
	}
	return total, ended
}

// replaceWitnesses stores records at a new witness if the second VM that had them is gone.
func (k *Keeper) replaceWitnesses(ctx context.Context) {
	for _, r := range k.Holding().Records() {
		if r.Phase == holder.Pending || r.Elsewhere {
			continue
		}
		second := r.Second()
		if second != "" && second.Node() != k.Self.Node && !k.unresponsive(second) {
			continue
		}
		by, fenced := k.storeAtWitness(ctx, r)
		if by != "" && !fenced {
			k.handle(holder.Witnessed{Request: r.Request, By: by})
		}
	}
}

// Recovered returns the departed incarnations of the zone that no record depends on,
// and whether some record is known to no other VM.
func (k *Keeper) Recovered() (recovered []membership.Recovery, alone bool) {
	needed := map[ident.Incarnation]bool{}
	for _, r := range k.Holding().Records() {
		if r.Phase == holder.Pending || r.Elsewhere {
			continue
		}
		second := r.Second()
		alone = alone || second == "" || second == k.Incarnation()
		needed[second] = true
	}
	departed := k.View().GoneMembers(k.Self.Zone)
	for _, d := range departed[max(0, len(departed)-maxRecovered):] {
		if !needed[d.Incarnation] && len(k.uncopied(d.Incarnation)) == 0 {
			recovered = append(recovered, membership.Recovery{Gone: d.Incarnation, KeptBy: k.copiedTo(d.Incarnation)})
		}
	}
	return recovered, alone
}

// maxRecovered bounds how many recovered incarnations a heartbeat lists.
const maxRecovered = 16
