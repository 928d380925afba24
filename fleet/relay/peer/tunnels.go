package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// AllServices, as a service in a message, stands for all of them.
const AllServices = "*"

// noTunnelsAge is how long a peer's report counts that it opens no tunnels to a service. After that
// it may be asked again: its reports may be lost.
const noTunnelsAge = 2 * time.Second

// WithNoTunnels sets the function that returns the services to which this node opens no tunnels now.
// It must be called before Run.
func (g *Gossip) WithNoTunnels(services func() []string) *Gossip {
	g.noTunnels = services
	return g
}

func (g *Gossip) servicesWithoutTunnels() []string {
	if g.noTunnels == nil {
		return nil
	}
	return g.noTunnels()
}

// IsMember reports whether a node of the fleet has this name and incarnation.
func (g *Gossip) IsMember(name, incarnation string) bool {
	m, listed := find(g.registry.Members(), name)
	return listed && m.Incarnation == incarnation
}

// OpensTunnels reports whether a node may still be asked for tunnels to a service.
func (g *Gossip) OpensTunnels(name, service string) bool {
	m, listed := find(g.registry.Members(), name)
	return listed && m.Tunnels && !g.declinesTunnels(m, service, clock.Now())
}

// TunnelNodes lists the nodes that may open a tunnel to an endpoint, in the order in which they are
// to be asked: nodes of this node's zone and of others in turn, since all of a zone may have lost
// the same paths, each at random, so that the load is spread. Bytes leave neither the node's own
// region nor that of the endpoint.
func (g *Gossip) TunnelNodes(e engine.Engine) []Member {
	now := clock.Now()
	self := g.registry.self
	candidates := lo.Filter(g.registry.Members(), func(m Member, _ int) bool {
		return m.Tunnels && m.Name != self.Name && g.mayCarry(m, e) && !g.declinesTunnels(m, e.Service, now)
	})
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	near, far := lo.FilterReject(candidates, func(m Member, _ int) bool { return m.Zone == self.Zone })
	slices.SortStableFunc(far, func(a, b Member) int { return int(g.places.Class(a.Zone)) - int(g.places.Class(b.Zone)) })
	return lo.Interleave(near, far)
}

// mayCarry reports whether bytes to an endpoint may pass through a node.
func (g *Gossip) mayCarry(m Member, e engine.Engine) bool {
	return g.places.Class(m.Zone) != distance.OtherRegion || g.places.Region(m.Zone) == g.places.Region(e.Zone)
}

func (g *Gossip) declinesTunnels(m Member, service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[m.Name]
	if !ok || p.incarnation != m.Incarnation || now.Sub(p.at) > noTunnelsAge {
		return false
	}
	return slices.Contains(p.noTunnels, service) || slices.Contains(p.noTunnels, AllServices)
}
