// Package application is the stand-in of a plain service that runs beside the model engines, such as a
// translation memory or tournament records.
package application

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxshed/lynxshed/standin/fault"
)

const maxBodyBytes = 1 << 20

// CallRecord records one call that the application started.
type CallRecord struct {
	RequestID string    `json:"requestId"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	StartedAt time.Time `json:"startedAt"`
}

// Answer is the body of an answer to a call.
type Answer struct {
	Application string `json:"application"`
	RequestID   string `json:"requestId"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Sequence    int    `json:"sequence"`
}

// Load is the load report of an application.
type Load struct {
	InFlight int64 `json:"inFlight"`
	Leaving  bool  `json:"leaving"`
}

// Application is the stand-in, created by New.
type Application struct {
	Faults fault.Set

	name     string
	callTime time.Duration // duration of a call
	inFlight atomic.Int64

	mu    sync.Mutex
	calls []CallRecord
}

// New returns an application whose calls take the given time.
func New(name string, callTime time.Duration) *Application {
	return &Application{name: name, callTime: callTime}
}

// Handler returns the HTTP handler of the application.
func (a *Application) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &a.Faults)
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Calls()) })
	mux.HandleFunc("GET /load", a.load)
	mux.Handle("/", a.Faults.Middleware(http.HandlerFunc(a.serve)))
	return mux
}

// Calls returns the calls that were started, in order.
func (a *Application) Calls() []CallRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]CallRecord{}, a.calls...)
}

func (a *Application) load(w http.ResponseWriter, _ *http.Request) {
	_, leaving := a.Faults.Trigger(fault.Leave)
	writeJSON(w, Load{InFlight: a.inFlight.Load(), Leaving: leaving})
}

func (a *Application) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	if f, ok := a.Faults.Trigger(fault.Late); ok {
		time.Sleep(f.Delay())
	}
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	answer := a.record(r, body)
	time.Sleep(a.callTime)
	if _, ok := a.Faults.Trigger(fault.Reset); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := a.Faults.Trigger(fault.Truncate); ok {
		w.Header().Set("Content-Length", "4096")
		_, _ = w.Write([]byte(`{"application":`))
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Lynxshed-Request-Id", answer.RequestID)
	writeJSON(w, answer)
}

func (a *Application) record(r *http.Request, body []byte) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	call := CallRecord{
		RequestID: r.Header.Get("Lynxshed-Request-Id"),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      string(body),
		StartedAt: time.Now(),
	}
	a.calls = append(a.calls, call)
	return Answer{Application: a.name, RequestID: call.RequestID, Method: call.Method, Path: call.Path, Sequence: len(a.calls)}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
