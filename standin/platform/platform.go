// Package platform is the stand-in of the platform's service: an object API with versions, conditional
// updates and watches, a delayed list of VMs and a rate-limited store of model weights.
//
// Objects:
//
//	GET  /objects/{key}            {"key","version","value"}
//	PUT  /objects/{key}?version=N  conditional on version N (0 creates); {"version"}
//	GET  /objects?prefix=P         {"revision","objects":[{"key","version"}]}
//	GET  /watch?prefix=P&after=R&waitMs=N   objects changed since revision R
//	GET  /vms                      {"revision","vms":[...]}
//	PUT  /vms/{name}, DELETE       acts as the cloud: adds a VM to the list or removes it
//	GET  /weights/{name}           the model's weights, rate-limited
//	GET  /counts                   number of calls of each kind
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

// Limits and defaults of the platform's service.
const (
	MaxValueBytes    = 1 << 20
	defaultReads     = 2000 // per second
	defaultWrites    = 400  // per second
	defaultListLag   = 500 * time.Millisecond
	weightsPerSecond = 2
	maxWatchWait     = 30 * time.Second
)

// Options configures a platform. Zero values select the documented defaults.
type Options struct {
	ReadsPerSecond  float64       // default 2000
	WritesPerSecond float64       // default 400
	ListLag         time.Duration // delay of changes to the list of VMs; default 500 ms
}

// VM is one entry of the list of live and leaving VMs.
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

// Counts holds the number of calls of each kind.
type Counts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"` // conditional updates of an outdated version
	Limited   int64 `json:"limited"`   // refused by the rate limit
	Weights   int64 `json:"weights"`
}

// listing is one version of the list of VMs.
type listing struct {
	at       time.Time
	revision int64
	vms      []VM
}

// Platform is the stand-in, created by New.
type Platform struct {
	Faults fault.Set

	options Options
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when an object changes
	revision int64
	objects  map[string]Object
	counts   Counts
	vms      map[string]VM
	listings []listing // all versions of the list of VMs, oldest first
}

// New returns an empty platform.
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
		weights: rate.NewLimiter(weightsPerSecond, weightsPerSecond),
		changed: make(chan struct{}),
		objects: make(map[string]Object),
		vms:     make(map[string]VM),
	}
}

// Handler returns the HTTP handler of the platform's API.
func (p *Platform) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /objects/{key...}", p.getObject)
	api.HandleFunc("PUT /objects/{key...}", p.putObject)
	api.HandleFunc("GET /objects", p.listObjects)
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

// Counts returns the number of calls of each kind.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVM adds a VM to the list or replaces it. The change becomes visible after the lag of the list.
func (p *Platform) SetVM(vm VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
	p.recordListing()
}

// RemoveVM removes a VM from the list. The change becomes visible after the lag of the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.recordListing()
}

func (p *Platform) recordListing() {
	p.revision++
	l := listing{at: time.Now(), revision: p.revision}
	for _, vm := range p.vms {
		l.vms = append(l.vms, vm)
	}
	sort.Slice(l.vms, func(i, j int) bool { return l.vms[i].Name < l.vms[j].Name })
	p.listings = append(p.listings, l)
}

// allow increments count and checks the rate limit. It answers the call itself if the limit is exceeded.
func (p *Platform) allow(w http.ResponseWriter, l *rate.Limiter, count *int64) bool {
	p.mu.Lock()
	*count++
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

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
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
	o, ok := p.replaceObject(r.PathValue("key"), version, value)
	if !ok {
		writeJSON(w, http.StatusConflict, o)
		return
	}
	writeJSON(w, http.StatusOK, Object{Key: o.Key, Version: o.Version})
}

// replaceObject replaces the value of an object if version is its current version. It returns the object and
// reports whether it was replaced.
func (p *Platform) replaceObject(key string, version int64, value []byte) (Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.objects[key]
	if current.Version != version {
		p.counts.Conflicts++
		return Object{Key: key, Version: current.Version}, false
	}
	p.revision++
	o := Object{Key: key, Version: p.revision, Value: value}
	p.objects[key] = o
	close(p.changed)
	p.changed = make(chan struct{})
	return o, true
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	if !p.allow(w, p.reads, &p.counts.Reads) {
		return
	}
	p.mu.Lock()
	objects := p.changedSince(r.URL.Query().Get("prefix"), 0)
	revision := p.revision
	p.mu.Unlock()
	for i := range objects {
		objects[i].Value = nil
	}
	writeJSON(w, http.StatusOK, objectList{Revision: revision, Objects: objects})
}

type objectList struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// changedSince returns the objects with a prefix that changed after a revision, oldest change first.
func (p *Platform) changedSince(prefix string, after int64) []Object {
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
		objects, revision, changed := p.changedSince(query.Get("prefix"), after), p.revision, p.changed
		p.mu.Unlock()
		if len(objects) > 0 {
			writeJSON(w, http.StatusOK, objectList{Revision: revision, Objects: objects})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, objectList{Revision: revision, Objects: objects})
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
