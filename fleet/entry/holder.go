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

// maxHolders is the maximum number of nodes asked to admit a request before it is refused.
const maxHolders = 3

// admit asks the slot's holder in this zone for admission, and its successors if it does not answer.
func (e *Entry) admit(ctx context.Context, a peer.AdmitRequest) peer.AdmitResponse {
	ctx, span := e.Tracer.Start(ctx, "admit")
	defer span.End()
	refusal := problem.New(problem.NoHolder, "no node of the zone answered for the slot")
	for _, to := range e.rank(a.Record.Slot) {
		a.Record.Entry = e.Keeper.Incarnation()
		verdict, err := e.admitAt(ctx, to, a)
		if err != nil {
			e.Events.Add(event.Event{Request: a.Record.Request, Step: event.Admit, Peer: string(to.Node), Decision: "asked the next node", Reason: err.Error()})
			refusal = refusal.At(string(event.Admit), string(to.Node))
			// The node may have reserved tokens all the same; report that nothing runs.
			e.enqueueEnding(peer.EndRequest{Record: a.Record.WithHolder(to.Incarnation), NotRun: true})
			continue
		}
		if verdict.Refused != nil && verdict.Refused.Reason == problem.NoHolder {
			refusal = verdict.Refused
			continue
		}
		return verdict
	}
	return peer.AdmitResponse{Refused: refusal}
}

func (e *Entry) rank(slot ident.Slot) []membership.Member {
	rank := e.View().Rank(e.Self.Zone, slot, e.Clock.Now())
	return rank[:min(len(rank), maxHolders)]
}

// admitAt asks one node for admission. An admitted record is stored here as well, so that a
// second VM has it.
func (e *Entry) admitAt(ctx context.Context, to membership.Member, a peer.AdmitRequest) (peer.AdmitResponse, error) {
	if to.Node == e.Self.Node {
		return e.Keeper.Admit(ctx, a), nil
	}
	verdict, err := peer.Call[peer.AdmitResponse](ctx, e.Caller, to, peer.VerbAdmit, a)
	if err != nil {
		return verdict, err
	}
	if verdict.Admitted == nil {
		return verdict, nil
	}
	if err := e.Keeper.StoreEntryRecord(*verdict.Admitted); err != nil {
		e.enqueueEnding(peer.EndRequest{Record: *verdict.Admitted, NotRun: true})
		return peer.AdmitResponse{}, errors.Wrapf(err, "step %s, peer %s", event.Admit, to.Node)
	}
	return verdict, nil
}

// end reports the end of a request to its holder, or to a successor once the holder's incarnation
// has ended. It returns when a second VM has the report, or leaves it in the outbox.
func (e *Entry) end(ctx context.Context, ending peer.EndRequest) {
	ctx, span := e.Tracer.Start(ctx, "settle")
	defer span.End()
	if !ending.NotRun {
		e.Keeper.RecordEnd(ending.Record.Request, ending.Usage)
	}
	if err := e.sendEnding(ctx, ending); err != nil {
		e.Events.Add(event.Event{Request: ending.Record.Request, Step: event.Settle, Peer: string(ending.Record.Holder), Decision: "will be reported again", Reason: err.Error()})
		e.enqueueEnding(ending)
		return
	}
	e.Metrics.Settled(ctx)
}

func (e *Entry) sendEnding(ctx context.Context, ending peer.EndRequest) error {
	if ending.Record.Holder == e.Keeper.Incarnation() {
		e.Keeper.End(ctx, ending)
		return nil
	}
	targets := e.endingTargets(ending)
	var lastErr error = errors.Newf("step %s, peer %s: no node to tell", event.Settle, ending.Record.Holder)
	for _, to := range targets {
		if to.Node == e.Self.Node {
			e.Keeper.End(ctx, ending)
			return nil
		}
		_, err := peer.Call[peer.RecordLookup](ctx, e.Caller, to, peer.VerbEnd, ending)
		if err == nil {
			return nil
		}
		lastErr = err
	}
	return lastErr
}

// endingTargets returns the nodes to report an ending to: the holder while its incarnation lasts,
// and then other nodes of the zone, which store the ending as witnesses. The ending of a request
// that did not run goes to its holder only.
func (e *Entry) endingTargets(ending peer.EndRequest) []membership.Member {
	view := e.View()
	var targets []membership.Member
	if m, ok := view.Member(ending.Record.Holder.Node()); ok && m.Incarnation == ending.Record.Holder {
		targets = append(targets, m)
	}
	if ending.NotRun {
		return targets
	}
	for _, m := range e.rank(ending.Record.Slot) {
		if m.Incarnation != ending.Record.Holder && m.Node != e.Self.Node {
			targets = append(targets, m)
		}
	}
	return targets
}

// enqueueEnding puts an ending into the outbox, to be reported by the next Tick.
func (e *Entry) enqueueEnding(ending peer.EndRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outbox = append(e.outbox, ending)
}

// flushOutbox sends the endings in the outbox. Those that can't be sent stay, unless the holder's
// incarnation has ended and nothing ran.
func (e *Entry) flushOutbox(ctx context.Context) {
	e.mu.Lock()
	due := e.outbox
	e.outbox = nil
	e.mu.Unlock()
	for _, ending := range due {
		if ending.NotRun && e.View().Gone(ending.Record.Holder) {
			continue
		}
		if err := e.sendEnding(ctx, ending); err != nil {
			e.enqueueEnding(ending)
		}
	}
}

// noteAttempt reports a further attempt to the holder before it is sent.
func (e *Entry) noteAttempt(ctx context.Context, r holder.Record, a holder.Attempt, extra int64) bool {
	note := peer.NoteRequest{Request: r.Request, Attempt: a, Extra: extra}
	if r.Holder == e.Keeper.Incarnation() {
		return e.Keeper.AddAttempt(ctx, note).Found
	}
	to, ok := e.View().Member(r.Holder.Node())
	if !ok || to.Incarnation != r.Holder {
		return false
	}
	known, err := peer.Call[peer.RecordLookup](ctx, e.Caller, to, peer.VerbNote, note)
	return err == nil && known.Found && e.Keeper.StoreEntryRecord(known.Record) == nil
}
