// Package relay implements a node of the fleet on a platform whose store keeps all durable state.
// A node relays calls as bytes between callers and endpoints under prepaid budgets, and stores
// nothing itself. An adapter translates the platform's protocols.
package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/evacuation"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/link"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
	"github.com/lynxshed/lynxshed/fleet/relay/overload"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
	"github.com/lynxshed/lynxshed/fleet/relay/retry"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
	"github.com/lynxshed/lynxshed/fleet/relay/tunnel"
	"github.com/lynxshed/lynxshed/fleet/telemetry"
	"github.com/lynxshed/lynxshed/fleet/version"
)

// Adapter connects a node to a platform.
type Adapter interface {
	Store() store.Store
	// Eras reports when the store was restored from a backup.
	Eras() *store.Eras
	Wire() call.Wire
	// PolicyAt names the object that holds the policy.
	PolicyAt() (kind, name string)
	Policy(store.Object) (policy.Policy, error)
	// EngineKind names the kind in which endpoints register.
	EngineKind() string
	Engine(o store.Object, now time.Time) (engine.Engine, error)
	// EvacuationKind names the kind in which operators request the evacuation of zones.
	EvacuationKind() string
	Evacuation(store.Object) (zone string)
	// RolloutKind names the kind in which operators order services to move to another version. The
	// fleet keeps the progress in the statuses of its objects.
	RolloutKind() string
	Rollout(o store.Object, now time.Time) (rollout.Rollout, error)
	RolloutStatus(rollout.Status) (json.RawMessage, error)
	// DropIdle closes idle connections to the store.
	DropIdle()
}

// Node is one relaying node.
type Node struct {
	settings Settings
	adapter  Adapter
	store    *store.Sourced          // the adapter's store with call counters; in a large fleet other nodes answer for it
	caches   map[string]*store.Cache // by kind, for peers that ask this node
	health   *store.Health
	eras     *store.Eras
	log      log.Interface

	policy             atomic.Pointer[policy.Policy]
	engines            atomic.Pointer[engine.Directory]
	evacuations        atomic.Pointer[evacuation.Zones] // nil: not known yet
	rollouts           atomic.Pointer[rollout.Set]      // nil: not known yet
	moves              atomic.Pointer[forward.Trials]   // of the services with an open order
	engineTable        *engineTable
	trials             *trials
	ordersRefresh      store.Relist
	evacuationsRefresh store.Relist
	enginesRefresh     store.Relist
	faults             *store.Faults // logs entries that can't be read
	bounds             *bound.Gate
	limits             *limit.Tracker  // nil: limits of endpoints are ignored
	notices            *notice.Tracker // nil: notices in answers of endpoints are ignored
	allowance          *account.Allowance
	syncer             *account.Syncer
	picker             *choice.Picker
	reachability       *reachability.Tracker
	tunnels            *tunnels       // nil: no connections through other nodes
	tunnelServer       *tunnel.Server // nil: none for other nodes
	transport          *forward.Transport
	suspicions         *suspicion.Tracker // nil: failures that other nodes report are ignored
	quarantine         *quarantineManager // nil: no request is quarantined
	origins            *origins           // nil: streams are resumed at any version
	places             distance.Places
	registry           *peer.Registry
	gossip             *peer.Gossip
	gate               *overload.Gate
	intake             *overload.Intake
	meter              *link.Meter
	memory             *memory.Budget           // of calls in progress
	dropIdle           func(address string) int // closes idle connections to an endpoint
	handler            *forward.Handler
	ingress            *ingress.Listener
	telemetry          *telemetry.Telemetry
	metrics            *Metrics
	leaving            atomic.Bool
	started            time.Time
	confirmation       confirmation
	stalls             *clock.StallDetector
	dropAllIdle        func() int // closes idle connections to all endpoints
}

// Bounds of the process and of its HTTP servers for the balancer and for peers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute // nodes close their idle connections after 20 s
)

func fraction(of float64, whole time.Duration) time.Duration {
	return time.Duration(of * float64(whole))
}

