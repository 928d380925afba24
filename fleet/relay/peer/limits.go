package peer

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// A node that learns from an answer of a limit, or of its end, sends it at once to the
// delegates of its zone. A delegate that receives it sends it to all nodes of its zone and to
// the delegates of others. In a fleet where all nodes write, each sends to all others. All of
// it is sent again with the digests.

// WithLimits exchanges the limits that endpoints name. It must be called before Run.
func (g *Gossip) WithLimits(b *limit.Tracker) *Gossip {
	g.limits = b
	return g
}

// urgentLimits signals that reports on limits must not wait for the next beat.
func (g *Gossip) urgentLimits() <-chan struct{} {
	if g.limits == nil {
		return nil
	}
	return g.limits.Urgent()
}

// sendLimits sends what can't wait for the digests.
func (g *Gossip) sendLimits(delegates map[string]bool) {
	reports := g.limits.Updates(g.passesOn(), clock.Now())
	if len(reports) == 0 {
		return
	}
	g.send(g.withSender(message{Limits: reports}), g.audience(delegates)...)
}

// audience returns the addresses to which this node sends updates at once: the delegates of
// its zone, or, on a delegate, all nodes of its zone and the delegates of others. In a fleet
// where all nodes write these are all others.
func (g *Gossip) audience(delegates map[string]bool) []string {
	to, far := g.delegateAddresses(delegates)
	if g.Writes() {
		to = append(to, far...)
	}
	if g.passesOn() {
		self := g.registry.self
		zone := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name && m.Zone == self.Zone })
		to = lo.Uniq(slices.Concat(addresses(zone), to))
	}
	return to
}

// limitReports returns the reports on limits for the digest.
func (g *Gossip) limitReports() []limit.Report {
	if g.limits == nil {
		return nil
	}
	return g.limits.Reports(g.passesOn(), clock.Now())
}

// receiveLimits processes a peer's reports on limits.
func (g *Gossip) receiveLimits(m message) {
	if g.limits != nil && len(m.Limits) > 0 {
		g.limits.Receive(m.Node, m.Limits, clock.Now())
	}
}
