package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	maxFollowTries = 20
	followPause    = 250 * time.Millisecond
	endEvent       = "end"
	maxEventBytes  = 4 << 20
)

var (
	errUnknownThere = errors.New("the entry does not know the request")
	errNotRunning   = errors.New("the request's entry is gone")
)

// runEnd is the last event of a run that another node follows.
type runEnd struct {
	State   RunState         `json:"state"`
	Usage   holder.Usage     `json:"usage"`
	Answer  *holder.Answer   `json:"answer,omitempty"`
	Problem *problem.Problem `json:"problem,omitempty"`
}

// ServeRun lets another node read a run: its chunks from a number on, and its end.
func (e *Entry) ServeRun(w http.ResponseWriter, r *http.Request) {
	run, ok := e.find(ident.Request(r.PathValue("id")))
	if !ok {
		http.Error(w, errUnknownThere.Error(), http.StatusNotFound)
		return
	}
	defer run.attach(e.Clock.Now)()
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	openStream(w, run.look(0).id)
	flush(w)
	for {
		v := run.look(from)
		for _, chunk := range v.chunks {
			if !send(w, strconv.Itoa(from), "", chunk) {
				return
			}
			from++
		}
		if v.state.Ended() {
			data, _ := json.Marshal(runEnd{State: v.state, Usage: v.usage, Answer: v.answer, Problem: v.problem})
			send(w, strconv.Itoa(from), endEvent, string(data))
			flush(w)
			return
		}
		flush(w)
		if !v.wait(r.Context()) {
			return
		}
	}
}

// startFollow makes a run here that follows a request known from its record.
func (e *Entry) startFollow(ctx context.Context, record holder.Record) *run {
	r := newRun(record.Request, record.Customer, record.Key != "", nil, e.Clock.Now())
	return e.launch(ctx, r, func(ctx context.Context, r *run) { e.follow(ctx, r, record) })
}

// follow gives a run the answer of the request that a record names: from its
// entry while that lives, and else from the engine or the kept answer.
func (e *Entry) follow(ctx context.Context, r *run, record holder.Record) {
	r.begin(record)
	e.alias(record.Request, r)
	for range maxFollowTries {
		done, err := e.followOnce(ctx, r, record)
		if done || ctx.Err() != nil {
			break
		}
		if err != nil {
			e.Events.Add(event.Event{Request: record.Request, Step: event.Resume, Peer: string(record.Entry.Node()), Decision: "looks again", Reason: err.Error()})
		}
		e.sleep(ctx, followPause)
		if fresh, ok := e.locate(ctx, record.Request); ok {
			record = fresh
		}
	}
	if v := r.look(0); !v.state.Ended() {
		p := problem.New(problem.KeyInterrupted, "the request's first try can't be reached").WithOutcome(problem.Unknown)
		r.fail(p.At(string(event.Resume), string(record.Entry.Node())), RunFailed, holder.Usage{}, e.Clock.Now())
	}
}

func (e *Entry) sleep(ctx context.Context, d time.Duration) {
	timer := e.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func (e *Entry) followOnce(ctx context.Context, r *run, record holder.Record) (done bool, err error) {
	if local, ok := e.find(record.Request); ok && local != r {
		return e.mirrorLocal(ctx, r, local)
	}
	if record.Entry != e.Keeper.Incarnation() {
		done, err = e.mirrorRemote(ctx, r, record)
		if done || !errors.IsAny(err, errUnknownThere, errNotRunning) {
			return done, err
		}
	}
	if record.Phase == holder.Pending {
		return false, errNotRunning
	}
	return e.takeOver(ctx, r, record)
}

// mirrorLocal copies a run of this node.
func (e *Entry) mirrorLocal(ctx context.Context, r, from *run) (bool, error) {
	defer from.attach(e.Clock.Now)()
	for {
		v := from.look(r.relayed())
		for _, chunk := range v.chunks {
			r.relay(chunk)
		}
		if v.state.Ended() {
			e.copyEnd(r, runEnd{State: v.state, Usage: v.usage, Answer: v.answer, Problem: v.problem})
			return true, nil
		}
		if !v.wait(ctx) {
			return false, ctx.Err()
		}
	}
}

func (e *Entry) copyEnd(r *run, end runEnd) {
	if end.Problem != nil {
		r.fail(end.Problem, end.State, end.Usage, e.Clock.Now())
		return
	}
	r.finish(end.Usage, end.Answer, e.Clock.Now())
}

// mirrorRemote copies a run of the node that is its entry.
func (e *Entry) mirrorRemote(ctx context.Context, r *run, record holder.Record) (bool, error) {
	if e.View().Gone(record.Entry) {
		return false, errNotRunning
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := e.Clock.AfterFunc(e.options.AnswerTime, cancel)
	defer watch.Stop()
	u := record.EntryURL + "/peer/runs/" + url.PathEscape(string(record.Request)) + "?from=" + strconv.Itoa(r.relayed())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false, err
	}
	res, err := e.Caller.Do(req)
	if err != nil {
		return false, errors.Mark(err, errNotRunning)
	}
	defer res.Body.Close()
	watch.Stop()
	if res.StatusCode != http.StatusOK {
		return false, errUnknownThere
	}
	return e.readMirror(r, res)
}

func (e *Entry) readMirror(r *run, res *http.Response) (bool, error) {
	for ev, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return false, errors.Wrap(err, "the entry's stream broke")
		}
		if ev.Type != endEvent {
			r.relay(ev.Data)
			continue
		}
		var end runEnd
		if err := json.Unmarshal([]byte(ev.Data), &end); err != nil {
			return false, errors.Wrap(err, "the entry's last event")
		}
		e.copyEnd(r, end)
		return true, nil
	}
	return false, errors.New("the entry's stream ended early")
}