// New builds a node.
func New(s Settings, a Adapter, l log.Interface) (*Node, error) {
	if err := memory.LimitProcess(s.MemoryMB); err != nil {
		l.WithError(err).Warn("the collector's limit leaves no room for the program")
	}
	n := &Node{settings: s, adapter: a, places: s.Places(), stalls: clock.NewStallDetector(), started: clock.Now(), log: l}
	n.health = store.NewHealth().WithStalls(n.stalls.StalledSince)
	if err := n.initTelemetry(); err != nil {
		return nil, err
	}
	n.faults = store.NewFaults(l, n.metrics)
	n.eras = a.Eras()
	n.eras.OnRise(n.storeRestored)
	n.store = store.NewSourced(store.Probed(store.Counted(a.Store(), n.metrics)), n.sources).WithEras(n.eras)
	incarnation := uuid.NewString()
	self := peer.Member{Name: s.Node, Incarnation: incarnation, Zone: s.Zone, Address: s.Peer, LinkMbps: s.LinkMbps, Build: version.Build(), Tunnels: s.Enabled(tunnelsMechanism), Origins: s.Enabled(originsMechanism), KeepsOrigins: s.Enabled(originsMechanism)}
	n.allowance = account.NewAllowance(s.Node, incarnation, s.Budget.Tuning())
	n.bounds = bound.NewGate(s.Node).WithPartitioned(n.storeLost, maxConfirmationAge(s))
	n.picker = choice.NewPicker(s.Zone, s.Choice()).WithColdGate(n.bounds, cold.Rule{Overrun: s.Cold.Overrun, Tolerance: s.Cold.Tolerance}).WithPlaces(n.places)
	n.reachability = reachability.NewTracker(reachability.DefaultRule(), n.reachabilityChanged)
	n.engineTable, n.trials = newEngineTable(n), newTrials(n, incarnation)
	n.registry = peer.NewRegistry(n.store, self, n.health, s.History(), l).WithFaults(n.faults)
	if s.Bootstrap && s.Enabled(delegatesMechanism) {
		n.registry.Starting(bootstrapTime)
	}
	gossip, err := peer.Listen(s.Peer, n.registry, n.picker, n.allowance, n.storeLost)
	if err != nil {
		return nil, err
	}
	n.enableFailureReports(gossip)
	n.enableQuarantine(gossip)
	n.enableLimits(gossip)
	n.enableNotices(gossip)
	n.enableFragile(gossip)
	n.enableOrigins(gossip)
	n.gossip = gossip.WithRollouts(n.trials).WithPlaces(n.places).WithEras(n.eras).WithLink(func() bool { return n.intake.Share() > busyLink })
	n.trials.fleet = gossip
	n.registry.OnChange(func(members []peer.Member) {
		n.bounds.Nodes(lo.Map(members, func(m peer.Member, _ int) string { return m.Name }), clock.Now())
	})
	n.registry.OnChange(newBuilds(n).logChange)
	n.syncer = account.NewSyncer(n.store, n.allowance, gossip.WriterCount, gossip.Writes, n.health, l).WithFaults(n.faults).WithWriters(gossip).WithSlots(gossip.Slot, gossip.LedgerWrites()).WithEras(n.eras)
	n.gate = overload.NewGate(overload.DefaultRule())
	n.intake = overload.NewIntake(overload.DefaultIntakeRule())
	n.meter = link.NewMeter(s.LinkMbps)
	n.memory = memory.ForCalls(s.MemoryMB)
	n.enableTunnels(tunnel.Identity{Name: s.Node, Incarnation: incarnation})
	n.dropIdle, n.dropAllIdle = n.transport.DropIdle, n.transport.DropAllIdle
	n.handler = forward.New(forward.Options{
		Wire: a.Wire(), Policy: &n.policy, PolicySource: n.policySource(), Engines: &n.engines, Trials: &n.moves, Samples: n.trials, Allowance: n.allowance, Picker: n.picker,
		Retries:       retry.NewBudget(retry.Rule{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window()}, n.registry.Sharers),
		RetrySchedule: limit.NewRetrySchedule(),
		Quarantine:    n.quarantineTracker(), Origins: n.streamOrigins(), Gate: n.gate, Intake: n.intake, Memory: n.memory, MaxAnswer: int64(s.AnswerMB * (1 << 20)), Nodes: n.registry.Count, Places: n.places, Transport: n.transport, Reachability: n.reachability, TokenSource: tokenSource{n}, Backlog: n.stalls.Backlog, Stalled: n.stalls.StalledSince, Log: l, Metrics: n.metrics, Tracer: n.tracer(),
	})
	if n.ingress, err = ingress.Listen(s.Listen, n.handler, l); err != nil {
		return nil, errors.CombineErrors(err, gossip.Close())
	}
	n.ingress.WithMeter(n.meter).WithMemory(n.memory).WithMaxConns(ingress.MaxConns(s.MaxFiles))
	if s.Enabled(redirectMechanism) {
		n.ingress.WithAdmission(func() bool { return n.registry.Count() <= 1 || n.gate.TakeConnection(rand.Uint64()) })
	}
	return n, nil
}

