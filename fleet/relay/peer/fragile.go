package peer

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
)

// WithFragile exchanges with peers which services are fragile. It must be called before Run.
func (g *Gossip) WithFragile(t *fragile.Tracker) *Gossip {
	g.fragile = t
	return g
}

func (g *Gossip) fragileReports(now time.Time) []fragile.Report {
	if g.fragile == nil {
		return nil
	}
	return g.fragile.Reports(now)
}

func (g *Gossip) receiveFragile(m message, now time.Time) {
	if g.fragile != nil {
		g.fragile.Receive(m.Node, m.Fragile, now)
	}
}
