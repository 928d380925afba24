package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

const maxKVBytes = 16 << 20

// Order instructs the engine to load a model or to change its role.
type Order struct {
	Fence int64  `json:"fence"` // fencing token
	Kind  string `json:"kind"`  // load or role
	Value string `json:"value"`
}

// orderLog holds the accepted orders and their highest fence.
type orderLog struct {
	fence    int64
	accepted []Order
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "order: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && o.Fence < e.orders.fence {
		writeJSON(w, http.StatusConflict, Order{Fence: e.orders.fence})
		return
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.accepted = append(e.orders.accepted, o)
	writeJSON(w, http.StatusOK, o)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	data, ok := e.kv[r.PathValue("prefix")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such prefix", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKVBytes))
	if err != nil {
		http.Error(w, "kv: too large", http.StatusRequestEntityTooLarge)
		return
	}
	e.mu.Lock()
	e.kv[r.PathValue("prefix")] = data
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
