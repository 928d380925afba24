// Package engine is the stand-in of a model engine with continuous batching.
//
//	POST   /v1/chat/completions        chat completion as in the OpenAI API, streamed or complete
//	GET    /v1/outcomes/{id}?attempt=N outcome of an attempt
//	GET    /v1/streams/{id}?attempt=N&from=K   resumes a stream from chunk K
//	DELETE /v1/requests/{id}?attempt=N cancels an attempt and returns its outcome
//	GET    /load                       load report, delayed
//	GET    /cache-events?after=N       prefix-cache events, delayed and with gaps
//	POST   /orders                     fenced orders (load a model, change the role)
//	GET    /kv/{prefix}, PUT           exports and imports the KV cache of a prefix
//	GET    /ran                        all attempts that were started
//
// A run continues when its connection breaks; it can be resumed or cancelled by id.
package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/standin/fault"
)

// Options configures an engine. Zero values select the documented defaults.
type Options struct {
	Name         string
	MaxBatch     int           // maximum number of concurrent requests; default 16
	TokenTime    time.Duration // time per token of a request that runs alone; default 2 ms
	BatchSlope   float64       // relative increase of the time per token for each further request; default 0.05
	PrefillTime  time.Duration // time per 1,000 prompt tokens that are not cached; default 20 ms
	CacheBlocks  int           // capacity of the prefix cache; default 4096
	LoadLag      time.Duration // age of the load report; default 500 ms
	ChecksFence  bool          // refuses orders with an outdated fence
	DefaultLimit int           // output tokens if the caller sets no limit; default 64
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

// Engine is the stand-in, created by New.
type Engine struct {
	Faults fault.Set

	options Options

	mu       sync.Mutex
	runs     map[runKey]*run
	arrivals []*run // all runs in order of arrival
	batch    int    // number of runs in the batch
	waiting  []*run // queued
	cache    *prefixCache
	orders   orderLog
	kv       map[string][]byte
	reports  []report // load reports, oldest first
}

type report struct {
	at   time.Time
	load Load
}

// New returns an idle engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{
		options: o,
		runs:    make(map[runKey]*run),
		cache:   newPrefixCache(o.CacheBlocks),
		kv:      make(map[string][]byte),
	}
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	api.HandleFunc("GET /v1/outcomes/{id}", e.serveOutcome)
	api.HandleFunc("GET /v1/streams/{id}", e.resumeStream)
	api.HandleFunc("DELETE /v1/requests/{id}", e.cancelAttempt)
	api.HandleFunc("GET /load", e.serveLoad)
	api.HandleFunc("GET /cache-events", e.serveCacheEvents)
	api.HandleFunc("POST /orders", e.serveOrder)
	api.HandleFunc("GET /kv/{prefix}", e.exportKV)
	api.HandleFunc("PUT /kv/{prefix}", e.importKV)
	mux := http.NewServeMux()
	mux.Handle("/faults", &e.Faults)
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Attempts()) })
	mux.Handle("/", e.Faults.Middleware(api))
	return mux
}

// Load is the load report of an engine.
type Load struct {
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	MaxBatch int  `json:"maxBatch"`
	Leaving  bool `json:"leaving"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_, leaving := e.Faults.Trigger(fault.Leave)
	_, stale := e.Faults.Trigger(fault.StaleLoad)
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

// AttemptRecord records one attempt that the engine started.
type AttemptRecord struct {
	RequestID    string    `json:"requestId"`
	Attempt      int       `json:"attempt"`
	Customer     string    `json:"customer"`
	PromptTokens int       `json:"promptTokens"`
	OutputTokens int       `json:"outputTokens"`
	State        string    `json:"state"`
	Priority     string    `json:"priority"`
	StartedAt    time.Time `json:"startedAt"`
}

// Attempts returns the attempts that were started, in order of arrival.
func (e *Engine) Attempts() []AttemptRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]AttemptRecord, 0, len(e.arrivals))
	for _, r := range e.arrivals {
		records = append(records, r.record())
	}
	return records
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// parseAttempt parses the number of an attempt; it is 1 if the value is missing or invalid.
func parseAttempt(value string) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 {
		return 1
	}
	return n
}
