package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// A node reports to the delegates of all zones which of its calls ended with an endpoint.
// They are the judges, since calls on other nodes may clear a request. In a fleet where all
// nodes write, all are judges. A judge that quarantines a request announces it at once to its
// zone and to the judges elsewhere; it is sent again with the digests.

// Quarantine tracks requests under which endpoints end.
type Quarantine interface {
	Urgent() <-chan struct{}
	Updates(now time.Time) (judges, all quarantine.Report)
	Digest(now time.Time) quarantine.Report
	Receive(from string, r quarantine.Report, now time.Time)
}

// WithQuarantine exchanges reports on quarantined requests. It must be called before Run.
func (g *Gossip) WithQuarantine(q Quarantine) *Gossip {
	g.quarantine = q
	return g
}

// urgentQuarantine signals that reports on requests must not wait for the next beat.
func (g *Gossip) urgentQuarantine() <-chan struct{} {
	if g.quarantine == nil {
		return nil
	}
	return g.quarantine.Urgent()
}

// sendQuarantine sends what can't wait for the digests.
func (g *Gossip) sendQuarantine(delegates map[string]bool) {
	if g.quarantine == nil {
		return
	}
	judges, all := g.quarantine.Updates(clock.Now())
	if judges.None() && all.None() {
		return // the typical case at a beat
	}
	near, far := g.delegateAddresses(delegates)
	if !judges.None() {
		g.send(g.withSender(message{Quarantine: &judges}), append(near, far...)...)
	}
	if !all.None() {
		self := g.registry.self
		zone := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name && m.Zone == self.Zone })
		g.send(g.withSender(message{Quarantine: &all}), lo.Uniq(slices.Concat(addresses(zone), near, far))...)
	}
}

// quarantineDigest returns the report on quarantined requests for the digest; nil if it is empty.
func (g *Gossip) quarantineDigest(now time.Time) *quarantine.Report {
	if g.quarantine == nil {
		return nil
	}
	if r := g.quarantine.Digest(now); !r.None() {
		return &r
	}
	return nil
}

// receiveQuarantine processes a peer's reports on requests.
func (g *Gossip) receiveQuarantine(m message) {
	if g.quarantine != nil && m.Quarantine != nil {
		g.quarantine.Receive(m.Node, *m.Quarantine, clock.Now())
	}
}

// SlotFor returns this node's position, from 0, in an order of the judges that differs for
// each key: the first one does what must be done once, and the next ones if it did not.
// A node that is not a judge comes after all judges.
func (g *Gossip) SlotFor(key string) int {
	writers, _ := g.currentChoice()
	names := lo.Keys(writers)
	rank := func(name string) uint64 { return xxhash.Sum64String(key + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	at := slices.Index(names, g.registry.self.Name)
	if at < 0 {
		return len(names)
	}
	return at
}
