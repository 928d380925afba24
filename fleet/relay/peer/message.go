package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// message is a datagram from one node to another.
type message struct {
	Node          string                          `json:"node"`
	Incarnation   string                          `json:"life"`
	Number        uint64                          `json:"number"` // increases with each beat; an older one is dropped
	Digests       map[string]choice.Digest        `json:"digests,omitempty"`
	Reads         []choice.Read                   `json:"reads,omitempty"`   // prompts read recently
	HasBudgets    bool                            `json:"budgets,omitempty"` // the message has budget reports
	BudgetReports map[string]account.BudgetReport `json:"reports,omitempty"`
	StoreLost     bool                            `json:"out,omitempty"`        // the node does not reach the store
	Reconnects    uint64                          `json:"reconnects,omitempty"` // how often the node reached the store again
	Elsewhere     bool                            `json:"elsewhere,omitempty"`  // a writer of another zone reaches the store
	Outage        *account.Outage                 `json:"outage,omitempty"`     // of the store, expected again
	Requests      []transferRequest               `json:"requests,omitempty"`
	Grants        []grant                         `json:"grants,omitempty"`
	Rollouts      *RolloutReport                  `json:"rollouts,omitempty"`   // open orders
	Suspicions    []suspicion.Report              `json:"doubts,omitempty"`     // endpoints at which calls failed recently
	Quarantine    *quarantine.Report              `json:"quarantine,omitempty"` // requests under which endpoints end
	Limits        []limit.Report                  `json:"limits,omitempty"`     // limits that endpoints name
	Notices       []notice.Report                 `json:"notices,omitempty"`    // signals of endpoints in their answers
	NoTunnels     []string                        `json:"noTunnels,omitempty"`  // services to which the node opens no tunnels now; allServices stands for all
	Fragile       []fragile.Report                `json:"fragile,omitempty"`    // services whose endpoints crash when they reject too many calls
	Rests         []notice.Report                 `json:"rests,omitempty"`      // rests that endpoints asked of the receiver, over tunnels through it
	Origins       []origin.Record                 `json:"origins,omitempty"`    // versions that began streams
	OriginQueries []originQuery                   `json:"originQueries,omitempty"`
	OriginAnswers []originAnswer                  `json:"originAnswers,omitempty"`

	Versions map[string][]string `json:"versions,omitempty"` // software versions that the node lists, by service

	OriginsToStore  []origin.Record `json:"originsToStore,omitempty"`  // versions that began streams, for the receiver to write to the store
	StandBy         bool            `json:"standBy,omitempty"`         // the receiver writes them only if another node does not
	OriginsStoredMs *int64          `json:"originsStoredMs,omitempty"` // the store has those that arrived at the sender so long ago or before
	Ledger          int64           `json:"ledger,omitempty"`          // revision number of a ledger that the node wrote
	Era             int64           `json:"era,omitempty"`             // newest era that the node knows of; with Ledger, the era of its revision
}

// withSender fills in the sender of a message.
func (g *Gossip) withSender(m message) message {
	m.Node, m.Incarnation = g.registry.self.Name, g.registry.self.Incarnation
	return m
}

// send sends one message to some peers.
func (g *Gossip) send(m message, addresses ...string) {
	data, err := encode(m)
	if err != nil {
		g.registry.log.WithField("peers", len(addresses)).WithError(err).Warn("could not encode a message to peers")
		return
	}
	for _, address := range addresses {
		to, err := socketAddress(address)
		if err != nil {
			continue // named by a peer, in an answer to a request for tokens
		}
		_, _ = g.socket.WriteTo(data, to) // a datagram may be lost anyway
	}
}

// encode encodes a message as a datagram. A message that would exceed it is sent without
// the reads, which are optional hints, and if that is not enough with only the digests of
// the endpoints that have the most in flight.
func encode(m message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err == nil && len(data) > maxMessage {
		m.Reads = nil
		data, err = json.Marshal(m)
	}
	if err == nil && len(data) > maxMessage {
		m.Digests = choice.Busiest(m.Digests, maxDigests)
		data, err = json.Marshal(m)
	}
	if err == nil && len(data) > maxMessage {
		return nil, errors.Newf("message of %d bytes, more than %d", len(data), maxMessage)
	}
	return data, err
}
