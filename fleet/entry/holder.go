package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// maxHolders is how many nodes are asked to admit a request before it is refused.
const maxHolders = 3

// admit asks the slot's holder in this zone, and its successors where it does not answer.
func (e *Entry) admit(ctx context.Context, a peer.Admission) peer.Verdict {
	ctx, span := e.Tracer.Start(ctx, "admit")
	defer span.End()
	refusal := problem.New(problem.NoHolder, "no node of the zone answered for the slot")
	for _, to := range e.rank(a.Record.Slot) {
		a.Record.Entry = e.Keeper.Incarnation()
		verdict, err := e.askHolder(ctx, to, a)
		if err != nil {
			e.Events.Add(event.Event{Request: a.Record.Request, Step: event.Admit, Peer: string(to.Node), Decision: "asked the next node", Reason: err.Error()})
			refusal = refusal.At(string(event.Admit), string(to.Node))
			// It may have reserved all the same: tell it that nothing runs under it.
			e.post(peer.Ending{Record: a.Record.WithHolder(to.Incarnation), NotRun: true})
			continue
		}
		if verdict.Refused != nil && verdict.Refused.Reason == problem.NoHolder {
			refusal = verdict.Refused
			continue
		}
		return verdict
	}
	return peer.Verdict{Refused: refusal}
}

func (e *Entry) rank(slot ident.Slot) []membership.Member {
	rank := e.View().Rank(e.Self.Zone, slot, e.Clock.Now())
	return rank[:min(len(rank), maxHolders)]
}

// askHolder asks one node; what it admits is remembered here as the second VM.
func (e *Entry) askHolder(ctx context.Context, to membership.Member, a peer.Admission) (peer.Verdict, error) {
	if to.Node == e.Self.Node {
		return e.Keeper.Admit(ctx, a), nil
	}
	verdict, err := peer.Call[peer.Verdict](ctx, e.Caller, to, peer.VerbAdmit, a)
	if err != nil {
		return verdict, err
	}
	if verdict.Admitted == nil {
		return verdict, nil
	}
	if err := e.Keeper.Remember(*verdict.Admitted); err != nil {
		e.post(peer.Ending{Record: *verdict.Admitted, NotRun: true})
		return peer.Verdict{}, errors.Wrapf(err, "step %s, peer %s", event.Admit, to.Node)
	}
	return verdict, nil
}

// end reports the end of a request to its holder, or to a successor once the
// holder is over. It returns when a second VM knows, or leaves it to the outbox.
func (e *Entry) end(ctx context.Context, in peer.Ending) {
	ctx, span := e.Tracer.Start(ctx, "settle")
	defer span.End()
	if !in.NotRun {
		e.Keeper.Ended(in.Record.Request, in.Usage)
	}
	if err := e.tryEnd(ctx, in); err != nil {
		e.Events.Add(event.Event{Request: in.Record.Request, Step: event.Settle, Peer: string(in.Record.Holder), Decision: "will be reported again", Reason: err.Error()})
		e.post(in)
		return
	}
	e.Metrics.Settled(ctx)
}

func (e *Entry) tryEnd(ctx context.Context, in peer.Ending) error {
	if in.Record.Holder == e.Keeper.Incarnation() {
		e.Keeper.End(ctx, in)
		return nil
	}
	targets := e.endTargets(in)
	var last error = errors.Newf("step %s, peer %s: no node to tell", event.Settle, in.Record.Holder)
	for _, to := range targets {
		if to.Node == e.Self.Node {
			e.Keeper.End(ctx, in)
			return nil
		}
		_, err := peer.Call[peer.Known](ctx, e.Caller, to, peer.VerbEnd, in)
		if err == nil {
			return nil
		}
		last = err
	}
	return last
}

// endTargets are the holder itself while it lives, and then other nodes of the
// zone, which keep the end as witnesses. A request that did not run is told to
// its holder alone.
func (e *Entry) endTargets(in peer.Ending) []membership.Member {
	view := e.View()
	var targets []membership.Member
	if m, ok := view.Member(in.Record.Holder.Node()); ok && m.Incarnation == in.Record.Holder {
		targets = append(targets, m)
	}
	if in.NotRun {
		return targets
	}
	for _, m := range e.rank(in.Record.Slot) {
		if m.Incarnation != in.Record.Holder && m.Node != e.Self.Node {
			targets = append(targets, m)
		}
	}
	return targets
}

// post leaves an end to be reported by the next ticks.
func (e *Entry) post(in peer.Ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outbox = append(e.outbox, in)
}

// report sends what lies in the outbox; what can't be told stays, unless its
// holder is over and nothing ran.
func (e *Entry) report(ctx context.Context) {
	e.mu.Lock()
	due := e.outbox
	e.outbox = nil
	e.mu.Unlock()
	for _, in := range due {
		if in.NotRun && e.View().Gone(in.Record.Holder) {
			continue
		}
		if err := e.tryEnd(ctx, in); err != nil {
			e.post(in)
		}
	}
}

// note tells the holder of a further attempt before it is sent.
func (e *Entry) note(ctx context.Context, r holder.Record, a holder.Attempt, extra int64) bool {
	in := peer.Noting{Request: r.Request, Attempt: a, Extra: extra}
	if r.Holder == e.Keeper.Incarnation() {
		return e.Keeper.Note(ctx, in).Found
	}
	to, ok := e.View().Member(r.Holder.Node())
	if !ok || to.Incarnation != r.Holder {
		return false
	}
	known, err := peer.Call[peer.Known](ctx, e.Caller, to, peer.VerbNote, in)
	return err == nil && known.Found && e.Keeper.Remember(known.Record) == nil
}
