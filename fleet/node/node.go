// Package node assembles one node of the fleet from its components and runs it.
package node

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/samber/do/v2"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/entry"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/operator"
	"github.com/lynxshed/lynxshed/fleet/orders"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/settings"
	"github.com/lynxshed/lynxshed/fleet/telemetry"
)

const (
	maxEvents   = 20_000
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// Options configure a node. Network, Clock, Gate and Log are optional.
type Options struct {
	Settings       settings.Settings
	FleetKey       string
	OperatorHashes []string
	Network        Network         // plain TCP when nil
	Clock          clockwork.Clock // the real clock when nil
	// Gate is called before each periodic step. A demo pauses a node by blocking in it.
	Gate func()
	Log  log.Interface
}

func (o Options) withDefaults() Options {
	if o.Network == nil {
		o.Network = TCP{}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Gate == nil {
		o.Gate = func() {}
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return o
}

// Node is one node of the fleet; New creates it.
type Node struct {
	options   Options
	self      membership.Member
	clock     clockwork.Clock
	log       log.Interface
	telemetry *telemetry.Telemetry
	platform  *platform.Monitored
	caller    *peer.Caller
	backend   *backend.Client
	events    *event.Log
	inForce   *config.InForce
	follower  *config.Follower
	dispatch  *dispatch.Dispatcher
	keeper    *keeper.Keeper
	entry     *entry.Entry
	giver     *orders.Giver
	handler   http.Handler
	ingress   *ingress.Listener
	memory    *memory.Budget // for callers

	viewMu sync.Mutex
	view   membership.State

	loadsMu sync.Mutex
	loads   map[ident.Endpoint]peer.Load

	updates chan struct{} // signals a revision not yet announced to peers
	drain   chan struct{}
	drained sync.Once
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

// New assembles a node and opens its listener; Run serves on it.
func New(ctx context.Context, o Options) (*Node, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{
		options: o,
		clock:   o.Clock,
		log:     o.Log,
		cancel:  cancel,
		updates: make(chan struct{}, 1),
		drain:   make(chan struct{}),
		loads:   map[ident.Endpoint]peer.Load{},
	}
	name := ident.Node(o.Settings.Node)
	n.self = membership.Member{
		Node:        name,
		Zone:        ident.Zone(o.Settings.Zone),
		URL:         o.Settings.Advertise,
		Incarnation: ident.NewIncarnation(name, n.newSerial()),
		Phase:       membership.Live,
	}
	n.view = membership.New(n.self, membership.Options{SuspectAfter: o.Settings.Timing.Suspect()})
	n.events = event.New(name, maxEvents, o.Clock.Now)
	n.memory = memory.ForCalls(o.Settings.Limits.MemoryMB)
	if err := n.assemble(ctx); err != nil {
		cancel()
		return nil, err
	}
	listener, err := o.Network.Listen(o.Settings.Listen)
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "listen on %s", o.Settings.Listen)
	}
	n.ingress = ingress.NewListener(listener, n.handler, n.log).WithMemory(n.memory).WithMaxConns(ingress.MaxConns(o.Settings.Limits.MaxFiles))
	bounds := ingress.Bounds{HeaderBytes: o.Settings.Limits.HeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	n.ingress.SetBounds(bounds.WithDefaults(ingress.DefaultBounds))
	return n, nil
}

// assemble builds the components of the node with the injector.
func (n *Node) assemble(ctx context.Context) error {
	injector := do.New()
	do.ProvideValue(injector, n)
	do.ProvideValue(injector, ctx)
	Package(injector)
	var err error
	n.handler, err = do.Invoke[http.Handler](injector)
	return errors.Wrap(err, "assemble node")
}

func (n *Node) newSerial() string {
	return ulid.MustNew(ulid.Timestamp(n.clock.Now()), rand.Reader).String()
}

// View returns the node's view of the fleet.
func (n *Node) View() membership.State {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	return n.view
}

func (n *Node) handle(m membership.Message) []membership.Beat {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	next, beats := n.view.Handle(m)
	n.view = next
	return beats
}

// liveNodes returns how many nodes of a zone are reachable.
func (n *Node) liveNodes(z ident.Zone) int {
	return len(n.View().Reachable(z, n.clock.Now()))
}

// Revision returns the revision of the table in force on this node.
func (n *Node) Revision() int64 { return n.inForce.Revision() }

// Name returns the node's name.
func (n *Node) Name() ident.Node { return n.self.Node }

// Keeper returns the keeper, which runs the node's holder and witness.
func (n *Node) Keeper() *keeper.Keeper { return n.keeper }

func randomUint64() uint64 { return mathrand.Uint64() }

// configured applies a new revision and schedules its announcement to peers.
func (n *Node) configured(c *catalog.Catalog) {
	n.dispatch.Configure(c)
	n.events.Add(event.Event{Step: event.Configure, Decision: "in force", Reason: c.Describe()})
	select {
	case n.updates <- struct{}{}: // announce to peers without waiting for the next heartbeat
	default:
	}
}

var _ operator.Nodes = (*Node)(nil)
