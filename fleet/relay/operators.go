package relay

import (
	"encoding/json"
	"net/http"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// QuarantinePath is where operators list the quarantined requests of a node, and release one
// (DELETE of the path and its fingerprint). It is served beside the readiness check of the
// balancer, at an address that callers cannot reach.
const QuarantinePath = "/quarantine"

// serveOperators registers the handlers for operators.
func (n *Node) serveOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET "+QuarantinePath, n.listQuarantine)
	mux.HandleFunc("GET "+NodesPath, n.listNodes)
	mux.HandleFunc("GET "+LimitsPath, n.listLimits)
	mux.HandleFunc("GET "+NoticesPath, n.listNotices)
	mux.HandleFunc("GET "+MemoryPath, n.showMemory)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{print}", n.releaseQuarantined)
}

func (n *Node) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	held := []quarantine.HeldReport{}
	if tracker, now := n.quarantineTracker(), clock.Now(); tracker != nil {
		held = lo.Map(tracker.List(now), func(h quarantine.Held, _ int) quarantine.HeldReport { return quarantine.ReportOf(h, now) })
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(held); err != nil {
		n.log.WithError(err).Warn("list of quarantined requests not sent to an operator")
	}
}

func (n *Node) releaseQuarantined(w http.ResponseWriter, r *http.Request) {
	var print quarantine.Fingerprint
	if err := print.UnmarshalText([]byte(r.PathValue("print"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if tracker := n.quarantineTracker(); tracker == nil || !tracker.Release(print, clock.Now()) {
		http.Error(w, "no such request is held back", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
