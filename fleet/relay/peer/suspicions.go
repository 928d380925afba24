package peer

import (
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// A node reports to the delegates of its zone at once that one of its calls failed at an
// endpoint, and further failures at the next beat. A delegate that finds that the endpoint
// must be avoided announces to all nodes of its zone, and to the delegates of others, which
// nodes observed the failures. Both are sent again with the digests, so that a lost datagram
// costs a second at most. In a fleet where all nodes write, each sends to all others.

// WithSuspicions exchanges reports on endpoints that fail. It must be called before Run.
func (g *Gossip) WithSuspicions(b *suspicion.Tracker) *Gossip {
	g.suspicions = b
	g.registry.OnChange(func(members []Member) {
		b.Nodes(lo.SliceToMap(members, func(m Member) (string, string) { return m.Name, m.Zone }))
	})
	return g
}

// urgentSuspicions signals that reports on endpoints must not wait for the next beat.
func (g *Gossip) urgentSuspicions() <-chan struct{} {
	if g.suspicions == nil {
		return nil
	}
	return g.suspicions.Urgent()
}

// sendSuspicions sends what can't wait for the digests.
func (g *Gossip) sendSuspicions(delegates map[string]bool) {
	if g.suspicions == nil {
		return
	}
	now := clock.Now()
	audience := g.suspicions.Audience(g.passesOn(), now)
	if audience == suspicion.Nobody {
		return
	}
	reports := g.suspicionReports(now)
	if len(reports) == 0 {
		return
	}
	near, far := g.delegateAddresses(delegates)
	if audience == suspicion.All {
		self := g.registry.self
		near = addresses(lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name && m.Zone == self.Zone }))
	}
	to := near
	if audience == suspicion.All || g.Writes() && !g.passesOn() {
		to = append(near, far...)
	}
	g.send(g.withSender(message{Suspicions: reports}), to...)
}

// suspicionReports returns the reports on endpoints that fail.
func (g *Gossip) suspicionReports(now time.Time) []suspicion.Report {
	if g.suspicions == nil {
		return nil
	}
	return g.suspicions.Reports(g.passesOn(), now)
}

// receiveSuspicions processes a peer's reports on endpoints that fail.
func (g *Gossip) receiveSuspicions(m message) {
	if g.suspicions != nil && len(m.Suspicions) > 0 {
		g.suspicions.Receive(m.Node, m.Suspicions, clock.Now())
	}
}
