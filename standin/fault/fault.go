// Package fault gives every stand-in the same fault knobs.
//
// A fault is armed over HTTP with POST /faults and cleared with DELETE /faults.
// Faults that any server can have (down, slow, refuse, hang, lose-answer) are
// applied by Middleware; the others are taken by the stand-in where they bite.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Name is a fault that a stand-in can be told to show.
type Name string

// The faults a stand-in knows.
const (
	Down       Name = "down"        // every connection is dropped
	Slow       Name = "slow"        // every answer is delayed by DelayMs
	LoseAnswer Name = "lose-answer" // the call takes effect, its answer is lost
	Refuse     Name = "refuse"      // 503 before anything has run
	Reset      Name = "reset"       // the connection breaks in mid-stream
	Hang       Name = "hang"        // no answer until the caller leaves
	Late       Name = "late"        // the work starts DelayMs late
	StaleLoad  Name = "stale-load"  // the load report stops changing
	Leave      Name = "leave"       // the stand-in says that it is leaving
	Truncate   Name = "truncate"    // the stream ends without its end mark
)

const defaultDelay = 500 * time.Millisecond

func known() []Name {
	return []Name{Down, Slow, LoseAnswer, Refuse, Reset, Hang, Late, StaleLoad, Leave, Truncate}
}

// Fault is one armed fault.
type Fault struct {
	Fault   Name  `json:"fault"`
	Count   int   `json:"count,omitempty"`   // how often it bites; 0 is until it is cleared
	DelayMs int64 `json:"delayMs,omitempty"` // milliseconds, for slow and late
	ForMs   int64 `json:"forMs,omitempty"`   // milliseconds until it clears itself; 0 is never
}

type armed struct {
	Fault
	until time.Time
}

// Set holds the faults that are armed; its zero value has none.
type Set struct {
	mu    sync.Mutex
	armed map[Name]armed
}

// Arm arms f, in place of an earlier fault of the same name.
func (s *Set) Arm(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed == nil {
		s.armed = make(map[Name]armed)
	}
	a := armed{Fault: f}
	if f.ForMs > 0 {
		a.until = time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
	}
	s.armed[f.Fault] = a
}

// Clear disarms every fault.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = nil
}

// Take reports whether the fault bites now, and counts it down.
func (s *Set) Take(name Name) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.armed[name]
	if !ok {
		return Fault{}, false
	}
	if !a.until.IsZero() && time.Now().After(a.until) {
		delete(s.armed, name)
		return Fault{}, false
	}
	if a.Count == 0 {
		return a.Fault, true
	}
	a.Count--
	if a.Count == 0 {
		delete(s.armed, name)
	} else {
		s.armed[name] = a
	}
	return a.Fault, true
}

// Delay is how long a slow or late fault waits.
func (f Fault) Delay() time.Duration {
	if f.DelayMs <= 0 {
		return defaultDelay
	}
	return time.Duration(f.DelayMs) * time.Millisecond
}

// ServeHTTP is the /faults resource.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodDelete:
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodPost:
		s.post(w, r)
	default:
		http.Error(w, "POST or DELETE", http.StatusMethodNotAllowed)
	}
}

func (s *Set) post(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, name := range known() {
		if name == f.Fault {
			s.Arm(f)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, "fault: unknown name "+string(f.Fault), http.StatusBadRequest)
}

// Middleware applies the faults that any server can have.
func (s *Set) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.Take(Down); ok {
			panic(http.ErrAbortHandler)
		}
		if f, ok := s.Take(Slow); ok && !sleep(r, f.Delay()) {
			return
		}
		if _, ok := s.Take(Refuse); ok {
			http.Error(w, `{"error":"refused before it started"}`, http.StatusServiceUnavailable)
			return
		}
		if _, ok := s.Take(Hang); ok {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if _, ok := s.Take(LoseAnswer); ok {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discard is a response writer whose answer is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}
