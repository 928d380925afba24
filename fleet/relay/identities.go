package relay

import "github.com/lynxshed/lynxshed/fleet/relay/engine"

// identities implements forward.Incarnations: it tells the transport which endpoints to ask which
// incarnation runs, and the table of endpoints what they told.
type identities struct{ *Node }

// enableIdentities has the node ask endpoints which incarnation runs, so that streams stay at the version
// that began them while its entry is on its way, or the store is unavailable.
func (n *Node) enableIdentities() {
	if n.settings.Enabled(originsMechanism) {
		n.transport.WithIncarnations(identities{n}, n.adapter.Wire())
	}
}

// Tells implements forward.Incarnations.
func (i identities) Tells(e engine.Engine) bool { return e.Born != 0 && i.generatesTokens(e.Service) }

// generatesTokens reports whether the endpoints of a service generate tokens.
func (n *Node) generatesTokens(service string) bool {
	p := n.policy.Load()
	if p == nil {
		return false
	}
	s, known := p.Service(service)
	return known && s.KVCapacity > 0
}

// Identified implements forward.Incarnations.
func (i identities) Identified(e engine.Engine, born int64) { i.engineTable.identified(e, born) }
