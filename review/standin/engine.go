package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of one engine (PROTOCOL.md): it registers itself in the store, answers 421 to a
// request for another instance, and runs the others. What it does with a request is set by handle.
type engine struct {
	id, service, zone, version string
	born                       int64
	slots                      int
	store                      *store
	listener                   net.Listener
	server                     *http.Server
	seq                        int
	state                      string
	stopped                    chan struct{}
	coldUntil                  time.Time
	handle                     func(e *engine, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	running int
	runs    []run
}

// run is one request that reached an engine.
type run struct {
	at       time.Time
	id       string // attempt id
	engine   string
	executed bool
	method   string
	path     string
	tenant   string
	from     string
}

func startEngine(st *store, id, service, zone, version string, slots int, handle func(*engine, http.ResponseWriter, *http.Request)) *engine {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	return serve(st, l, id, service, zone, version, slots, 0, handle)
}

func serve(st *store, l net.Listener, id, service, zone, version string, slots int, cold time.Duration, handle func(*engine, http.ResponseWriter, *http.Request)) *engine {
	e := &engine{coldUntil: time.Now().Add(cold), id: id, service: service, zone: zone, version: version, born: time.Now().UnixMilli(), slots: slots, store: st, listener: l, state: "ready", stopped: make(chan struct{}), handle: handle}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.beat()
	go func() {
		for {
			select {
			case <-e.stopped:
				return
			case <-time.After(1200 * time.Millisecond):
				e.beat()
			}
		}
	}()
	return e
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state, "cold-left-ms": max(time.Until(e.coldUntil).Milliseconds(), 0), "sequence": e.seq, "born": e.born}
	e.mu.Unlock()
	e.store.write("servers", e.id, entry)
}

// crash ends the engine without a word, and with it all its connections.
func (e *engine) crash() {
	close(e.stopped)
	_ = e.server.Close()
}

// startAgain starts a crashed engine again under its id and at its address, with a software version. It
// knows nothing of before.
func (e *engine) startAgain(version string, cold time.Duration) *engine {
	l, err := net.Listen("tcp4", e.listener.Addr().String())
	check(err)
	return serve(e.store, l, e.id, e.service, e.zone, version, e.slots, cold, e.handle)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/lynxshed/") && r.URL.Path != "/healthz" {
		if want := r.Header.Get("Lynxshed-Expect-Instance"); want != "" && want != e.id {
			w.Header().Set("Lynxshed-Instance-Id", e.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.handle(e, w, r)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Lynxshed-Instance-Id", e.id)
		if cold := time.Until(e.coldUntil).Milliseconds(); cold > 0 {
			w.Header().Set("Lynxshed-Cold-Ms", strconv.FormatInt(cold, 10))
		}
		w.WriteHeader(200)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"phase": "prefill_decode", "models": []any{}, "busy": false, "sequence": 1, "queued": 0, "active": e.active(), "kv-used": 0, "kv-total": 1 << 20, "handles": 0, "born": e.born})
}

func (e *engine) active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// begin notes that the engine begins work on a request; false: it is full and turns it away.
func (e *engine) begin(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Lynxshed-Attempt-Id")
	one := run{at: time.Now(), id: id, engine: e.id, executed: e.running < e.slots, method: r.Method, path: r.URL.RequestURI(), tenant: r.Header.Get("Lynxshed-Tenant"), from: r.RemoteAddr}
	e.runs = append(e.runs, one)
	w.Header().Set("Lynxshed-Attempt-Id", id)
	w.Header().Set("Lynxshed-Engine-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	if !one.executed {
		w.Header().Set("Lynxshed-Not-Executed", "1")
		w.WriteHeader(503)
		return false
	}
	e.running++
	w.Header().Set("Lynxshed-Response-Seal", "seal-"+e.id+"-"+id)
	w.Header().Set("Lynxshed-Weight-Versions", "1")
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run{}, e.runs...)
}

const stride = 5 // tokens in an event

// generate answers with a stream: as many events as the request's most allows, at a pause between two.
func generate(pause time.Duration) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.begin(w, r) {
			return
		}
		defer e.end()
		_, most, _ := strings.Cut(r.Header.Get("Lynxshed-Token-Usage"), ",")
		tokens, _ := strconv.Atoi(most)
		first := 0
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			first, _ = strconv.Atoi(last)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(200)
		flush := http.NewResponseController(w)
		for i := first + 1; i <= tokens/stride; i++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s %d\n\n", i, r.Header.Get("Lynxshed-Attempt-Id"), e.version, e.id, i); err != nil {
				return
			}
			if flush.Flush() != nil {
				return
			}
		}
	}
}

// work answers a plain request after a time.
func work(d time.Duration) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.begin(w, r) {
			return
		}
		defer e.end()
		time.Sleep(d)
		body := "answer to " + r.Header.Get("Lynxshed-Attempt-Id")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(200)
		_, _ = io.WriteString(w, body)
	}
}
