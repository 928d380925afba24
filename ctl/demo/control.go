package demo

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/ctl/fabric"
	"github.com/lynxshed/lynxshed/standin/platform"
)

type partitionRequest struct {
	Groups [][]fabric.Location `json:"groups"`
}

type nodeRequest struct {
	Node  string `json:"node"`
	ForMs int64  `json:"forMs,omitempty"`
}

// control returns the handler of the control URL, which injects faults into the demo.
func (d *Demo) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", d.partition)
	mux.HandleFunc("POST /heal", func(w http.ResponseWriter, _ *http.Request) {
		d.fabric.Heal()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /kill", d.nodeHandler(func(q nodeRequest) error { return d.Kill(q.Node) }))
	mux.HandleFunc("POST /pause", d.nodeHandler(func(q nodeRequest) error {
		return d.Pause(q.Node, time.Duration(q.ForMs)*time.Millisecond)
	}))
	mux.HandleFunc("POST /drain", d.nodeHandler(func(q nodeRequest) error { return d.Drain(q.Node) }))
	mux.HandleFunc("POST /start", d.nodeHandler(func(q nodeRequest) error { return d.Restart(q.Node) }))
	return mux
}

func (d *Demo) partition(w http.ResponseWriter, r *http.Request) {
	var q partitionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, "cut: "+err.Error(), http.StatusBadRequest)
		return
	}
	d.fabric.Partition(q.Groups)
	w.WriteHeader(http.StatusNoContent)
}

// nodeHandler returns a handler that decodes a nodeRequest and passes it to act.
func (d *Demo) nodeHandler(act func(nodeRequest) error) http.HandlerFunc {
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

func (d *Demo) runningNode(name string) (*incarnation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.running[name]
	if !ok {
		return nil, errors.Newf("there is no running node %q", name)
	}
	return i, nil
}

// Kill ends a node at once, without handing over its work.
func (d *Demo) Kill(name string) error {
	i, err := d.runningNode(name)
	if err != nil {
		return err
	}
	d.mu.Lock()
	delete(d.running, name)
	d.mu.Unlock()
	i.port.Kill()
	i.node.Kill()
	d.platform.RemoveVM(name)
	<-i.done
	return nil
}

// Pause pauses a node for the given time. The node is not informed.
func (d *Demo) Pause(name string, duration time.Duration) error {
	i, err := d.runningNode(name)
	if err != nil {
		return err
	}
	i.port.Pause(duration)
	return nil
}

// Drain starts the planned stop of a node.
func (d *Demo) Drain(name string) error {
	i, err := d.runningNode(name)
	if err != nil {
		return err
	}
	d.platform.SetVM(platform.VM{Name: i.component.Name, Zone: i.component.Zone, URL: i.component.URL, State: "leaving"})
	i.node.StartDrain()
	return nil
}

// Restart starts a new VM with the name and address of a node that has ended.
func (d *Demo) Restart(name string) error {
	d.mu.Lock()
	_, isRunning := d.running[name]
	d.mu.Unlock()
	if isRunning {
		return errors.Newf("node %q is running", name)
	}
	for _, c := range d.info.Nodes {
		if c.Name == name {
			return d.startNode(c)
		}
	}
	return errors.Newf("there is no place for a node %q", name)
}
