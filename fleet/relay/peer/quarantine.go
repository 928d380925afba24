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

// A node tells those who draw for others, of all zones, which of its calls ended with an
// endpoint: they judge, since what ran beside a request elsewhere may clear it. In a fleet
// where all write all judge. Whoever finds that a request is to be held back tells its zone
// at once, and those who judge elsewhere; it is told again with the digests.

// Quarantine is what a node knows of requests under which endpoints end.
type Quarantine interface {
	Urgent() <-chan struct{}
	News(now time.Time) (judges, all quarantine.Words)
	Digest(now time.Time) quarantine.Words
	Heard(from string, w quarantine.Words, now time.Time)
}

// WithQuarantine has the node tell and hear of requests that are held back, before Run.
func (t *Gossip) WithQuarantine(q Quarantine) *Gossip {
	t.quarantine = q
	return t
}

// urgentQuarantine tells that words on requests are not to wait for the next beat.
func (t *Gossip) urgentQuarantine() <-chan struct{} {
	if t.quarantine == nil {
		return nil
	}
	return t.quarantine.Urgent()
}

// tellQuarantine tells what can't wait for the digests.
func (t *Gossip) tellQuarantine(delegates map[string]bool) {
	if t.quarantine == nil {
		return
	}
	judges, all := t.quarantine.News(clock.Now())
	if judges.None() && all.None() {
		return // as mostly, at each beat
	}
	near, far := t.delegateAddresses(delegates)
	if !judges.None() {
		t.send(t.signed(message{Quarantine: &judges}), append(near, far...)...)
	}
	if !all.None() {
		self := t.registry.self
		zone := lo.Filter(t.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name && m.Zone == self.Zone })
		t.send(t.signed(message{Quarantine: &all}), lo.Uniq(slices.Concat(addresses(zone), near, far))...)
	}
}

// quarantineDigest is what is told of requests that are held back along with everything
// else; nil is nothing.
func (t *Gossip) quarantineDigest(now time.Time) *quarantine.Words {
	if t.quarantine == nil {
		return nil
	}
	if w := t.quarantine.Digest(now); !w.None() {
		return &w
	}
	return nil
}

// heardQuarantine takes in what another node tells.
func (t *Gossip) heardQuarantine(m message) {
	if t.quarantine != nil && m.Quarantine != nil {
		t.quarantine.Heard(m.Node, *m.Quarantine, clock.Now())
	}
}

// TurnFor is this node's place, from 0, in an order of those who judge that differs for each
// key: one of them does what is to be done once, and the next ones where it did not.
// A node that does not judge comes after all that do.
func (t *Gossip) TurnFor(key string) int {
	writers, _ := t.choice()
	names := lo.Keys(writers)
	rank := func(name string) uint64 { return xxhash.Sum64String(key + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	at := slices.Index(names, t.registry.self.Name)
	if at < 0 {
		return len(names)
	}
	return at
}
