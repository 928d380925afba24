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

const maxBodyBytes = 8 << 20

// Headers in which the fleet identifies an attempt.
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

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, leaving := e.Faults.Trigger(fault.Leave); leaving {
		http.Error(w, `{"error":"leaving: takes no new work"}`, http.StatusServiceUnavailable)
		return
	}
	n := e.start(e.newRun(r, q))
	if q.Stream {
		e.writeStream(w, r, n, 0)
		return
	}
	e.writeAnswer(w, r, n)
}

func (e *Engine) newRun(r *http.Request, q completionRequest) *run {
	n := &run{
		key:       runKey{id: r.Header.Get(HeaderRequest), attempt: parseAttempt(r.Header.Get(HeaderAttempt))},
		customer:  r.Header.Get(HeaderCustomer),
		priority:  q.Priority,
		model:     q.Model,
		maxTokens: q.MaxTokens,
	}
	if n.maxTokens <= 0 {
		n.maxTokens = e.options.DefaultLimit
	}
	var prompt strings.Builder
	for _, m := range q.Messages {
		prompt.WriteString(m.Content)
		n.promptLength += countTokens(m.Content) + tokensPerMessage
	}
	n.prompt = prompt.String()
	return n
}

func (e *Engine) findRun(w http.ResponseWriter, r *http.Request) (*run, bool) {
	key := runKey{id: r.PathValue("id"), attempt: parseAttempt(r.URL.Query().Get("attempt"))}
	e.mu.Lock()
	n, ok := e.runs[key]
	e.mu.Unlock()
	if !ok {
		http.Error(w, `{"error":"unknown request"}`, http.StatusNotFound)
	}
	return n, ok
}

func (e *Engine) serveOutcome(w http.ResponseWriter, r *http.Request) {
	if n, ok := e.findRun(w, r); ok {
		e.writeOutcome(w, n)
	}
}

func (e *Engine) writeOutcome(w http.ResponseWriter, n *run) {
	e.mu.Lock()
	record := n.record()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, record)
}

func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	n, ok := e.findRun(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	e.cancelRun(n)
	e.mu.Unlock()
	e.writeOutcome(w, n)
}

func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	n, ok := e.findRun(w, r)
	if !ok {
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.writeStream(w, r, n, max(0, from))
}

// snapshot is the state of a run, with its output from a given chunk on.
type snapshot struct {
	chunks  []string
	state   State
	usage   usage
	changed chan struct{}
}

// takeSnapshot returns the state of a run and its chunks from a given one on.
func (e *Engine) takeSnapshot(n *run, from int) snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := snapshot{state: n.state, changed: n.changed}
	if from < len(n.output) {
		s.chunks = n.output[from:]
	}
	s.usage = usage{PromptTokens: n.promptTokens(), CompletionTokens: len(n.output)}
	s.usage.TotalTokens = s.usage.PromptTokens + s.usage.CompletionTokens
	return s
}

// writeAnswer waits until the run has ended and writes the complete answer.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, n *run) {
	for {
		s := e.takeSnapshot(n, 0)
		if s.state == Done || s.state == Cancelled {
			if _, ok := e.Faults.Trigger(fault.Reset); ok {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, http.StatusOK, n.answer(s))
			return
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (n *run) answer(s snapshot) completion {
	finish := "stop"
	return completion{
		ID: n.key.id, Object: "chat.completion", Created: n.started.Unix(), Model: n.model,
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(s.chunks, "")}, FinishReason: &finish}},
		Usage:   &s.usage,
	}
}

// writeStream writes the chunks of a run from a given one on as server-sent events, until the run has ended.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, n *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderRequest, n.key.id)
	w.Header().Set(HeaderAttempt, strconv.Itoa(n.key.attempt))
	w.WriteHeader(http.StatusOK)
	flush(w)
	_, reset := e.Faults.Trigger(fault.Reset)
	_, truncate := e.Faults.Trigger(fault.Truncate)
	for {
		s := e.takeSnapshot(n, from)
		for _, chunk := range s.chunks {
			writeEvent(w, strconv.Itoa(from), n.chunk(chunk))
			from++
			if reset && from >= n.maxTokens/2 {
				flush(w)
				panic(http.ErrAbortHandler)
			}
		}
		flush(w)
		if s.state == Done || s.state == Cancelled {
			if !truncate {
				writeEvent(w, strconv.Itoa(from), n.finalChunk(s))
				writeEvent(w, strconv.Itoa(from+1), "[DONE]")
				flush(w)
			}
			return
		}
		select {
		case <-s.changed:
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

func (n *run) finalChunk(s snapshot) string {
	finish := "stop"
	if s.state == Cancelled {
		finish = "cancelled"
	}
	return encode(completion{
		ID: n.key.id, Object: "chat.completion.chunk", Created: n.started.Unix(), Model: n.model,
		Choices: []choice{{Delta: &message{}, FinishReason: &finish}},
		Usage:   &s.usage,
	})
}

func encode(c completion) string {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Sprintf("{%q:%q}", "error", err)
	}
	return string(data)
}

func writeEvent(w http.ResponseWriter, id, data string) {
	m := &sse.Message{ID: sse.ID(id)}
	m.AppendData(data)
	_, _ = m.WriteTo(w)
}

// flush sends the buffered events and lifts the write deadline, since a stream may last long.
func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	_ = http.NewResponseController(w).Flush()
}
