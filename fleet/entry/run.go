package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// run is a request at this node with its answer so far, for any number of readers.
type run struct {
	customer ident.Customer
	cancel   context.CancelFunc
	keyed    bool

	mu        sync.Mutex
	id        ident.Request
	record    holder.Record
	chunks    []string // data of the events in order; the index is the event id
	usage     holder.Usage
	answer    *holder.Answer
	problem   *problem.Problem
	state     RunState
	started   bool // id is final and the answer has begun
	changed   chan struct{}
	readers   int
	idleSince time.Time // when the number of readers became 0, or the start
	ended     time.Time
	body      int64 // bytes of the call's body; 0 once the run has ended
	dropped   bool  // the answer made room for other calls

	lease    *memory.Lease
	large    int64 // bytes of large chunks; used only by the goroutine that reads the answer
	maxLarge int64
}

// RunState is the state of a request as reported to callers.
type RunState string

// The states of a request.
const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunDone      RunState = "done"
	RunRefused   RunState = "refused"
	RunFailed    RunState = "failed"
	RunCancelled RunState = "cancelled"
)

// Ended reports whether the state is final.
func (s RunState) Ended() bool { return s != RunWaiting && s != RunRunning }

func (e *Entry) newRun(id ident.Request, customer ident.Customer, keyed bool) *run {
	now := e.Clock.Now()
	r := &run{id: id, customer: customer, keyed: keyed, state: RunWaiting, changed: make(chan struct{}), idleSince: now, maxLarge: e.Memory.Share(largeShare)}
	r.lease = e.Memory.Lease(r)
	r.lease.SetOwner(string(customer))
	return r
}

// view is a snapshot of a run.
type view struct {
	id      ident.Request
	chunks  []string
	usage   holder.Usage
	answer  *holder.Answer
	problem *problem.Problem
	state   RunState
	started bool
	budget  ident.Budget
	dropped bool // the answer made room for other calls
	changed chan struct{}
}

// viewFrom returns a snapshot of the run with the chunks from a given number on.
func (r *run) viewFrom(from int) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{id: r.id, usage: r.usage, answer: r.answer, problem: r.problem, state: r.state, started: r.started, budget: r.record.Budget, dropped: r.dropped, changed: r.changed}
	if from < len(r.chunks) {
		v.chunks = r.chunks[from:]
	}
	return v
}

func (r *run) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) begin(record holder.Record) {
	r.update(func() { r.id, r.record, r.state = record.Request, record, RunRunning })
}

// tryRelay adds a chunk of an answer that is still being read. A large one is not added if the memory for
// calls has no room for it (errNoRoom), or if the run's large chunks hold their share (errOverShare).
func (r *run) tryRelay(data string) error {
	size := int64(len(data)) + chunkBytes
	if size <= smallChunk {
		r.relay(data)
		return nil
	}
	if r.large+size > r.maxLarge {
		return errOverShare
	}
	if !r.lease.Take(size) {
		return errNoRoom
	}
	r.large += size
	r.add(data)
	return nil
}

// relay adds a chunk, whether it fits or not.
func (r *run) relay(data string) {
	r.lease.Add(int64(len(data)) + chunkBytes)
	r.add(data)
}

func (r *run) add(data string) {
	r.update(func() { r.chunks, r.started = append(r.chunks, data), true })
}

func (r *run) relayed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.chunks)
}

// finish ends the run with an answer.
func (r *run) finish(usage holder.Usage, answer *holder.Answer, now time.Time) {
	if answer != nil {
		r.lease.Add(int64(len(answer.Body)))
	}
	r.releaseBody()
	r.update(func() {
		r.usage, r.answer, r.ended, r.started = usage, answer, now, true
		r.state = RunDone
	})
}

// fail ends the run with a problem and the cost of what ran.
func (r *run) fail(p *problem.Problem, state RunState, usage holder.Usage, now time.Time) {
	r.releaseBody()
	r.update(func() {
		r.usage = usage
		r.problem, r.state, r.ended = p.WithRequest(r.id), state, now
	})
}

// attach counts a reader until the returned function is called.
func (r *run) attach(now func() time.Time) (detach func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readers--
		r.idleSince = now()
	}
}

// abandoned reports whether a run without idempotency key has had no reader for the grace period.
func (r *run) abandoned(at time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && !r.keyed && !r.state.Ended() && at.Sub(r.idleSince) >= grace
}

// wait blocks until the run has changed since the view, and returns false if the context ends first.
func (v view) wait(ctx context.Context) bool {
	select {
	case <-v.changed:
		return true
	case <-ctx.Done():
		return false
	}
}
