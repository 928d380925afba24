package peer

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// A node that learns from an answer of a limit, or of its end, tells the delegates of its zone
// at once; a delegate that hears of it tells all nodes of its zone, and the delegates of
// others. In a fleet where all write each node tells all others. Both are told again with
// the digests.

// WithLimits has the node tell and hear of limits that endpoints name, before Run.
func (t *Gossip) WithLimits(b *limit.Book) *Gossip {
	t.limits = b
	return t
}

// urgentLimits tells that words on limits are not to wait for the next beat.
func (t *Gossip) urgentLimits() <-chan struct{} {
	if t.limits == nil {
		return nil
	}
	return t.limits.Urgent()
}

// tellLimits tells at once what can't wait for the digests.
func (t *Gossip) tellLimits(delegates map[string]bool) {
	words := t.limits.News(t.tellsOn(), clock.Now())
	if len(words) == 0 {
		return
	}
	t.send(t.signed(message{Limits: words}), t.audience(delegates)...)
}

// audience is whom a node tells at once what it has learned: the delegates of its zone; a
// delegate all nodes of its zone, and the delegates of others. Where all write, all others.
func (t *Gossip) audience(delegates map[string]bool) []string {
	to, far := t.delegateAddresses(delegates)
	if t.Writes() {
		to = append(to, far...)
	}
	if t.tellsOn() {
		self := t.registry.self
		zone := lo.Filter(t.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name && m.Zone == self.Zone })
		to = lo.Uniq(slices.Concat(addresses(zone), to))
	}
	return to
}

// limitWords is what is told of limits along with everything else.
func (t *Gossip) limitWords() []limit.Word {
	if t.limits == nil {
		return nil
	}
	return t.limits.Words(t.tellsOn(), clock.Now())
}

// heardLimits takes in what another node tells.
func (t *Gossip) heardLimits(m message) {
	if t.limits != nil && len(m.Limits) > 0 {
		t.limits.Heard(m.Node, m.Limits, clock.Now())
	}
}
