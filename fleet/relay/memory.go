package relay

import (
	"encoding/json"
	"net/http"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

// MemoryPath is where operators read what a node holds for its callers.
const MemoryPath = "/memory"

// MemoryReport is what a node holds for its callers.
type MemoryReport struct {
	BoundBytes   int64          `json:"boundBytes"` // 0: none
	HeldBytes    int64          `json:"heldBytes"`
	PeakBytes    int64          `json:"peakBytes"`
	Connections  int            `json:"connections"`
	Waiting      int64          `json:"waiting"` // connections that wait for their callers and may be evicted
	WaitingBytes int64          `json:"waitingBytes"`
	Rejected     int64          `json:"rejected"`
	Evicted      int64          `json:"evicted"`
	Customers    []memory.Share `json:"customers"` // the one that holds most first; without a name: not known yet
}

func (n *Node) showMemory(w http.ResponseWriter, _ *http.Request) {
	s := n.memory.State()
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(MemoryReport{
		BoundBytes: s.Bound, HeldBytes: s.Held, PeakBytes: s.Peak, Connections: n.ingress.Open(), Waiting: s.Waiting,
		WaitingBytes: s.WaitingBytes, Rejected: s.Rejected, Evicted: s.Evicted, Customers: n.memory.Shares(),
	})
	if err != nil {
		n.log.WithError(err).Warn("what callers hold not sent to an operator")
	}
}
