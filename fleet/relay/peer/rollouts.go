package peer

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// While a service moves to another version, each node sends the evidence it has of both
// versions to the delegates of its zone at every beat, and each delegate sends the evidence
// of its zone to the delegates of other zones. Evidence is cumulative since the order, so a
// lost datagram costs nothing. A target found bad is announced to all nodes at once, and
// again with every digest until the order has ended. Without an order nothing is sent.

// RolloutReport is a node's report on the open orders.
type RolloutReport struct {
	Evidence    []RolloutEvidence     `json:"seen,omitempty"`
	Bad         []rollout.AnnounceBad `json:"bad,omitempty"`  // targets that some node found bad
	WriteFailed bool                  `json:"out,omitempty"`  // the sender recently failed to write a status
	AgeUnknown  bool                  `json:"late,omitempty"` // the sender found a status whose age it does not know
}

// RolloutEvidence is the evidence on one order.
type RolloutEvidence struct {
	Zone     string           `json:"zone,omitempty"` // zone whose nodes observed it together; "" if the sender alone did
	Target   string           `json:"t"`
	Evidence rollout.Evidence `json:"e"`
	Old      int              `json:"old,omitempty"`     // calls in flight at old endpoints
	LastsMs  int64            `json:"lastsMs,omitempty"` // expected duration of the longest of the recent calls
	At       int64            `json:"at,omitempty"`      // revision number of the order's object that the sender knows
	Era      int64            `json:"era,omitempty"`     // era of that revision
	UsedMs   int64            `json:"usedMs,omitempty"`  // time used of the order's duration, by the sender's clock
	AtLeast  bool             `json:"least,omitempty"`   // UsedMs is a lower bound, since the sender found the status
}

// RolloutExchange provides a node's reports on rollouts and receives those of others. It must be
// safe for concurrent use.
type RolloutExchange interface {
	Own(now time.Time) []RolloutEvidence  // evidence for the delegates of the zone
	Zone(now time.Time) []RolloutEvidence // evidence for the delegates of other zones
	Bad() []rollout.AnnounceBad           // targets found bad
	WriteFailed(now time.Time) bool       // reports whether the node recently failed to write a status
	AgeUnknown() bool                     // reports whether the age of the status of an open order is unknown
	Receive(from Sender, r RolloutReport, now time.Time)
}

// Sender is one incarnation of a node that sends a report.
type Sender struct{ Name, Incarnation string }

// WithRollouts exchanges reports on rollouts.
func (g *Gossip) WithRollouts(exchange RolloutExchange) *Gossip {
	g.rollouts = exchange
	return g
}

// sendRollouts sends the evidence on open orders to the delegates.
func (g *Gossip) sendRollouts(delegates map[string]bool) {
	if g.rollouts == nil {
		return
	}
	self, now := g.registry.self, clock.Now()
	own := g.rollouts.Own(now)
	if len(own) == 0 {
		return
	}
	near, far := g.delegateAddresses(delegates)
	report := RolloutReport{Evidence: own, Bad: g.rollouts.Bad(), WriteFailed: g.rollouts.WriteFailed(now), AgeUnknown: g.rollouts.AgeUnknown()}
	g.send(g.withSender(message{Rollouts: &report}), near...)
	if delegates[self.Name] && len(far) > 0 {
		report.Evidence = g.rollouts.Zone(now)
		g.send(g.withSender(message{Rollouts: &report}), far...)
	}
}

// delegateAddresses returns the addresses of the other delegates of this node's zone, and of
// those of other zones. For a node of a zone without a delegate, near is the delegates of
// one other zone, so that its evidence counts once.
func (g *Gossip) delegateAddresses(delegates map[string]bool) (near, far []string) {
	self := g.registry.self
	for _, m := range g.registry.Members() {
		switch {
		case m.Name == self.Name || !delegates[m.Name]:
		case m.Zone == self.Zone:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) > 0 || delegates[self.Name] {
		return near, far
	}
	return g.fallbackDelegates(delegates), nil
}

// fallbackDelegates returns the addresses of the delegates of the first zone by name.
func (g *Gossip) fallbackDelegates(delegates map[string]bool) []string {
	chosen := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return delegates[m.Name] })
	zone := slices.Min(append(lo.Map(chosen, func(m Member, _ int) string { return m.Zone }), afterAllZones))
	in := lo.Filter(chosen, func(m Member, _ int) bool { return m.Zone == zone })
	return addresses(in)
}

// afterAllZones sorts after the name of any zone.
const afterAllZones = "\xff"

// AnnounceBad announces to all nodes at once that the target of an order was found bad.
func (g *Gossip) AnnounceBad(w rollout.AnnounceBad) {
	others := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Name != g.registry.self.Name })
	g.send(g.withSender(message{Rollouts: &RolloutReport{Bad: []rollout.AnnounceBad{w}}}), addresses(others)...)
}

// badTargets returns the report on bad targets for the digest; nil if there are none.
func (g *Gossip) badTargets() *RolloutReport {
	if g.rollouts == nil {
		return nil
	}
	bad := g.rollouts.Bad()
	if len(bad) == 0 {
		return nil
	}
	return &RolloutReport{Bad: bad}
}

// receiveRollouts processes a peer's report on rollouts.
func (g *Gossip) receiveRollouts(m message) {
	if g.rollouts != nil {
		g.mu.Lock()
		if p, ok := g.peers[m.Node]; ok && m.Number == 0 {
			p.writeFailed, p.ageUnknown = m.Rollouts.WriteFailed, m.Rollouts.AgeUnknown
			g.peers[m.Node] = p
		}
		g.mu.Unlock()
		g.rollouts.Receive(Sender{Name: m.Node, Incarnation: m.Incarnation}, *m.Rollouts, clock.Now())
	}
}

// FirstDelegate reports whether this node comes first, in the order that all nodes share,
// among the delegates that still send to this node and reach the store. A delegate that does
// not know the age of a status comes after those that observed its write, and so know its age.
func (g *Gossip) FirstDelegate() bool {
	g.chooseMu.Lock()
	chosen, order := g.chosen, g.delegates.order
	g.chooseMu.Unlock()
	fit := lo.Filter(order, func(m Member, _ int) bool { return chosen[m.Name] && g.mayWrite(m) })
	first, ok := lo.Find(fit, func(m Member) bool { return !g.isAgeUnknown(m) })
	if !ok && len(fit) > 0 {
		first, ok = fit[0], true
	}
	return ok && first.Name == g.registry.self.Name
}

// mayWrite reports whether a delegate still sends to this node and, by its own report, reaches
// the store.
func (g *Gossip) mayWrite(m Member) bool {
	if m.Name == g.registry.self.Name {
		return !g.storeLost() && !g.rollouts.WriteFailed(clock.Now())
	}
	s := g.stateOf(m.Name)
	return !s.storeLost && !s.writeFailed && !s.at.IsZero() && clock.Since(s.at) < firstSilenceTimeout
}

// isAgeUnknown reports whether a delegate does not know the age of the status of an order.
func (g *Gossip) isAgeUnknown(m Member) bool {
	if m.Name == g.registry.self.Name {
		return g.rollouts.AgeUnknown()
	}
	return g.stateOf(m.Name).ageUnknown
}

// firstSilenceTimeout is the time after which a silent delegate no longer counts as the
// first: delegates send to each other at every third beat, and a version found bad must be
// dropped within seconds.
const firstSilenceTimeout = 1500 * time.Millisecond
