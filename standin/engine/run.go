package engine

import (
	"fmt"
	"time"

	"github.com/lynxshed/lynxshed/standin/fault"
)

// State is the state of a run.
type State string

// States of a run.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Cancelled State = "cancelled"
)

const (
	interactive      = "interactive"
	bytesPerToken    = 4
	tokensPerMessage = 4
	prefillUnit      = 1000
	cacheBlockSize   = 64
)

type runKey struct {
	id      string
	attempt int
}

// run is one attempt. The lock of the engine guards it.
type run struct {
	key          runKey
	customer     string
	priority     string
	model        string
	prompt       string
	promptLength int // tokens
	maxTokens    int // maximum number of output tokens
	state        State
	started      time.Time
	output       []string      // generated tokens
	prefilled    bool          // whether the prompt has been read
	changed      chan struct{} // closed and replaced on each change
}

func (r *run) ended() bool { return r.state == Done || r.state == Cancelled }

// notify informs the readers of a change.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// promptTokens returns the number of prompt tokens that count as used: none before the prefill.
func (r *run) promptTokens() int {
	if !r.prefilled {
		return 0
	}
	return r.promptLength
}

func (r *run) record() AttemptRecord {
	return AttemptRecord{
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

// start starts a run, or returns the one that was started under the same key.
func (e *Engine) start(r *run) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if existing, ok := e.runs[r.key]; ok {
		return existing
	}
	r.state, r.started, r.changed = Queued, time.Now(), make(chan struct{})
	e.runs[r.key] = r
	e.arrivals = append(e.arrivals, r)
	if e.batch < e.options.MaxBatch {
		e.launch(r)
		return r
	}
	e.enqueue(r)
	return r
}

// enqueue queues a run: interactive runs before all others, each group in order of arrival.
func (e *Engine) enqueue(r *run) {
	position := len(e.waiting)
	if r.priority == interactive {
		for i, queued := range e.waiting {
			if queued.priority != interactive {
				position = i
				break
			}
		}
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = r
}

func (e *Engine) launch(r *run) {
	e.batch++
	r.state = Running
	go e.generate(r)
}

func (e *Engine) generate(r *run) {
	if f, ok := e.Faults.Trigger(fault.Late); ok {
		time.Sleep(f.Delay())
	}
	time.Sleep(e.prefill(r))
	for e.step(r) {
		time.Sleep(e.tokenTime())
	}
}

// prefill stores the prompt in the prefix cache and returns the time to process its uncached tokens.
func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended() {
		return 0
	}
	r.prefilled = true
	cached := e.cache.store(r.prompt)
	uncached := max(0, r.promptLength-cached*cacheBlockSize/bytesPerToken)
	return e.options.PrefillTime * time.Duration(uncached) / prefillUnit
}

// tokenTime returns the time per token at the current size of the batch.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := 1 + e.options.BatchSlope*float64(e.batch-1)
	return time.Duration(float64(e.options.TokenTime) * slowdown)
}

// step generates one token and reports whether the run continues.
func (e *Engine) step(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.ended() {
		r.output = append(r.output, fmt.Sprintf("t%d ", len(r.output)))
		if len(r.output) >= r.maxTokens {
			r.state = Done
		}
		r.notify()
	}
	if r.ended() {
		e.leaveBatch()
		return false
	}
	return true
}

// leaveBatch frees one place in the batch and launches queued runs. The caller holds e.mu.
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

// cancelRun cancels a run. The tokens generated so far remain counted.
func (e *Engine) cancelRun(r *run) {
	if r.ended() {
		return
	}
	r.state = Cancelled
	r.notify()
}

func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
