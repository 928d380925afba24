// Package application stands in for a plain service beside the model engines,
// such as the translation memory or the tournament records.
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

const maxBody = 1 << 20

// Ran is the record of one call that the application started.
type Ran struct {
	RequestID string    `json:"requestId"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	StartedAt time.Time `json:"startedAt"`
}

// Answer is what the application sends back.
type Answer struct {
	Application string `json:"application"`
	RequestID   string `json:"requestId"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Sequence    int    `json:"sequence"`
}

// Load is the application's own report.
type Load struct {
	InFlight int64 `json:"inFlight"`
	Leaving  bool  `json:"leaving"`
}

// Application is the stand-in; New makes one.
type Application struct {
	Faults fault.Set

	name     string
	work     time.Duration
	inFlight atomic.Int64

	mu  sync.Mutex
	ran []Ran
}

// New makes an application whose calls take the given time.
func New(name string, work time.Duration) *Application {
	return &Application{name: name, work: work}
}

// Handler serves the application.
func (a *Application) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &a.Faults)
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Ran()) })
	mux.HandleFunc("GET /load", a.load)
	mux.Handle("/", a.Faults.Middleware(http.HandlerFunc(a.serve)))
	return mux
}

// Ran returns the record of the calls that started.
func (a *Application) Ran() []Ran {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Ran{}, a.ran...)
}

func (a *Application) load(w http.ResponseWriter, _ *http.Request) {
	_, leaving := a.Faults.Take(fault.Leave)
	writeJSON(w, Load{InFlight: a.inFlight.Load(), Leaving: leaving})
}

func (a *Application) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	if f, ok := a.Faults.Take(fault.Late); ok {
		time.Sleep(f.Delay())
	}
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	answer := a.record(r, body)
	time.Sleep(a.work)
	if _, ok := a.Faults.Take(fault.Reset); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := a.Faults.Take(fault.Truncate); ok {
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
	ran := Ran{
		RequestID: r.Header.Get("Lynxshed-Request-Id"),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      string(body),
		StartedAt: time.Now(),
	}
	a.ran = append(a.ran, ran)
	return Answer{Application: a.name, RequestID: ran.RequestID, Method: ran.Method, Path: ran.Path, Sequence: len(a.ran)}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
