package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
	"github.com/lynxshed/lynxshed/fleet/relay/tunnel"
)

// tunnels opens connections through other nodes while this node's own paths to a service are cut,
// and returns to its own paths once one of them works again.
type tunnels struct {
	*Node
	dialer *tunnel.Dialer

	mu       sync.Mutex
	verified map[engine.Incarnation]bool // reached through another node since the partition began
}

func newTunnels(n *Node, self tunnel.Identity) *tunnels {
	t := &tunnels{Node: n, verified: map[engine.Incarnation]bool{}}
	t.dialer = tunnel.NewDialer(self, func(e engine.Engine) []tunnel.Node {
		return lo.Map(n.gossip.TunnelNodes(e), func(m peer.Member, _ int) tunnel.Node { return tunnel.Node{Name: m.Name, Address: m.Address} })
	})
	return t
}

// enableTunnels creates the transport, with connections through other nodes unless they are disabled.
func (n *Node) enableTunnels(self tunnel.Identity) {
	n.transport = forward.NewTransport()
	if n.settings.Enabled(tunnelsMechanism) {
		n.tunnels = newTunnels(n, self)
		n.transport.WithTunnels(n.tunnels)
		n.tunnelServer = tunnel.NewServer(tunnelHost{n}, n.memory, n.log, n.tracer())
		n.gossip.WithNoTunnels(n.noTunnels)
	}
	n.enableIdentities()
	n.transport.WithMeter(n.meter)
}

// Needed implements forward.Tunnels.
func (t *tunnels) Needed(service string) bool { return t.reachability.Partitioned(service) }

// Keeps implements forward.Tunnels.
func (t *tunnels) Keeps(service, node string) bool {
	return t.Needed(service) && t.gossip.OpensTunnels(node, service)
}

// Dial implements forward.Tunnels.
func (t *tunnels) Dial(ctx context.Context, e engine.Engine) (net.Conn, string, error) {
	c, via, err := t.dialer.Dial(ctx, e)
	if err == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.verified[e.Incarnation()] = true
	}
	return c, via, err
}

// Rest implements forward.Tunnels.
func (t *tunnels) Rest(node string, e engine.Engine, r call.Rest) { t.gossip.SendRest(node, e, r.For) }

// needsVerification reports whether an endpoint was not reached through another node yet.
func (t *tunnels) needsVerification(e engine.Engine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.verified[e.Incarnation()]
}

// changed closes the tunnels that the end of a partition makes useless, and returns how many.
func (t *tunnels) changed(c reachability.Change) (closed int) {
	t.mu.Lock()
	clear(t.verified)
	t.mu.Unlock()
	if c.Partitioned {
		return 0
	}
	return t.transport.DropIdleTunnels()
}

// probeInterval is the time between two probes of a service's paths during a partition.
const probeInterval = 500 * time.Millisecond

// probe probes the paths of partitioned services until ctx ends.
func (t *tunnels) probe(ctx context.Context) {
	every(ctx, probeInterval, func() {
		if closed := t.transport.DropIdleTunnels(); closed > 0 {
			t.log.WithField("connections", closed).Info("idle tunnels closed: the nodes that they lead through open no more")
		}
		var probes sync.WaitGroup
		for _, service := range t.reachability.Services() {
			if e, ok := t.endpointToProbe(service); ok {
				probes.Go(func() { t.probeOne(ctx, e) })
			}
		}
		probes.Wait()
	})
}

// endpointToProbe returns one of a service's endpoints that failed.
func (t *tunnels) endpointToProbe(service string) (engine.Engine, bool) {
	engines := t.engines.Load()
	failed := t.reachability.FailedEndpoints(service)
	if engines == nil || len(failed) == 0 {
		return engine.Engine{}, false
	}
	return engines.Get(lo.Sample(failed))
}