// takeOver becomes the entry of a request whose entry is gone.
func (e *Entry) takeOver(ctx context.Context, r *run, record holder.Record) (bool, error) {
	if !record.Model {
		return e.keptAnswer(r, record)
	}
	if len(record.Attempts) == 0 {
		return false, errNotRunning
	}
	if record.Phase == holder.Open {
		record = e.claimEntry(ctx, record)
	}
	last := record.Attempts[len(record.Attempts)-1]
	stream, err := e.Backend.Resume(ctx, last, record.Request, r.relayed())
	if err != nil {
		return false, err
	}
	defer stream.Close()
	e.Metrics.Resumed(ctx)
	e.Events.Add(event.Event{Request: record.Request, Step: event.Resume, Peer: string(last.Endpoint), Decision: "took over from " + string(record.Entry.Node()), Reason: "its entry is gone"})
	return e.readTakenOver(ctx, r, record, stream)
}

func (e *Entry) readTakenOver(ctx context.Context, r *run, record holder.Record, stream *backend.Stream) (bool, error) {
	var usage *holder.Usage
	var lastChunk string
	for chunk, err := range stream.Chunks() {
		switch {
		case err != nil:
			return false, err
		case chunk.Done && usage != nil:
			return true, e.endTakenOver(ctx, r, record, *usage, lastChunk)
		case chunk.Usage != nil:
			usage, lastChunk = chunk.Usage, chunk.Data
		case !chunk.Done:
			r.relay(chunk.Data)
		}
	}
	return false, backend.ErrTruncated
}

func (e *Entry) endTakenOver(ctx context.Context, r *run, record holder.Record, usage holder.Usage, lastChunk string) error {
	if record.Phase == holder.Open {
		total := e.withEarlier(ctx, record, usage)
		e.end(context.WithoutCancel(ctx), peer.Ending{Record: record, Usage: total})
	}
	r.relay(lastChunk)
	r.finish(usage, nil, e.Clock.Now())
	return nil
}

// withEarlier adds what attempts before the last cost.
func (e *Entry) withEarlier(ctx context.Context, record holder.Record, usage holder.Usage) holder.Usage {
	for _, a := range record.Attempts[:len(record.Attempts)-1] {
		if o, err := e.Backend.Outcome(ctx, a, record.Request); err == nil {
			usage = usage.Plus(o.Usage())
		}
	}
	return usage
}

// claimEntry tells the holder that this node is the request's entry now.
func (e *Entry) claimEntry(ctx context.Context, record holder.Record) holder.Record {
	in := peer.TakeOver{Request: record.Request, Entry: e.Keeper.Incarnation(), EntryURL: e.Self.URL}
	var known peer.Known
	if record.Holder == e.Keeper.Incarnation() {
		known = e.Keeper.TakeOver(in)
	} else if to, ok := e.View().Member(record.Holder.Node()); ok && to.Incarnation == record.Holder {
		known, _ = peer.Call[peer.Known](ctx, e.Caller, to, peer.VerbTakeOver, in)
	}
	if known.Found {
		return known.Record
	}
	return record
}

// keptAnswer answers a retry of a plain call whose entry is gone.
func (e *Entry) keptAnswer(r *run, record holder.Record) (bool, error) {
	if record.Phase == holder.Open {
		return false, errNotRunning
	}
	if record.Answer == nil {
		p := problem.New(problem.KeyInterrupted, "the first try may have run; its answer is lost").WithOutcome(problem.Unknown)
		r.fail(p.At(string(event.Resume), string(record.Entry.Node())), RunFailed, holder.Usage{}, e.Clock.Now())
		return true, nil
	}
	r.finish(holder.Usage{}, record.Answer, e.Clock.Now())
	return true, nil
}

// locate finds the record of a request in the zone where it entered: at its
// slot's holder or at a witness.
func (e *Entry) locate(ctx context.Context, id ident.Request) (holder.Record, bool) {
	ctx, span := e.Tracer.Start(ctx, "locate", trace.WithSpanKind(trace.SpanKindInternal))
	defer span.End()
	zone, slot, err := id.Parse()
	if err != nil {
		return holder.Record{}, false
	}
	if known := e.Keeper.Find(id); known.Found && !known.Record.Elsewhere {
		return known.Record, true
	}
	for _, m := range e.zoneNodes(zone, slot) {
		if m.Node == e.Self.Node {
			continue
		}
		known, err := peer.Call[peer.Known](ctx, e.Caller, m, peer.VerbFind, peer.Known{Record: holder.Record{Request: id}})
		if err == nil && known.Found && !known.Record.Elsewhere {
			return known.Record, true
		}
	}
	known := e.Keeper.Find(id)
	return known.Record, known.Found
}

// zoneNodes lists a zone's reachable nodes, the slot's holder first.
func (e *Entry) zoneNodes(zone ident.Zone, slot ident.Slot) []membership.Member {
	now, view := e.Clock.Now(), e.View()
	nodes := view.Rank(zone, slot, now)
	seen := map[ident.Node]bool{}
	for _, m := range nodes {
		seen[m.Node] = true
	}
	for _, m := range view.Reachable(zone, now) {
		if !seen[m.Node] {
			nodes = append(nodes, m)
		}
	}
	return nodes
}
