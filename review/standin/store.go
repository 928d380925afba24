package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md): objects by kind and name with
// revisions, conditional writes, watches, and the drill in which it comes back from a copy.
type store struct {
	mu       sync.Mutex
	rev      int64
	era      int64
	objects  map[string]map[string]object
	history  []event
	oldest   int64 // history before this revision is gone
	changed  chan struct{}
	outside  map[[2]string]json.RawMessage // latest writes of operator and engines; nil: removed
	away     bool
	conns    map[net.Conn]bool
	listener net.Listener
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Made       int64    `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind   string
	rev    int64
	Gone   bool   `json:"gone"`
	Object object `json:"object"`
}

type storeCopy struct {
	rev     int64
	oldest  int64
	objects map[string]map[string]object
	history []event
	made    time.Time
}

func newStore() *store {
	s := &store{rev: 100, era: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), outside: map[[2]string]json.RawMessage{}, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s.listener = l
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
			return
		}
		s.conns[c] = true
	}}
	go func() { _ = server.Serve(l) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put stores an object; the lock is held.
func (s *store) put(kind string, o object, gone bool) object {
	s.rev++
	before, ok := s.objects[kind][o.Metadata.Name]
	o.Metadata.Made = s.rev
	if ok {
		o.Metadata.Made = before.Metadata.Made
	}
	o.Metadata.Revision = s.rev
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if gone {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, event{kind: kind, rev: s.rev, Gone: gone, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// write is a write of the operator or of an engine, which repeat it after the store was restored.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outside[[2]string{kind, name}] = data
	if s.away {
		return // written again once the store is back
	}
	s.put(kind, object{Metadata: metadata{Name: name}, Spec: data, Status: s.objects[kind][name].Status}, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outside[[2]string{kind, name}] = nil
	if o, ok := s.objects[kind][name]; ok && !s.away {
		s.put(kind, o, true)
	}
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// copyNow returns a copy of all that the store holds.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{rev: s.rev, oldest: s.oldest, history: append([]event{}, s.history...), objects: map[string]map[string]object{}, made: time.Now()}
	for kind, objects := range s.objects {
		c.objects[kind] = map[string]object{}
		for name, o := range objects {
			c.objects[kind][name] = o
		}
	}
	return c
}

// goAway resets all connections; the store answers nothing until restore.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		reset(c)
	}
}

// comeBack ends an outage in which nothing was lost. What the operator and the engines could not write is
// written now.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.repeatOutside()
}

// restore brings the store back from a copy, in the next era. What the operator and the engines wrote
// since is written again.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		reset(conn)
	}
	s.rev, s.oldest, s.history, s.objects, s.era, s.away = c.rev, c.oldest, c.history, c.objects, s.era+1, false
	s.repeatOutside()
	close(s.changed)
	s.changed = make(chan struct{})
}

// repeatOutside writes what the operator and the engines wrote last and the store lacks.
func (s *store) repeatOutside() {
	for key, spec := range s.outside {
		o, there := s.objects[key[0]][key[1]]
		switch {
		case spec == nil && there:
			s.put(key[0], o, true)
		case spec != nil && (!there || string(o.Spec) != string(spec)):
			s.put(key[0], object{Metadata: metadata{Name: key[1]}, Spec: spec, Status: o.Status}, false)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

const objectsPath = "/lynxshed/objects/"

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	status, answer := s.answer(r, kind, name, body)
	s.mu.Lock()
	lost := s.era != era || s.away
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (s *store) answer(r *http.Request, kind, name string, body []byte) (int, []byte) {
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		return s.list(kind)
	case r.Method == http.MethodGet:
		if o, ok := s.get(kind, name); ok {
			return 200, encode(o)
		}
		return 404, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ofStatus := strings.CutSuffix(name, "/status")
	var o object
	if r.Method != http.MethodDelete {
		if json.Unmarshal(body, &o) != nil {
			return 400, nil
		}
		if r.Method == http.MethodPost {
			name = o.Metadata.Name
		}
	}
	before, exists := s.objects[kind][name]
	given := o.Metadata.Revision
	if text := q.Get("revision"); text != "" {
		given, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return 409, encode(before)
	case r.Method != http.MethodPost && !exists:
		return 404, nil
	case exists && given != 0 && given != before.Metadata.Revision:
		return 409, encode(before)
	case r.Method == http.MethodDelete:
		return 200, encode(s.put(kind, before, true))
	case ofStatus && string(before.Status) == string(o.Status), exists && !ofStatus && string(before.Spec) == string(o.Spec):
		return 200, encode(before)
	case ofStatus:
		before.Status = o.Status
		return 200, encode(s.put(kind, before, false))
	}
	return 200, encode(s.put(kind, object{Metadata: metadata{Name: name, Finalizers: o.Metadata.Finalizers}, Spec: o.Spec, Status: before.Status}, false))
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	check(err)
	return data
}

func (s *store) list(kind string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []object{}
	for _, o := range s.objects[kind] {
		entries = append(entries, o)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	return 200, encode(map[string]any{"entries": entries, "more": false, "at": s.rev})
}

func (s *store) watch(r *http.Request, kind string) (int, []byte) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		return 400, nil
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		at, gone, changed := s.rev, since < s.oldest || since > s.rev, s.changed
		events := []event{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].rev > since; i-- {
			if s.history[i].kind == kind {
				events = append([]event{s.history[i]}, events...)
			}
		}
		away := s.away
		s.mu.Unlock()
		if away {
			return 503, nil // the caller's connection is aborted
		}
		if gone {
			return 410, nil
		}
		if len(events) > 0 {
			return 200, encode(map[string]any{"events": events, "at": at})
		}
		select {
		case <-changed:
		case <-end:
			return 200, fmt.Appendf(nil, `{"events":[],"at":%d}`, at)
		case <-r.Context().Done():
			return 200, nil
		}
	}
}
