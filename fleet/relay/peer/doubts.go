package peer

import (
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/doubt"
)

// A node tells the delegates of its zone at once that a call of its own failed at an
// endpoint, and at the next beat of further ones. Where a delegate finds that the endpoint is to be avoided, it tells all
// nodes of its zone, and the delegates of others, who saw the failures. Both are told
// again with the digests, so that a datagram that is lost costs a second at most. In a
// fleet where all write each node tells all others.

// WithDoubts has the node tell and hear of endpoints that fail, before Run.
func (t *Gossip) WithDoubts(b *doubt.Book) *Gossip {
	t.doubts = b
	t.registry.OnChange(func(members []Member) {
		b.Nodes(lo.SliceToMap(members, func(m Member) (string, string) { return m.Name, m.Zone }))
	})
	return t
}

// urgentDoubts tells that words on endpoints are not to wait for the next beat.
func (t *Gossip) urgentDoubts() <-chan struct{} {
	if t.doubts == nil {
		return nil
	}
	return t.doubts.Urgent()
}

// tellDoubts tells at once what can't wait for the digests.
func (t *Gossip) tellDoubts(delegates map[string]bool) {
	if t.doubts == nil {
		return
	}
	now := clock.Now()
	audience := t.doubts.News(t.tellsOn(), now)
	if audience == doubt.Nobody {
		return
	}
	words := t.doubtWords(now)
	if len(words) == 0 {
		return
	}
	near, far := t.delegateAddresses(delegates)
	if audience == doubt.All {
		self := t.registry.self
		near = addresses(lo.Filter(t.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name && m.Zone == self.Zone }))
	}
	to := near
	if audience == doubt.All || t.Writes() && !t.tellsOn() {
		to = append(near, far...)
	}
	t.send(t.signed(message{Doubts: words}), to...)
}

// doubtWords is what this node tells of endpoints that fail.
func (t *Gossip) doubtWords(now time.Time) []doubt.Word {
	if t.doubts == nil {
		return nil
	}
	return t.doubts.Words(t.tellsOn(), now)
}

// heardDoubts takes in what another node tells of endpoints that fail.
func (t *Gossip) heardDoubts(m message) {
	if t.doubts != nil && len(m.Doubts) > 0 {
		t.doubts.Heard(m.Node, m.Doubts, clock.Now())
	}
}
