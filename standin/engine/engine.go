// Package engine stands in for a model engine that batches continuously.
//
//	POST   /v1/chat/completions        the OpenAI form, streamed or whole
//	GET    /v1/outcomes/{id}?attempt=N what became of an attempt
//	GET    /v1/streams/{id}?attempt=N&from=K   the stream again from chunk K
//	DELETE /v1/requests/{id}?attempt=N cancels; answers the outcome
//	GET    /load                       a report that lags
//	GET    /cache-events?after=N       prefix-cache events, late and with gaps
//	POST   /orders                     fenced orders (load a model, change role)
//	GET    /kv/{prefix}, PUT           KV cache out and in
//	GET    /ran                        the independent record
//
// A run goes on when its connection breaks: it is resumed or cancelled by id.
package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/standin/fault"
)

// Options of an engine; zero values choose the documented defaults.
type Options struct {
	Name         string
	MaxBatch     int           // requests that run at once; 16 when zero
	TokenTime    time.Duration // between tokens of a request that runs alone; 2 ms when zero
	BatchSlope   float64       // how much each further request slows a token; 0.05 when zero
	PrefillTime  time.Duration // for 1,000 prompt tokens that are not cached; 20 ms when zero
	CacheBlocks  int           // blocks of the prefix cache; 4096 when zero
	LoadLag      time.Duration // age of the load report; 500 ms when zero
	ChecksFence  bool
	DefaultLimit int // output tokens when the caller names none; 64 when zero
}

func (o Options) withDefaults() Options {
	if o.MaxBatch == 0 {
		o.MaxBatch = 16
	}
	if o.TokenTime == 0 {
		o.TokenTime = 2 * time.Millisecond
	}
	if o.BatchSlope == 0 {
		o.BatchSlope = 0.05
	}
	if o.PrefillTime == 0 {
		o.PrefillTime = 20 * time.Millisecond
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 4096
	}
	if o.LoadLag == 0 {
		o.LoadLag = 500 * time.Millisecond
	}
	if o.DefaultLimit == 0 {
		o.DefaultLimit = 64
	}
	return o
}

// Engine is the stand-in; New makes one.
type Engine struct {
	Faults fault.Set

	options Options

	mu      sync.Mutex
	runs    map[runKey]*run
	ordered []*run
	batch   int
	waiting []*run
	cache   *prefixCache
	orders  orderBook
	kv      map[string][]byte
	reports []report
}

type report struct {
	at   time.Time
	load Load
}

// New makes an idle engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{
		options: o,
		runs:    make(map[runKey]*run),
		cache:   newPrefixCache(o.CacheBlocks),
		kv:      make(map[string][]byte),
	}
}

// Handler serves the engine.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/chat/completions", e.complete)
	api.HandleFunc("GET /v1/outcomes/{id}", e.outcome)
	api.HandleFunc("GET /v1/streams/{id}", e.resume)
	api.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	api.HandleFunc("GET /load", e.serveLoad)
	api.HandleFunc("GET /cache-events", e.cacheEvents)
	api.HandleFunc("POST /orders", e.order)
	api.HandleFunc("GET /kv/{prefix}", e.exportKV)
	api.HandleFunc("PUT /kv/{prefix}", e.importKV)
	mux := http.NewServeMux()
	mux.Handle("/faults", &e.Faults)
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Ran()) })
	mux.Handle("/", e.Faults.Middleware(api))
	return mux
}

// Load is the engine's own report.
type Load struct {
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	MaxBatch int  `json:"maxBatch"`
	Leaving  bool `json:"leaving"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_, leaving := e.Faults.Take(fault.Leave)
	_, stale := e.Faults.Take(fault.StaleLoad)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !stale || len(e.reports) == 0 {
		e.reports = append(e.reports, report{at: now, load: Load{InFlight: e.batch, Queued: len(e.waiting), MaxBatch: e.options.MaxBatch}})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.LoadLag {
		e.reports = e.reports[1:]
	}
	load := e.reports[0].load
	load.Leaving = leaving
	writeJSON(w, http.StatusOK, load)
}

// Ran is the record of one attempt that the engine started.
type Ran struct {
	RequestID    string    `json:"requestId"`
	Attempt      int       `json:"attempt"`
	Customer     string    `json:"customer"`
	PromptTokens int       `json:"promptTokens"`
	OutputTokens int       `json:"outputTokens"`
	State        string    `json:"state"`
	Priority     string    `json:"priority"`
	StartedAt    time.Time `json:"startedAt"`
}

// Ran returns the record of the attempts that started.
func (e *Engine) Ran() []Ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]Ran, 0, len(e.ordered))
	for _, r := range e.ordered {
		records = append(records, r.record())
	}
	return records
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func attemptOf(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 {
		return 1
	}
	return n
}
