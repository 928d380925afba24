package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/propagation"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	ctx, span := e.Tracer.Start(traceOf(r), "entry chat")
	defer span.End()
	held := e.memoryOf(r)
	defer held.release()
	call, refusal := e.readChat(w, r, held)
	if e.rejected(w, r, refusal) {
		return
	}
	e.Metrics.Arrived(ctx, string(call.service.Name))
	run := e.startChat(ctx, call)
	held.passBody(run)
	defer run.attach(e.Clock.Now)()
	if call.stream {
		e.respondStream(w, r, run, 0)
		return
	}
	e.respond(w, r, run)
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	ctx, span := e.Tracer.Start(traceOf(r), "entry service")
	defer span.End()
	held := e.memoryOf(r)
	defer held.release()
	call, refusal := e.readPlain(w, r, held)
	if e.rejected(w, r, refusal) {
		return
	}
	e.Metrics.Arrived(ctx, string(call.service.Name))
	run := e.startPlain(ctx, call)
	held.passBody(run)
	defer run.attach(e.Clock.Now)()
	e.respond(w, r, run)
}

// rejected answers a call that is invalid or comes while the node stops. It reports whether it did.
func (e *Entry) rejected(w http.ResponseWriter, r *http.Request, refusal *problem.Problem) bool {
	if refusal == nil && e.isDraining() {
		refusal = problem.New(problem.Draining, "this node is stopping; ask another")
	}
	if refusal != nil {
		e.refuse(w, r, refusal)
	}
	return refusal != nil
}

