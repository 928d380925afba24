// Package fault implements fault injection for all stand-ins.
//
// A fault is armed over HTTP with POST /faults; DELETE /faults clears all faults. Middleware applies the
// faults that any HTTP service can have (down, slow, refuse, hang, lose-answer). A stand-in triggers the
// others itself, at the point where they take effect.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Name names a fault that can be injected into a stand-in.
type Name string

// Faults of stand-ins.
const (
	Down       Name = "down"        // every connection is dropped
	Slow       Name = "slow"        // each answer is delayed by DelayMs
	LoseAnswer Name = "lose-answer" // the call takes effect, but its answer is lost
	Refuse     Name = "refuse"      // answers 503 before anything has run
	Reset      Name = "reset"       // the connection is closed in mid-stream
	Hang       Name = "hang"        // no answer until the caller disconnects
	Late       Name = "late"        // the work starts after a delay of DelayMs
	StaleLoad  Name = "stale-load"  // the load report stops changing
	Leave      Name = "leave"       // the stand-in reports that it is leaving
	Truncate   Name = "truncate"    // the answer ends without its end marker
)

const defaultDelay = 500 * time.Millisecond

func knownNames() []Name {
	return []Name{Down, Slow, LoseAnswer, Refuse, Reset, Hang, Late, StaleLoad, Leave, Truncate}
}

// Fault is one armed fault.
type Fault struct {
	Fault   Name  `json:"fault"`
	Count   int   `json:"count,omitempty"`   // number of times that it triggers; 0 for no limit
	DelayMs int64 `json:"delayMs,omitempty"` // delay of slow and late, in ms; 500 if not positive
	ForMs   int64 `json:"forMs,omitempty"`   // time until it expires, in ms; 0 for never
}

type armed struct {
	Fault
	until time.Time
}

// Set holds the armed faults of a stand-in. The zero value is an empty set.
type Set struct {
	mu    sync.Mutex
	armed map[Name]armed
}

// Arm arms f and replaces an armed fault of the same name.
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

// Clear disarms all faults.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = nil
}

// Trigger returns the named fault and reports whether it is armed. It decrements the count of a fault that
// has one, and disarms an expired fault.
func (s *Set) Trigger(name Name) (Fault, bool) {
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

// Delay returns the delay of a slow or late fault.
func (f Fault) Delay() time.Duration {
	if f.DelayMs <= 0 {
		return defaultDelay
	}
	return time.Duration(f.DelayMs) * time.Millisecond
}

// ServeHTTP serves the /faults resource.
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
	for _, name := range knownNames() {
		if name == f.Fault {
			s.Arm(f)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, "fault: unknown name "+string(f.Fault), http.StatusBadRequest)
}

// Middleware applies the faults that any HTTP service can have.
func (s *Set) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.Trigger(Down); ok {
			panic(http.ErrAbortHandler)
		}
		if f, ok := s.Trigger(Slow); ok && !sleep(r, f.Delay()) {
			return
		}
		if _, ok := s.Trigger(Refuse); ok {
			http.Error(w, `{"error":"refused before it started"}`, http.StatusServiceUnavailable)
			return
		}
		if _, ok := s.Trigger(Hang); ok {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if _, ok := s.Trigger(LoseAnswer); ok {
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits for d and reports whether the caller is still connected.
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

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}
