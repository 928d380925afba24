package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	// callBytes is the memory that a call holds besides its body: buffers of the connections to its
	// caller and its endpoint, and the stacks of their goroutines.
	callBytes = 48 << 10
	// chunkBytes is the memory of a chunk of an answer besides its data.
	chunkBytes = 16
	// smallChunk is the size up to which a chunk is held in any case: a token takes a fraction of it.
	smallChunk = 1 << 10
	// largeShare is the share of the memory for calls that larger chunks of one answer may hold.
	largeShare = 1.0 / 8
)

// callMemory is the memory that a call holds at its caller's connection.
type callMemory struct {
	lease *memory.Lease
	end   func()
	bytes int64 // of the call without its body
	body  int64 // until the run holds it
}

func (e *Entry) memoryOf(r *http.Request) *callMemory {
	lease, end := ingress.LeaseOf(r.Context(), e.Memory)
	return &callMemory{lease: lease, end: end}
}

// release returns what the call holds.
func (m *callMemory) release() {
	m.lease.Return(m.bytes + m.body)
	m.end()
}

// passBody makes a run hold the body.
func (m *callMemory) passBody(r *run) {
	r.holdBody(m.body)
	m.lease.Return(m.body)
	m.body = 0
}

// readBody reads the body of an authenticated call.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, h headers, m *callMemory) ([]byte, *problem.Problem) {
	m.lease.SetOwner(string(h.customer.Name))
	if !m.lease.Take(callBytes) {
		return nil, problem.New(problem.NoMemory, "calls in progress hold as much as they may")
	}
	m.bytes = callBytes
	within := e.options.BodyTimeout
	if h.deadline > 0 {
		within = min(within, h.deadline)
	}
	data, reserved, err := ingress.ReadBody(w, r, e.options.MaxBody, within, m.lease)
	m.body = reserved
	if err != nil {
		return nil, e.bodyProblem(err, within)
	}
	return data, nil
}

func (e *Entry) bodyProblem(err error, within time.Duration) *problem.Problem {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return problem.New(problem.TooLarge, "the body is over "+strconv.FormatInt(e.options.MaxBody, 10)+" bytes")
	case errors.Is(err, ingress.ErrNoMemory):
		return problem.New(problem.NoMemory, err.Error())
	case errors.Is(err, ingress.ErrBodyLate):
		return problem.New(problem.BodyTimeout, "the body did not come within "+within.String())
	}
	return problem.New(problem.BadBody, "body: "+err.Error())
}

var _ memory.Holder = (*run)(nil)

// WaitsSince implements memory.Holder: the answer of a run that has ended is kept for later readers.
func (r *run) WaitsSince(time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.isKept()
}

// Evict implements memory.Holder.
func (r *run) Evict() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isKept() {
		return false
	}
	r.chunks, r.answer, r.dropped = nil, nil, true
	return true
}

// isKept reports whether the run is kept only for later readers. The caller must hold r.mu.
func (r *run) isKept() bool { return !r.ended.IsZero() && r.readers == 0 && !r.dropped }

// holdBody counts the memory of the call's body until the run ends.
func (r *run) holdBody(bytes int64) {
	r.mu.Lock()
	over := !r.ended.IsZero()
	if !over {
		r.body = bytes
	}
	r.mu.Unlock()
	if !over {
		r.lease.Add(bytes)
	}
}

// releaseBody returns the memory of the call's body.
func (r *run) releaseBody() {
	r.mu.Lock()
	bytes := r.body
	r.body = 0
	r.mu.Unlock()
	r.lease.Return(bytes)
}