func traceOf(r *http.Request) context.Context {
	return propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// respond waits for the end of the run and writes its answer.
func (e *Entry) respond(w http.ResponseWriter, r *http.Request, run *run) {
	for {
		v := run.viewFrom(0)
		if v.dropped {
			abort()
		}
		if v.state.Ended() {
			e.writeAnswer(w, r, v)
			return
		}
		if !v.wait(r.Context()) {
			abort()
		}
	}
}

// abort ends a handler whose caller has left before the answer was complete. A caller may have closed
// only its sending side: to return would make what it has received, or nothing, a whole answer.
func abort() { panic(http.ErrAbortHandler) }

func (e *Entry) writeAnswer(w http.ResponseWriter, r *http.Request, v view) {
	w.Header().Set(headerRequest, string(v.id))
	if v.problem != nil {
		e.refuse(w, r, v.problem)
		return
	}
	if v.answer != nil {
		if v.answer.ContentType != "" {
			w.Header().Set("Content-Type", v.answer.ContentType)
		}
		w.WriteHeader(v.answer.Status)
		_, _ = w.Write(v.answer.Body)
		return
	}
	writeJSON(w, http.StatusOK, assemble(v))
}

// respondStream writes the answer as server-sent events from a given event id on.
func (e *Entry) respondStream(w http.ResponseWriter, r *http.Request, run *run, from int) {
	open := false
	for {
		v := run.viewFrom(from)
		if v.dropped {
			abort()
		}
		if !open && v.state.Ended() && v.problem != nil && !v.started {
			e.writeAnswer(w, r, v)
			return
		}
		if !open && (v.started || v.state.Ended()) {
			open = true
			openStream(w, v.id)
		}
		for _, chunk := range v.chunks {
			if !send(w, strconv.Itoa(from), "", chunk) {
				abort()
			}
			from++
		}
		if open {
			flush(w)
		}
		if v.state.Ended() {
			closeStream(w, v, from)
			return
		}
		if !v.wait(r.Context()) {
			abort()
		}
	}
}

func openStream(w http.ResponseWriter, id ident.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(headerRequest, string(id))
	w.WriteHeader(http.StatusOK)
}

const endMarker = "[DONE]"

// closeStream sends the end marker, or the problem that made the answer incomplete.
func closeStream(w http.ResponseWriter, v view, from int) {
	if v.problem != nil {
		data, _ := json.Marshal(v.problem)
		send(w, strconv.Itoa(from), "error", string(data))
	} else {
		send(w, strconv.Itoa(from), "", endMarker)
	}
	flush(w)
}

func send(w http.ResponseWriter, id, kind, data string) bool {
	m := &sse.Message{ID: sse.ID(id)}
	if kind != "" {
		m.Type = sse.Type(kind)
	}
	m.AppendData(data)
	_, err := m.WriteTo(w)
	return err == nil
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

type completion struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *completionUsage `json:"usage,omitempty"`
}

type choice struct {
	Index        int              `json:"index"`
	Delta        *backend.Message `json:"delta,omitempty"`
	Message      *backend.Message `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func usageOf(u holder.Usage) *completionUsage {
	return &completionUsage{PromptTokens: u.Prompt, CompletionTokens: u.Output, TotalTokens: u.Tokens()}
}

// assemble combines the chunks of a stream into one completion.
func assemble(v view) completion {
	answer := completion{ID: string(v.id), Object: "chat.completion", Usage: usageOf(v.usage)}
	var text strings.Builder
	finish := "stop"
	for _, data := range v.chunks {
		var c completion
		if json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		answer.Created, answer.Model = c.Created, c.Model
		for _, ch := range c.Choices {
			if ch.Delta != nil {
				text.WriteString(ch.Delta.Content)
			}
			if ch.FinishReason != nil {
				finish = *ch.FinishReason
			}
		}
	}
	answer.Choices = []choice{{Message: &backend.Message{Role: "assistant", Content: text.String()}, FinishReason: &finish}}
	return answer
}

// requestState is the answer to GET /v1/requests/{id}.
type requestState struct {
	Request  ident.Request    `json:"requestId"`
	Customer ident.Customer   `json:"customer"`
	State    RunState         `json:"state"`
	Budget   ident.Budget     `json:"budget,omitempty"`
	Usage    *completionUsage `json:"usage,omitempty"`
	Bill     *requestBill     `json:"bill,omitempty"`
	Problem  *problem.Problem `json:"problem,omitempty"`
}

type requestBill struct {
	Budget       ident.Budget `json:"budget"`
	PromptTokens int64        `json:"promptTokens"`
	OutputTokens int64        `json:"outputTokens"`
	Tokens       int64        `json:"tokens"`
}

func stateOf(v view, customer ident.Customer) requestState {
	s := requestState{Request: v.id, Customer: customer, State: v.state, Budget: v.budget, Problem: v.problem}
	if v.state.Ended() && v.usage.Tokens() > 0 {
		s.Usage = usageOf(v.usage)
		s.Bill = &requestBill{Budget: v.budget, PromptTokens: v.usage.Prompt, OutputTokens: v.usage.Output, Tokens: v.usage.Tokens()}
	}
	return s
}

// findOwn returns the caller's run on this node, or the record of its request on another.
func (e *Entry) findOwn(r *http.Request) (*run, *holder.Record, *problem.Problem) {
	customer, refusal := e.authenticate(r)
	if refusal != nil {
		return nil, nil, refusal
	}
	id := ident.Request(r.PathValue("id"))
	notFound := problem.New(problem.UnknownRequest, "this customer has no request "+quote(string(id))).WithOutcome(problem.Unknown)
	if run, ok := e.find(id); ok {
		if run.customer != customer.Name {
			return nil, nil, notFound
		}
		return run, nil, nil
	}
	record, ok := e.locate(r.Context(), id)
	if !ok || record.Customer != customer.Name {
		return nil, nil, notFound
	}
	return nil, &record, nil
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s, ok := e.summary(ident.Request(r.PathValue("id"))); ok {
		if customer, refusal := e.authenticate(r); refusal == nil && customer.Name == s.Customer {
			w.Header().Set(headerRequest, string(s.Request))
			writeJSON(w, http.StatusOK, s)
			return
		}
	}
	run, record, refusal := e.findOwn(r)
	switch {
	case refusal != nil:
		e.refuse(w, r, refusal)
	case run != nil:
		v := run.viewFrom(0)
		w.Header().Set(headerRequest, string(v.id))
		writeJSON(w, http.StatusOK, stateOf(v, run.customer))
	default:
		w.Header().Set(headerRequest, string(record.Request))
		writeJSON(w, http.StatusOK, stateOf(recordView(*record), record.Customer))
	}
}

func recordView(r holder.Record) view {
	v := view{id: r.Request, budget: r.Budget, usage: r.Usage, state: RunRunning}
	if r.Phase == holder.Settled {
		v.state = RunDone
	}
	return v
}

func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request) {
	from, refusal := lastEventID(r)
	if refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	run, record, refusal := e.findOwn(r)
	if refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	if run == nil {
		run = e.startFollow(r.Context(), *record)
	}
	defer run.attach(e.Clock.Now)()
	e.respondStream(w, r, run, from)
}

func lastEventID(r *http.Request) (int, *problem.Problem) {
	text := r.Header.Get(headerLastID)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, badHeader(headerLastID, "the id of an event")
	}
	return n + 1, nil
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	run, record, refusal := e.findOwn(r)
	if refusal != nil {
		e.refuse(w, r, refusal)
		return
	}
	if run != nil {
		run.cancel()
		e.awaitEnd(r.Context(), run)
		writeJSON(w, http.StatusOK, stateOf(run.viewFrom(0), run.customer))
		return
	}
	e.cancelRemote(r.Context(), *record)
	writeJSON(w, http.StatusAccepted, stateOf(recordView(*record), record.Customer))
}

func (e *Entry) awaitEnd(ctx context.Context, run *run) {
	ctx, cancel := context.WithTimeout(ctx, e.options.AnswerTimeout)
	defer cancel()
	for {
		v := run.viewFrom(0)
		if v.state.Ended() || !v.wait(ctx) {
			return
		}
	}
}

func (e *Entry) cancelRemote(ctx context.Context, record holder.Record) {
	if to, ok := e.View().Member(record.Entry.Node()); ok && to.Incarnation == record.Entry {
		_, _ = peer.Call[peer.Nothing](ctx, e.Caller, to, peer.VerbCancel, peer.RecordLookup{Record: record})
		return
	}
	for _, a := range record.Attempts {
		_, _ = e.Backend.Cancel(ctx, a, record.Request)
	}
}

// Cancel cancels a run on behalf of another node.
func (e *Entry) Cancel(id ident.Request) {
	if run, ok := e.find(id); ok {
		run.cancel()
	}
}
