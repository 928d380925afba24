package engine

import (
	"fmt"
	"time"

	"github.com/lynxshed/lynxshed/standin/fault"
)

// State is where a run stands.
type State string

// The states of a run.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Cancelled State = "cancelled"
)

const (
	interactive    = "interactive"
	bytesPerToken  = 4
	messageTokens  = 4
	prefillPer     = 1000
	cacheBlockSize = 64
)

type runKey struct {
	id      string
	attempt int
}

// run is one attempt; the engine's lock guards it.
type run struct {
	key      runKey
	customer string
	priority string
	model    string
	prompt   string
	tokens   int // of the prompt
	limit    int
	state    State
	started  time.Time
	output   []string
	prefill  bool
	changed  chan struct{}
}

func (r *run) ended() bool { return r.state == Done || r.state == Cancelled }

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) promptTokens() int {
	if !r.prefill {
		return 0
	}
	return r.tokens
}

func (r *run) record() Ran {
	return Ran{
		RequestID:    r.key.id,
		Attempt:      r.key.attempt,
		Customer:     r.customer,
		PromptTokens: r.promptTokens(),
		OutputTokens: len(r.output),
		State:        string(r.state),
		Priority:     r.priority,
		StartedAt:    r.started,
	}
}

// start begins a run, or finds the one that has begun under the same key.
func (e *Engine) start(r *run) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.runs[r.key]; ok {
		return old
	}
	r.state, r.started, r.changed = Queued, time.Now(), make(chan struct{})
	e.runs[r.key] = r
	e.ordered = append(e.ordered, r)
	if e.batch < e.options.MaxBatch {
		e.launch(r)
		return r
	}
	e.enqueue(r)
	return r
}

// enqueue keeps interactive runs before the others, each in order of arrival.
func (e *Engine) enqueue(r *run) {
	at := len(e.waiting)
	if r.priority == interactive {
		for i, w := range e.waiting {
			if w.priority != interactive {
				at = i
				break
			}
		}
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = r
}

func (e *Engine) launch(r *run) {
	e.batch++
	r.state = Running
	go e.generate(r)
}

func (e *Engine) generate(r *run) {
	if f, ok := e.Faults.Take(fault.Late); ok {
		time.Sleep(f.Delay())
	}
	time.Sleep(e.prefill(r))
	for e.step(r) {
		time.Sleep(e.tokenTime())
	}
}

func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended() {
		return 0
	}
	r.prefill = true
	cached := e.cache.touch(r.prompt)
	fresh := max(0, r.tokens-cached*cacheBlockSize/bytesPerToken)
	return e.options.PrefillTime * time.Duration(fresh) / prefillPer
}

func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slow := 1 + e.options.BatchSlope*float64(e.batch-1)
	return time.Duration(float64(e.options.TokenTime) * slow)
}

// step makes one token and reports whether the run goes on.
func (e *Engine) step(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.ended() {
		r.output = append(r.output, fmt.Sprintf("t%d ", len(r.output)))
		if len(r.output) >= r.limit {
			r.state = Done
		}
		r.wake()
	}
	if r.ended() {
		e.leaveBatch()
		return false
	}
	return true
}

func (e *Engine) leaveBatch() {
	e.batch--
	for len(e.waiting) > 0 && e.batch < e.options.MaxBatch {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !next.ended() {
			e.launch(next)
		}
	}
}

// stop cancels a run; the tokens it made stay counted.
func (e *Engine) stop(r *run) {
	if r.ended() {
		return
	}
	r.state = Cancelled
	r.wake()
}

func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
