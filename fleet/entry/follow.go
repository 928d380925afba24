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
	maxFollowAttempts = 20
	followInterval    = 250 * time.Millisecond
	endEvent          = "end"
	maxEventBytes     = 4 << 20
)

var (
	errUnknownAtEntry = errors.New("the entry does not know the request")
	errNotRunning     = errors.New("the request's entry is gone")
)

// runEnd is the last event of the stream of a run that another node follows.
type runEnd struct {
	State   RunState         `json:"state"`
	Usage   holder.Usage     `json:"usage"`
	Answer  *holder.Answer   `json:"answer,omitempty"`
	Problem *problem.Problem `json:"problem,omitempty"`
}

// ServeRun streams a run to another node: its chunks from a given number on, and its end.
func (e *Entry) ServeRun(w http.ResponseWriter, r *http.Request) {
	run, ok := e.find(ident.Request(r.PathValue("id")))
	if !ok {
		http.Error(w, errUnknownAtEntry.Error(), http.StatusNotFound)
		return
	}
	defer run.attach(e.Clock.Now)()
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	openStream(w, run.viewFrom(0).id)
	flush(w)
	for {
		v := run.viewFrom(from)
		if v.dropped {
			abort()
		}
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

// startFollow starts a run that follows the request of a record.
func (e *Entry) startFollow(ctx context.Context, record holder.Record) *run {
	r := e.newRun(record.Request, record.Customer, record.Key != "")
	return e.launch(ctx, r, func(ctx context.Context, r *run) { e.follow(ctx, r, record) })
}

// follow copies the answer of the request of a record to a run: from its entry while that runs,
// and otherwise from the engine or the stored answer.
func (e *Entry) follow(ctx context.Context, r *run, record holder.Record) {
	r.begin(record)
	e.alias(record.Request, r)
	for range maxFollowAttempts {
		done, err := e.followOnce(ctx, r, record)
		if done || ctx.Err() != nil {
			break
		}
		if err != nil {
			e.Events.Add(event.Event{Request: record.Request, Step: event.Resume, Peer: string(record.Entry.Node()), Decision: "looks again", Reason: err.Error()})
		}
		e.sleep(ctx, followInterval)
		if current, ok := e.locate(ctx, record.Request); ok {
			record = current
		}
	}
	if v := r.viewFrom(0); !v.state.Ended() {
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
		if done || !errors.IsAny(err, errUnknownAtEntry, errNotRunning) {
			return done, err
		}
	}
	if record.Phase == holder.Pending {
		return false, errNotRunning
	}
	return e.takeOver(ctx, r, record)
}

// mirrorLocal copies another run of this node.
func (e *Entry) mirrorLocal(ctx context.Context, r, from *run) (bool, error) {
	defer from.attach(e.Clock.Now)()
	for {
		v := from.viewFrom(r.relayed())
		if v.dropped {
			return false, errNotRunning
		}
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

// mirrorRemote copies a run from the node that is its entry.
func (e *Entry) mirrorRemote(ctx context.Context, r *run, record holder.Record) (bool, error) {
	if e.View().Gone(record.Entry) {
		return false, errNotRunning
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := e.Clock.AfterFunc(e.options.AnswerTimeout, cancel)
	defer watchdog.Stop()
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
	watchdog.Stop()
	if res.StatusCode != http.StatusOK {
		return false, errUnknownAtEntry
	}
	return e.readMirror(r, res)
}

func (e *Entry) readMirror(r *run, res *http.Response) (bool, error) {
	for ev, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return false, errors.Wrap(err, "the entry's stream broke")
		}
		if ev.Type != endEvent {
			if err := r.tryRelay(ev.Data); err != nil {
				return false, err
			}
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

// takeOver makes this node the entry of a request whose entry has ended.
func (e *Entry) takeOver(ctx context.Context, r *run, record holder.Record) (bool, error) {
	if !record.Model {
		return e.storedAnswer(r, record)
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
		case chunk.Done:
		case int64(r.relayed()) >= record.Bound:
			return false, errOverCap
		default:
			if err := r.tryRelay(chunk.Data); err != nil {
				return false, err
			}
		}
	}
	return false, backend.ErrTruncated
}

func (e *Entry) endTakenOver(ctx context.Context, r *run, record holder.Record, usage holder.Usage, lastChunk string) error {
	if record.Phase == holder.Open {
		total := e.addEarlierCost(ctx, record, usage)
		e.end(context.WithoutCancel(ctx), peer.EndRequest{Record: record, Usage: total})
	}
	r.relay(lastChunk)
	r.finish(usage, nil, e.Clock.Now())
	return nil
}

// addEarlierCost adds the known cost of all attempts before the last.
func (e *Entry) addEarlierCost(ctx context.Context, record holder.Record, usage holder.Usage) holder.Usage {
	for _, a := range record.Attempts[:len(record.Attempts)-1] {
		if o, err := e.Backend.Outcome(ctx, a, record.Request); err == nil {
			usage = usage.Plus(o.Usage())
		}
	}
	return usage
}

// claimEntry notifies the holder that this node is now the request's entry.
func (e *Entry) claimEntry(ctx context.Context, record holder.Record) holder.Record {
	takeOver := peer.TakeOver{Request: record.Request, Entry: e.Keeper.Incarnation(), EntryURL: e.Self.URL}
	var known peer.RecordLookup
	if record.Holder == e.Keeper.Incarnation() {
		known = e.Keeper.TakeOver(takeOver)
	} else if to, ok := e.View().Member(record.Holder.Node()); ok && to.Incarnation == record.Holder {
		known, _ = peer.Call[peer.RecordLookup](ctx, e.Caller, to, peer.VerbTakeOver, takeOver)
	}
	if known.Found {
		return known.Record
	}
	return record
}

// storedAnswer answers a retry of a plain call, whose entry has ended, from the record.
func (e *Entry) storedAnswer(r *run, record holder.Record) (bool, error) {
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

// locate finds the record of a request in the zone where it entered, at the holder of its slot
// or at a witness.
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
		known, err := peer.Call[peer.RecordLookup](ctx, e.Caller, m, peer.VerbFind, peer.RecordLookup{Record: holder.Record{Request: id}})
		if err == nil && known.Found && !known.Record.Elsewhere {
			return known.Record, true
		}
	}
	known := e.Keeper.Find(id)
	return known.Record, known.Found
}

// zoneNodes returns a zone's reachable nodes, the slot's holder first.
func (e *Entry) zoneNodes(zone ident.Zone, slot ident.Slot) []membership.Member {
	now, view := e.Clock.Now(), e.View()
	nodes := view.Rank(zone, slot, now)
	listed := map[ident.Node]bool{}
	for _, m := range nodes {
		listed[m.Node] = true
	}
	for _, m := range view.Reachable(zone, now) {
		if !listed[m.Node] {
			nodes = append(nodes, m)
		}
	}
	return nodes
}