// probeOne probes the direct path to an endpoint. If it still fails, another node tries to reach the
// endpoint, which shows whose fault that is.
func (t *tunnels) probeOne(ctx context.Context, e engine.Engine) {
	began := clock.Now()
	if err := t.transport.Probe(ctx, e.Address, t.healthPath(e.Service)); err == nil {
		t.reachability.Answered(e, began, clock.Now())
		return
	}
	t.dropSilent(e.Service)
	if !t.needsVerification(e) {
		return
	}
	c, _, err := t.Dial(ctx, e)
	if err == nil {
		_ = c.Close()
		return
	}
	if errors.Is(err, tunnel.ErrUnreachable) {
		t.reachability.FailedElsewhere(e, clock.Now())
	}
}

// dropSilent closes the idle direct connections to a service's endpoints if none has brought an
// answer since the partition began: calls that get one would wait in vain. Those that go on working
// are kept.
func (t *tunnels) dropSilent(service string) {
	engines := t.engines.Load()
	if engines == nil || !t.reachability.Evidence(service, clock.Now()).Silent() {
		return
	}
	if closed := t.transport.DropIdleDirect(engines.Of(service)); closed > 0 {
		t.log.WithField("service", service).WithField("connections", closed).Info("idle connections closed: none has brought an answer since endpoints were not reached")
	}
}

func (t *tunnels) healthPath(service string) string {
	p := t.policy.Load()
	if p == nil {
		return ""
	}
	s, _ := p.Service(service)
	return s.HealthPath
}

// tunnelHost decides which tunnels this node opens for others.
type tunnelHost struct{ *Node }

var _ tunnel.Host = tunnelHost{}

// IsNode implements tunnel.Host.
func (h tunnelHost) IsNode(i tunnel.Identity) bool { return h.gossip.IsMember(i.Name, i.Incarnation) }

// Endpoint implements tunnel.Host.
func (h tunnelHost) Endpoint(id string) (engine.Engine, bool) {
	engines := h.engines.Load()
	if engines == nil {
		return engine.Engine{}, false
	}
	return engines.Get(id)
}

// Declines implements tunnel.Host.
func (h tunnelHost) Declines(service string) string {
	switch {
	case h.leaving.Load():
		return "planned stop"
	case !h.mayOpenTunnels(service):
		return "this node does not reach the service either"
	case h.intake.Share() > busyLink:
		return "busy link"
	}
	return ""
}

// Vouches implements tunnel.Host.
func (h tunnelHost) Vouches(service string) bool {
	return !h.reachability.Partitioned(service) && h.answeredLately(service)
}

// ownAnswerAge is how old the last answer of a service may be for this node to count on its path.
const ownAnswerAge = time.Second

// answeredLately reports whether a service has just answered over a connection of this node.
func (n *Node) answeredLately(service string) bool { return n.answeredWithin(service, ownAnswerAge) }

// answeredWithin reports whether a service has answered over a connection of this node within a time.
func (n *Node) answeredWithin(service string, d time.Duration) bool {
	last := n.reachability.Evidence(service, clock.Now()).Answered
	return last >= 0 && last < d
}

// mayOpenTunnels reports whether this node reaches a service. One that suspects a partition may: some
// of the endpoints may be down, while the others answer.
func (n *Node) mayOpenTunnels(service string) bool {
	return !n.reachability.Partitioned(service) || n.answeredLately(service)
}

// Meter implements tunnel.Host.
func (h tunnelHost) Meter(c net.Conn) net.Conn { return h.meter.Conn(c) }

// noTunnels returns the services to which this node opens no tunnels, for the other nodes.
func (n *Node) noTunnels() []string {
	if n.leaving.Load() {
		return []string{peer.AllServices}
	}
	return lo.Reject(n.reachability.Services(), func(service string, _ int) bool { return n.mayOpenTunnels(service) })
}

// openTunnels returns the number of tunnels that this node holds for others.
func (n *Node) openTunnels() int64 {
	if n.tunnelServer == nil {
		return 0
	}
	return n.tunnelServer.Open()
}

// peerHandler serves the other nodes: lists and watches from this node's caches, and tunnels.
func (n *Node) peerHandler() http.Handler {
	caches := peer.CacheHandler(n.caches)
	if n.tunnelServer == nil {
		return caches
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			n.tunnelServer.ServeHTTP(w, r)
			return
		}
		caches.ServeHTTP(w, r)
	})
}
