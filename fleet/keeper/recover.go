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

// recentSegments is how many segments before the ledger's mark are read for
// bills whose witnesses were not told that they are durable.
const recentSegments = 20

// clockSkew is how far the clocks of two VMs may differ.
const clockSkew = 10 * time.Second

// Stranding is a dead holder whose accounts can't be closed yet, and why.
type Stranding struct {
	Holder ident.Incarnation `json:"holder"`
	Zone   ident.Zone        `json:"zone"`
	Why    string            `json:"why"`
	Since  time.Time         `json:"since"`
}

// Recover looks after what dead nodes left: open requests without an entry,
// records known to one VM only, and accounts of dead holders.
func (k *Keeper) Recover(ctx context.Context) {
	k.endAbandoned(ctx)
	k.entrustAgain(ctx)
	k.passOn(ctx)
	k.closeDead(ctx)
	k.reconcile(ctx)
}

// passOn copies the records of holders that are over to another node of the
// zone, so that they are known to two VMs again until the accounts are closed.
func (k *Keeper) passOn(ctx context.Context) {
	for _, dead := range k.Witness().Holders() {
		if !k.lost(dead) {
			continue
		}
		for _, r := range k.unpassed(dead) {
			if by, _ := k.entrust(ctx, r); by != "" {
				k.mu.Lock()
				k.passed[r.Request] = passing{to: by, phase: r.Phase}
				k.mu.Unlock()
			}
		}
	}
}

// passing is where a copy of a dead holder's record went, and in which phase.
type passing struct {
	to    ident.Incarnation
	phase holder.Phase
}

// unpassed lists the records of a dead holder that no other live node is known to keep.
func (k *Keeper) unpassed(dead ident.Incarnation) []holder.Record {
	return lo.Filter(k.Witness().Of(dead), func(r holder.Record, _ int) bool {
		k.mu.Lock()
		p, ok := k.passed[r.Request]
		k.mu.Unlock()
		return !ok || p.phase != r.Phase || k.lost(p.to)
	})
}

// keptBy names the nodes to which a dead holder's records were passed on.
func (k *Keeper) keptBy(dead ident.Incarnation) []ident.Incarnation {
	records := k.Witness().Of(dead)
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.Uniq(lo.FilterMap(records, func(r holder.Record, _ int) (ident.Incarnation, bool) {
		p, ok := k.passed[r.Request]
		return p.to, ok
	}))
}

// prunePassed forgets where copies of dropped records went.
func (k *Keeper) prunePassed(ids []ident.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		delete(k.passed, id)
	}
}

// endAbandoned asks the engines about open requests whose entry does not answer.
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
			k.release(ctx, peer.Ending{Record: r, NotRun: true})
			continue
		}
		k.End(ctx, peer.Ending{Record: r, Usage: usage})
		k.Events.Add(event.Event{Request: r.Request, Step: event.Settle, Peer: string(r.Entry.Node()), Decision: "settled from the engine's outcome", Reason: "its entry does not answer"})
	}
}

// abandoned reports whether an open record waits for nobody but the engines.
func (k *Keeper) abandoned(r holder.Record) bool {
	return r.Phase == holder.Open && (len(r.Awaiting) > 0 || k.lost(r.Entry))
}

// lost reports whether an incarnation is silent or over.
func (k *Keeper) lost(i ident.Incarnation) bool {
	if i.Node() == k.Self.Node {
		return i != k.Incarnation()
	}
	view := k.View()
	return view.Gone(i) || view.StatusOf(i.Node(), k.Clock.Now()) == membership.StatusSuspect
}

// outcome adds up what all attempts of a request cost; ended is false while one
// may still run or can't be asked. An attempt that never started counts as ended
// only once its entry is over, since a paused entry may yet send it.
func (k *Keeper) outcome(ctx context.Context, r holder.Record, entryOver bool) (total holder.Usage, ended bool) {
	if !r.Model {
		return holder.Usage{}, entryOver
	}
	ended = true
	attempts := r.Attempts
	if len(r.Awaiting) > 0 {
		attempts, total, entryOver = r.Awaiting, r.Usage, true
	}
	for _, a := range attempts {
		o, err := k.Outcomes.Outcome(ctx, a, r.Request)
		if err == nil && !o.Ended() && k.Clock.Since(r.At) > k.options.Abandon {
			o, err = k.Outcomes.Cancel(ctx, a, r.Request)
		}
		if err != nil || !o.Ended() || (o.State == backend.StateNever && !entryOver) {
			ended = false
			continue
		}
		total.Prompt += o.PromptTokens
		total.Output += o.OutputTokens
	}
	return total, ended
}

// entrustAgain finds a second VM for records whose second VM is gone.
func (k *Keeper) entrustAgain(ctx context.Context) {
	for _, r := range k.Holding().Records() {
		if r.Phase == holder.Pending || r.Elsewhere {
			continue
		}
		second := r.Second()
		if second != "" && second.Node() != k.Self.Node && !k.lost(second) {
			continue
		}
		by, fenced := k.entrust(ctx, r)
		if by != "" && !fenced {
			k.handle(holder.Witnessed{Request: r.Request, By: by})
		}
	}
}

// Recovered lists the gone incarnations of the zone that no record depends on,
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
	departed := k.View().Departed(k.Self.Zone)
	for _, d := range departed[max(0, len(departed)-maxRecovered):] {
		if !needed[d.Incarnation] && len(k.unpassed(d.Incarnation)) == 0 {
			recovered = append(recovered, membership.Recovery{Gone: d.Incarnation, KeptBy: k.keptBy(d.Incarnation)})
		}
	}
	return recovered, alone
}

// maxRecovered bounds what a heartbeat tells of recovered incarnations.
const maxRecovered = 16
