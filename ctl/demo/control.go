package demo

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/ctl/fabric"
	"github.com/lynxshed/lynxshed/standin/platform"
)

type cutRequest struct {
	Groups [][]fabric.Place `json:"groups"`
}

type nodeRequest struct {
	Node  string `json:"node"`
	ForMs int64  `json:"forMs,omitempty"`
}

// control serves the faults that the demo can bring about.
func (d *Demo) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", d.cut)
	mux.HandleFunc("POST /heal", func(w http.ResponseWriter, _ *http.Request) {
		d.fabric.Heal()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /kill", d.onNode(func(q nodeRequest) error { return d.Kill(q.Node) }))
	mux.HandleFunc("POST /pause", d.onNode(func(q nodeRequest) error {
		return d.Pause(q.Node, time.Duration(q.ForMs)*time.Millisecond)
	}))
	mux.HandleFunc("POST /drain", d.onNode(func(q nodeRequest) error { return d.Drain(q.Node) }))
	mux.HandleFunc("POST /start", d.onNode(func(q nodeRequest) error { return d.StartAgain(q.Node) }))
	return mux
}

func (d *Demo) cut(w http.ResponseWriter, r *http.Request) {
	var q cutRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, "cut: "+err.Error(), http.StatusBadRequest)
		return
	}
	d.fabric.Cut(q.Groups)
	w.WriteHeader(http.StatusNoContent)
}

func (d *Demo) onNode(act func(nodeRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q nodeRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := act(q); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (d *Demo) find(name string) (*life, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.nodes[name]
	if !ok {
		return nil, errors.Newf("there is no running node %q", name)
	}
	return l, nil
}

// Kill ends a node at once, with nothing handed over.
func (d *Demo) Kill(name string) error {
	l, err := d.find(name)
	if err != nil {
		return err
	}
	d.mu.Lock()
	delete(d.nodes, name)
	d.mu.Unlock()
	l.port.Kill()
	l.node.Kill()
	d.platform.RemoveVM(name)
	<-l.done
	return nil
}

// Pause stops a node for a while without its knowing.
func (d *Demo) Pause(name string, forTime time.Duration) error {
	l, err := d.find(name)
	if err != nil {
		return err
	}
	l.port.Pause(forTime)
	return nil
}

// Drain begins a node's planned stop.
func (d *Demo) Drain(name string) error {
	l, err := d.find(name)
	if err != nil {
		return err
	}
	d.platform.SetVM(platform.VM{Name: l.place.Name, Zone: l.place.Zone, URL: l.place.URL, State: "leaving"})
	l.node.StartDrain()
	return nil
}

// StartAgain puts a fresh VM in a node's place.
func (d *Demo) StartAgain(name string) error {
	d.mu.Lock()
	_, running := d.nodes[name]
	d.mu.Unlock()
	if running {
		return errors.Newf("node %q is running", name)
	}
	for _, p := range d.info.Nodes {
		if p.Name == name {
			return d.startNode(p)
		}
	}
	return errors.Newf("there is no place for a node %q", name)
}
