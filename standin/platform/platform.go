// Package platform stands in for the platform's service: an object API with
// versions, conditional updates and watches, a lagging list of VMs and a
// rate-limited weight store.
//
// Objects:
//
//	GET  /objects/{key}            {"key","version","value"}
//	PUT  /objects/{key}?version=N  conditional on version N (0 creates); {"version"}
//	GET  /objects?prefix=P         {"revision","objects":[{"key","version"}]}
//	GET  /watch?prefix=P&after=R&waitMs=N   objects changed since revision R
//	GET  /vms                      {"revision","vms":[...]}
//	PUT  /vms/{name}, DELETE       what the cloud does: puts a VM on the list or takes it off
//	GET  /weights/{name}           the model's weights, rate-limited
//	GET  /counts                   how often each call was made
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lynxshed/lynxshed/standin/fault"
)

// Limits of the platform's service.
const (
	MaxValueBytes  = 1 << 20
	defaultReads   = 2000 // a second
	defaultWrites  = 400  // a second
	defaultListLag = 500 * time.Millisecond
	weightsPerSec  = 2
	maxWatchWait   = 30 * time.Second
)

// Options of a platform; zero values choose the documented defaults.
type Options struct {
	ReadsPerSecond  float64       // 2000 when zero
	WritesPerSecond float64       // 400 when zero
	ListLag         time.Duration // how late the list of VMs is; 500 ms when zero
}

// VM is one line of the list of live and leaving VMs.
type VM struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	State string `json:"state"` // live or leaving
}

// Object is a value with its version.
type Object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Counts is how often each call was made.
type Counts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	Limited   int64 `json:"limited"`
	Weights   int64 `json:"weights"`
}

type listing struct {
	at       time.Time
	revision int64
	vms      []VM
}

// Platform is the stand-in; New makes one.
type Platform struct {
	Faults fault.Set

	options Options
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]Object
	counts   Counts
	vms      map[string]VM
	listings []listing
}

// New makes an empty platform.
func New(o Options) *Platform {
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = defaultReads
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = defaultWrites
	}
	if o.ListLag == 0 {
		o.ListLag = defaultListLag
	}
	return &Platform{
		options: o,
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(o.ReadsPerSecond)),
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(o.WritesPerSecond)),
		weights: rate.NewLimiter(weightsPerSec, weightsPerSec),
		changed: make(chan struct{}),
		objects: make(map[string]Object),
		vms:     make(map[string]VM),
	}
}

// Handler serves the platform's API.
func (p *Platform) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /objects/{key...}", p.get)
	api.HandleFunc("PUT /objects/{key...}", p.put)
	api.HandleFunc("GET /objects", p.list)
	api.HandleFunc("GET /watch", p.watch)
	api.HandleFunc("GET /vms", p.listVMs)
	api.HandleFunc("GET /weights/{name}", p.getWeights)
	mux := http.NewServeMux()
	mux.Handle("/faults", &p.Faults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	mux.HandleFunc("PUT /vms/{name}", p.putVM)
	mux.HandleFunc("DELETE /vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.Handle("/", p.Faults.Middleware(api))
	return mux
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&vm); err != nil {
		http.Error(w, "vm: "+err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	p.SetVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

// Counts returns how often each call was made.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVM puts a VM on the list; it shows after the list's lag.
func (p *Platform) SetVM(vm VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
	p.relist()
}

// RemoveVM takes a VM off the list; it shows after the list's lag.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.relist()
}

func (p *Platform) relist() {
	p.revision++
	l := listing{at: time.Now(), revision: p.revision}
	for _, vm := range p.vms {
		l.vms = append(l.vms, vm)
	}
	sort.Slice(l.vms, func(i, j int) bool { return l.vms[i].Name < l.vms[j].Name })
	p.listings = append(p.listings, l)
}

func (p *Platform) allow(w http.ResponseWriter, l *rate.Limiter, n *int64) bool {
	p.mu.Lock()
	*n++
	ok := l.Allow()
	if !ok {
		p.counts.Limited++
	}
	p.mu.Unlock()
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	}
	return ok
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads, &p.counts.Reads) {
		return
	}
	p.mu.Lock()
	o, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.writes, &p.counts.Writes) {
		return
	}
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is missing", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "value is not JSON", http.StatusBadRequest)
		return
	}
	o, ok := p.store(r.PathValue("key"), version, value)
	if !ok {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	writeJSON(w, http.StatusOK, Object{Key: o.Key, Version: o.Version})
}

func (p *Platform) store(key string, version int64, value []byte) (Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[key]
	if old.Version != version {
		p.counts.Conflicts++
		return Object{Key: key, Version: old.Version}, false
	}
	p.revision++
	o := Object{Key: key, Version: p.revision, Value: value}
	p.objects[key] = o
	close(p.changed)
	p.changed = make(chan struct{})
	return o, true
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads, &p.counts.Reads) {
		return
	}
	p.mu.Lock()
	objects := p.since(r.URL.Query().Get("prefix"), 0)
	revision := p.revision
	p.mu.Unlock()
	for i := range objects {
		objects[i].Value = nil
	}
	writeJSON(w, http.StatusOK, page{Revision: revision, Objects: objects})
}

type page struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

func (p *Platform) since(prefix string, after int64) []Object {
	found := []Object{}
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads, &p.counts.Watches) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		p.mu.Lock()
		objects, revision, changed := p.since(query.Get("prefix"), after), p.revision, p.changed
		p.mu.Unlock()
		if len(objects) > 0 {
			writeJSON(w, http.StatusOK, page{Revision: revision, Objects: objects})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, page{Revision: revision, Objects: objects})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type vmList struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	if !p.allow(w, p.reads, &p.counts.Reads) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := vmList{VMs: []VM{}}
	for _, l := range p.listings {
		if time.Since(l.at) >= p.options.ListLag {
			answer = vmList{Revision: l.revision, VMs: l.vms}
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.weights, &p.counts.Weights) {
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"name": r.PathValue("name"), "digest": "standin"})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
