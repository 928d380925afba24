package peer

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// Signals of endpoints in their answers are sent as limits are: at once, and again with the
// digests.

// WithNotices exchanges signals of endpoints in answers. It must be called before Run.
func (g *Gossip) WithNotices(b *notice.Tracker) *Gossip {
	g.notices = b
	return g
}

// urgentNotices signals that reports on signals must not wait for the next beat.
func (g *Gossip) urgentNotices() <-chan struct{} {
	if g.notices == nil {
		return nil
	}
	return g.notices.Urgent()
}

// sendNotices sends what can't wait for the digests.
func (g *Gossip) sendNotices(delegates map[string]bool) {
	if reports := g.notices.Updates(g.passesOn(), clock.Now()); len(reports) > 0 {
		g.send(g.withSender(message{Notices: reports}), g.audience(delegates)...)
	}
}

// noticeReports returns the reports on signals for the digest.
func (g *Gossip) noticeReports() []notice.Report {
	if g.notices == nil {
		return nil
	}
	return g.notices.Reports(g.passesOn(), clock.Now())
}

// restCopies is how often a rest is sent to its node: a datagram may be lost.
const restCopies = 2

// SendRest tells a node that an endpoint asked for rest over a tunnel through it.
func (g *Gossip) SendRest(node string, e engine.Engine, length time.Duration) {
	m, listed := find(g.registry.Members(), node)
	if !listed {
		return
	}
	rests := []notice.Report{{Endpoint: e.ID, Born: e.Born, RestMs: length.Milliseconds()}}
	for range restCopies {
		g.send(g.withSender(message{Rests: rests}), m.Address)
	}
}

func (g *Gossip) receiveRests(m message) {
	if g.notices != nil {
		g.notices.ReceiveOwn(m.Rests, clock.Now())
	}
}

// receiveNotices processes a peer's reports on signals.
func (g *Gossip) receiveNotices(m message) {
	if g.notices != nil && len(m.Notices) > 0 {
		g.notices.Receive(m.Node, m.Notices, clock.Now())
	}
}
