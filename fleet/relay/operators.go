package relay

import (
	"encoding/json"
	"net/http"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// QuarantinePath is where a node tells operators which requests are held back, and lets
// one go (DELETE of the path and its print). It is served beside what the balancer asks,
// at an address that callers don't reach.
const QuarantinePath = "/quarantine"

// serveOperators adds what operators ask of this node alone.
func (n *Node) serveOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET "+QuarantinePath, n.listQuarantine)
	mux.HandleFunc("GET "+NodesPath, n.listNodes)
	mux.HandleFunc("GET "+LimitsPath, n.listLimits)
	mux.HandleFunc("GET "+NoticesPath, n.listNotices)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{print}", n.releaseQuarantined)
}

func (n *Node) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	held := []quarantine.HeldWord{}
	if book, now := n.book(), clock.Now(); book != nil {
		held = lo.Map(book.List(now), func(h quarantine.Held, _ int) quarantine.HeldWord { return quarantine.WordOf(h, now) })
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(held); err != nil {
		n.log.WithError(err).Warn("requests that are held back not told to an operator")
	}
}

func (n *Node) releaseQuarantined(w http.ResponseWriter, r *http.Request) {
	var print quarantine.Print
	if err := print.UnmarshalText([]byte(r.PathValue("print"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if book := n.book(); book == nil || !book.Release(print, clock.Now()) {
		http.Error(w, "no such request is held back", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