// initTelemetry sets up metrics, and traces if the settings name a destination for spans.
func (n *Node) initTelemetry() (err error) {
	n.telemetry, err = telemetry.New(context.Background(), telemetry.Options{
		Node: n.settings.Node, Zone: n.settings.Zone, OTLPEndpoint: n.settings.Trace.OTLPEndpoint, TraceFile: n.settings.Trace.File,
	})
	if err != nil {
		return err
	}
	n.metrics, err = NewMetrics(n.telemetry.Meter)
	return err
}

// tracer returns the tracer of calls; nil if spans have no destination.
func (n *Node) tracer() trace.Tracer {
	if !n.telemetry.Traces {
		return nil
	}
	return n.telemetry.Tracer
}

// Run serves until ctx ends or the planned stop that Leave begins is over.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readyListener, err := net.Listen("tcp4", n.settings.Ready.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for the balancer at %s", n.settings.Ready.Address)
	}
	peerListener, err := dial.ListenConfig().Listen(ctx, "tcp4", n.settings.Peer)
	if err != nil {
		_ = readyListener.Close()
		return errors.Wrapf(err, "listen for peers at %s", n.settings.Peer)
	}
	n.follow(ctx)
	peerServer := newServer(n.peerHandler())
	readyServer := newServer(n.readyHandler())
	failed := make(chan error, 3)
	go func() { failed <- n.ingress.Serve() }()
	go func() { failed <- peerServer.Serve(peerListener) }()
	go func() { failed <- readyServer.Serve(readyListener) }()
	n.log.WithField("zone", n.settings.Zone).WithField("listen", n.settings.Listen).WithField("build", version.Build()).Info("started")
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	_ = n.ingress.Close()
	_ = readyServer.Close()
	_ = peerServer.Close()
	closing, done := context.WithTimeout(context.Background(), n.returnTime()/3)
	defer done()
	return errors.CombineErrors(err, n.telemetry.Close(closing))
}

// newServer returns a server for the balancer, operators or other nodes.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: dial.MaxHeadBytes}
}

// readyHandler serves the readiness check of the balancer, the metrics and the requests of
// operators.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.settings.Ready.Path, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", n.telemetry.Handler())
	n.serveOperators(mux)
	return mux
}

// Ready reports whether the node accepts new callers.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.confirmation.done() && n.intake.Open() && n.policy.Load() != nil && n.engines.Load() != nil && n.evacuations.Load() != nil && n.rollouts.Load() != nil
}

// Bounds of a planned stop.
const (
	drainPoll   = 50 * time.Millisecond
	returnShare = 0.14 // of the stop, for returning budgets and ending: less than the last sixth, in which calls in progress may be interrupted
)

// Leave performs a planned stop: new callers go elsewhere, open calls end, and unused budgets are
// returned. It returns when the node may stop.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	started := clock.Now()
	n.log.WithField("open", n.handler.Open()).Info("planned stop begins")
	n.handler.Leave()
	n.bounds.Leave()
	n.ingress.AnnounceClose()
	sleepUntil(started.Add(n.settings.Notice()))
	n.log.WithField("closed", n.ingress.DisableKeepAlives()).Info("planned stop: idle connections closed")
	stops := started.Add(n.settings.Drain() - n.returnTime())
	n.handler.RefuseNew(stops)
	n.returnBudgets(ctx)
	// A call is over when its answer was sent. Its handler may return long before, as its output
	// waits for its slot on a full link.
	for clock.Now().Before(stops) && (n.ingress.Busy() > 0 || n.openTunnels() > 0) {
		time.Sleep(drainPoll)
	}
	n.returnBudgets(ctx)
	n.log.WithField("open", n.handler.Open()).WithField("ms", clock.Since(started).Milliseconds()).Info("planned stop ends")
}

func (n *Node) returnTime() time.Duration { return fraction(returnShare, n.settings.Drain()) }

func sleepUntil(t time.Time) { time.Sleep(clock.Until(t)) }

// returnBudgets returns the unused budgets and deregisters the node.
func (n *Node) returnBudgets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.returnTime()/3)
	defer cancel()
	if err := errors.CombineErrors(n.syncer.Leave(ctx), n.registry.Leave(ctx)); err != nil {
		n.log.WithError(err).Warn("planned stop: budgets or the registration not returned")
	}
}

// tokenSource acquires tokens for a request that the local allowance cannot cover.
type tokenSource struct{ *Node }

// Acquire implements forward.TokenSource. It draws from the store if this node draws and the store
// answers, and otherwise asks peers.
func (s tokenSource) Acquire(ctx context.Context, tenant string, tokens int64) bool {
	s.syncer.Draw(ctx, tenant)
	return s.allowance.Missing(tenant, tokens) == 0 || s.gossip.Acquire(ctx, tenant, tokens)
}
