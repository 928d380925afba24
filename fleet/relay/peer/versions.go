package peer

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// A node that lists a version of which others may not know yet announces it at once, before calls find it, and
// with its digests while several serve. It goes the way of the limits that endpoints name. So a node that lags
// knows that the version serves before it is asked about a stream that began there.

// AnnounceVersions announces the versions that this node lists.
func (g *Gossip) AnnounceVersions() {
	delegates, _ := g.currentChoice()
	g.announceVersions(g.listedVersions(), delegates)
}

func (g *Gossip) announceVersions(versions map[string][]string, delegates map[string]bool) {
	if len(versions) > 0 {
		g.send(g.withSender(message{Versions: versions}), g.audience(delegates)...)
	}
}

// listedVersions returns the versions for the digest.
func (g *Gossip) listedVersions() map[string][]string {
	if g.origins == nil {
		return nil
	}
	return g.origins.Listed(clock.Now())
}

// receiveVersions learns the versions that a peer lists. A delegate passes on what it did not know.
func (g *Gossip) receiveVersions(m message, now time.Time) {
	if g.origins == nil || len(m.Versions) == 0 {
		return
	}
	unknown := g.origins.Learn(m.Versions, now)
	if !g.passesOn() {
		return
	}
	delegates, _ := g.currentChoice()
	g.announceVersions(unknown, delegates)
}
