package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/lynxshed/lynxshed/standin/fault"
)

const maxBody = 8 << 20

// The headers by which the fleet names an attempt.
const (
	HeaderRequest  = "Lynxshed-Request-Id"
	HeaderAttempt  = "Lynxshed-Attempt"
	HeaderCustomer = "Lynxshed-Customer"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  string    `json:"priority"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, leaving := e.Faults.Take(fault.Leave); leaving {
		http.Error(w, `{"error":"leaving: takes no new work"}`, http.StatusServiceUnavailable)
		return
	}
	n := e.start(e.newRun(r, q))
	if q.Stream {
		e.stream(w, r, n, 0)
		return
	}
	e.whole(w, r, n)
}

func (e *Engine) newRun(r *http.Request, q completionRequest) *run {
	n := &run{
		key:      runKey{id: r.Header.Get(HeaderRequest), attempt: attemptOf(r.Header.Get(HeaderAttempt))},
		customer: r.Header.Get(HeaderCustomer),
		priority: q.Priority,
		model:    q.Model,
		limit:    q.MaxTokens,
	}
	if n.limit <= 0 {
		n.limit = e.options.DefaultLimit
	}
	var prompt strings.Builder
	for _, m := range q.Messages {
		prompt.WriteString(m.Content)
		n.tokens += countTokens(m.Content) + messageTokens
	}
	n.prompt = prompt.String()
	return n
}

func (e *Engine) find(w http.ResponseWriter, r *http.Request) (*run, bool) {
	key := runKey{id: r.PathValue("id"), attempt: attemptOf(r.URL.Query().Get("attempt"))}
	e.mu.Lock()
	n, ok := e.runs[key]
	e.mu.Unlock()
	if !ok {
		http.Error(w, `{"error":"unknown request"}`, http.StatusNotFound)
	}
	return n, ok
}

func (e *Engine) outcome(w http.ResponseWriter, r *http.Request) {
	if n, ok := e.find(w, r); ok {
		e.writeOutcome(w, n)
	}
}

func (e *Engine) writeOutcome(w http.ResponseWriter, n *run) {
	e.mu.Lock()
	record := n.record()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, record)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	n, ok := e.find(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	e.stop(n)
	e.mu.Unlock()
	e.writeOutcome(w, n)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	n, ok := e.find(w, r)
	if !ok {
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.stream(w, r, n, max(0, from))
}

// view is what a reader sees of a run at one moment.
type view struct {
	chunks  []string
	state   State
	usage   usage
	changed chan struct{}
}

func (e *Engine) look(n *run, from int) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := view{state: n.state, changed: n.changed}
	if from < len(n.output) {
		v.chunks = n.output[from:]
	}
	v.usage = usage{PromptTokens: n.promptTokens(), CompletionTokens: len(n.output)}
	v.usage.TotalTokens = v.usage.PromptTokens + v.usage.CompletionTokens
	return v
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, n *run) {
	for {
		v := e.look(n, 0)
		if v.state == Done || v.state == Cancelled {
			if _, ok := e.Faults.Take(fault.Reset); ok {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, http.StatusOK, n.answer(v))
			return
		}
		select {
		case <-v.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (n *run) answer(v view) completion {
	finish := "stop"
	return completion{
		ID: n.key.id, Object: "chat.completion", Created: n.started.Unix(), Model: n.model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(v.chunks, "")}, FinishReason: &finish}},
		Usage:   &v.usage,
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, n *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderRequest, n.key.id)
	w.Header().Set(HeaderAttempt, strconv.Itoa(n.key.attempt))
	w.WriteHeader(http.StatusOK)
	flush(w)
	_, reset := e.Faults.Take(fault.Reset)
	_, truncate := e.Faults.Take(fault.Truncate)
	for {
		v := e.look(n, from)
		for _, chunk := range v.chunks {
			send(w, strconv.Itoa(from), n.chunk(chunk))
			from++
			if reset && from >= n.limit/2 {
				flush(w)
				panic(http.ErrAbortHandler)
			}
		}
		flush(w)
		if v.state == Done || v.state == Cancelled {
			if !truncate {
				send(w, strconv.Itoa(from), n.last(v))
				send(w, strconv.Itoa(from+1), "[DONE]")
				flush(w)
			}
			return
		}
		select {
		case <-v.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (n *run) chunk(text string) string {
	return encode(completion{
		ID: n.key.id, Object: "chat.completion.chunk", Created: n.started.Unix(), Model: n.model,
		Choices: []choice{{Delta: &message{Role: "assistant", Content: text}}},
	})
}

func (n *run) last(v view) string {
	finish := "stop"
	if v.state == Cancelled {
		finish = "cancelled"
	}
	return encode(completion{
		ID: n.key.id, Object: "chat.completion.chunk", Created: n.started.Unix(), Model: n.model,
		Choices: []choice{{Delta: &message{}, FinishReason: &finish}},
		Usage:   &v.usage,
	})
}

func encode(c completion) string {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Sprintf("{%q:%q}", "error", err)
	}
	return string(data)
}

func send(w http.ResponseWriter, id, data string) {
	m := &sse.Message{ID: sse.ID(id)}
	m.AppendData(data)
	_, _ = m.WriteTo(w)
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	_ = http.NewResponseController(w).Flush()
}
