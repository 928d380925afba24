package node

import (
	"context"
	mathrand "math/rand/v2"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/do/v2"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/entry"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/operator"
	"github.com/lynxshed/lynxshed/fleet/orders"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/telemetry"
	"github.com/lynxshed/lynxshed/fleet/version"
)

// Package provides the components of a node; each gets its dependencies from the injector.
var Package = do.Package(
	do.Lazy(provideTelemetry),
	do.Lazy(provideHTTPClient),
	do.Lazy(provideCaller),
	do.Lazy(provideBackend),
	do.Lazy(providePlatform),
	do.Lazy(provideDispatch),
	do.Lazy(provideInForce),
	do.Lazy(provideLoader),
	do.Lazy(provideKeeper),
	do.Lazy(provideEntry),
	do.Lazy(provideDesk),
	do.Lazy(provideEditor),
	do.Lazy(provideGiver),
	do.Lazy(provideHandler),
)

func provideTelemetry(i do.Injector) (*telemetry.Telemetry, error) {
	n := do.MustInvoke[*Node](i)
	s := n.options.Settings
	t, err := telemetry.New(do.MustInvoke[context.Context](i), telemetry.Options{
		Node: s.Node, Zone: s.Zone, OTLPEndpoint: s.Trace.OTLPEndpoint, TraceFile: s.Trace.File,
	})
	n.telemetry = t
	return t, err
}

func provideHTTPClient(i do.Injector) (*http.Client, error) {
	return newHTTPClient(do.MustInvoke[*Node](i).options.Network), nil
}

func provideCaller(i do.Injector) (*peer.Caller, error) {
	n := do.MustInvoke[*Node](i)
	caller := peer.NewCaller(do.MustInvoke[*http.Client](i), n.options.FleetKey, do.MustInvoke[*telemetry.Telemetry](i).Tracer)
	n.caller = caller.WithMemory(memory.ForPeers(n.options.Settings.Limits.MemoryMB))
	return n.caller, nil
}

func provideBackend(i do.Injector) (*backend.Client, error) {
	n := do.MustInvoke[*Node](i)
	n.backend = backend.NewClient(do.MustInvoke[*http.Client](i), do.MustInvoke[*telemetry.Telemetry](i).Tracer)
	return n.backend, nil
}

func providePlatform(i do.Injector) (*platform.Monitored, error) {
	n := do.MustInvoke[*Node](i)
	s := n.options.Settings
	client := platform.NewClient(s.Platform, do.MustInvoke[*http.Client](i), do.MustInvoke[*telemetry.Telemetry](i).Tracer)
	n.platform = platform.NewMonitored(client.WithMemory(memory.ForPlatform(s.Limits.MemoryMB)), n.clock.Now)
	return n.platform, nil
}

func provideDispatch(i do.Injector) (*dispatch.Dispatcher, error) {
	n := do.MustInvoke[*Node](i)
	n.dispatch = dispatch.New(n.self.Zone, n.clock, n.events, randomUint64, n.liveNodes)
	return n.dispatch, nil
}

func provideInForce(i do.Injector) (*config.InForce, error) {
	n := do.MustInvoke[*Node](i)
	do.MustInvoke[*dispatch.Dispatcher](i)
	n.inForce = config.NewInForce(n.configured)
	return n.inForce, nil
}

func provideLoader(i do.Injector) (*config.Loader, error) {
	n := do.MustInvoke[*Node](i)
	inForce := do.MustInvoke[*config.InForce](i)
	loader := config.NewLoader(do.MustInvoke[*platform.Monitored](i), inForce.Shard)
	n.follower = config.NewFollower(n.platform, loader, inForce, peers{caller: do.MustInvoke[*peer.Caller](i)}, n.View, n.clock, mathrand.Shuffle)
	return loader, nil
}

func provideKeeper(i do.Injector) (*keeper.Keeper, error) {
	n := do.MustInvoke[*Node](i)
	n.keeper = keeper.New(keeper.Dependencies{
		Self:      n.self,
		Platform:  do.MustInvoke[*platform.Monitored](i),
		Peers:     peers{caller: do.MustInvoke[*peer.Caller](i)},
		Outcomes:  do.MustInvoke[*backend.Client](i),
		View:      n.View,
		Catalog:   do.MustInvoke[*config.InForce](i).Catalog,
		Events:    n.events,
		Clock:     n.clock,
		Log:       n.log,
		NewSerial: n.newSerial,
	}, keeper.Options{Slots: n.options.Settings.Slots, LedgerInterval: n.options.Settings.Timing.Ledger()})
	return n.keeper, nil
}

func provideEntry(i do.Injector) (*entry.Entry, error) {
	n := do.MustInvoke[*Node](i)
	t := do.MustInvoke[*telemetry.Telemetry](i)
	n.entry = entry.New(do.MustInvoke[context.Context](i), entry.Dependencies{
		Self:      n.self,
		Keeper:    do.MustInvoke[*keeper.Keeper](i),
		Caller:    do.MustInvoke[*peer.Caller](i),
		Backend:   do.MustInvoke[*backend.Client](i),
		Dispatch:  do.MustInvoke[*dispatch.Dispatcher](i),
		View:      n.View,
		Catalog:   do.MustInvoke[*config.InForce](i).Catalog,
		Events:    n.events,
		Clock:     n.clock,
		Memory:    n.memory,
		Log:       n.log,
		Tracer:    t.Tracer,
		Metrics:   t.Metrics,
		NewSerial: n.newSerial,
	}, entry.Options{MaxBody: int64(n.options.Settings.Limits.BodyBytes)})
	return n.entry, nil
}

func provideDesk(i do.Injector) (*operator.Desk, error) {
	n := do.MustInvoke[*Node](i)
	k := do.MustInvoke[*keeper.Keeper](i)
	return &operator.Desk{Nodes: n, Platform: n.platform, View: n.View, SlotOf: k.SlotOf, Clock: n.clock}, nil
}

func provideEditor(i do.Injector) (*config.Editor, error) {
	n := do.MustInvoke[*Node](i)
	guard := config.GuardFunc(do.MustInvoke[*keeper.Keeper](i).Prepare)
	return config.NewEditor(do.MustInvoke[*platform.Monitored](i), do.MustInvoke[*config.Loader](i), guard, n.clock.Now), nil
}

func provideHandler(i do.Injector) (http.Handler, error) {
	n := do.MustInvoke[*Node](i)
	t := do.MustInvoke[*telemetry.Telemetry](i)
	e := do.MustInvoke[*entry.Entry](i)
	do.MustInvoke[*orders.Giver](i)
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("lynxshed", version.Number))
	operators := operator.NewAPI(n.options.OperatorHashes, do.MustInvoke[*operator.Desk](i), n.inForce, do.MustInvoke[*config.Editor](i), n.accepted)
	operators.Register(api)
	e.Routes(mux)
	entry.Describe(api.OpenAPI())
	server := peer.NewServer(n.options.FleetKey, t.Tracer)
	n.servePeers(server)
	mux.Handle("/peer/", server)
	mux.Handle("GET /metrics", t.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { serveUnknown(mux, w, r) })
	if err := n.gauges(t.Metrics); err != nil {
		return nil, err
	}
	return operators.Middleware(mux), nil
}

// serveUnknown refuses a path that is not served, or not for the request's method.
func serveUnknown(mux *http.ServeMux, w http.ResponseWriter, r *http.Request) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		other := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := mux.Handler(other); pattern != "/" {
			w.Header().Add("Allow", method)
		}
	}
	if w.Header().Get("Allow") != "" {
		problem.New(problem.MethodNotAllowed, r.Method+" is not served at "+r.URL.Path).Write(w)
		return
	}
	problem.New(problem.NotFound, "there is nothing at "+r.URL.Path).Write(w)
}

// accepted puts a snapshot in force that this node accepted.
func (n *Node) accepted(s config.Snapshot) {
	if err := n.inForce.AdvanceTo(s); err != nil {
		n.log.WithError(err).Warn("apply accepted edit failed")
	}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.draining():
		problem.New(problem.Draining, "this node is stopping").Write(w)
	case n.inForce.Revision() == 0:
		problem.New(problem.NotConfigured, "no revision of the table has reached this node").Write(w)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// gauges registers the gauges of the node.
func (n *Node) gauges(m *telemetry.Metrics) error {
	gauges := []struct {
		name        string
		description string
		read        func() int64
	}{
		{"lynxshed.running", "requests running here", func() int64 { running, _ := n.entry.Active(); return int64(running) }},
		{"lynxshed.unreported", "ends of requests that no holder has taken yet", func() int64 { _, left := n.entry.Active(); return int64(left) }},
		{"lynxshed.revision", "revision of the table in force", n.inForce.Revision},
		{"lynxshed.records", "records that are open or not durable", func() int64 { return int64(len(n.keeper.Holding().Records())) }},
		{"lynxshed.witnessed", "records kept as a witness", func() int64 { return int64(n.keeper.Witness().Len()) }},
		{"lynxshed.connections", "open connections of callers", func() int64 { return int64(n.ingress.Open()) }},
		{"lynxshed.callers_held", "bytes held for callers", func() int64 { return n.memory.State().Held }},
		{"lynxshed.callers_waiting_bytes", "bytes of these held for callers that have not sent or read more", func() int64 { return n.memory.State().WaitingBytes }},
		{"lynxshed.callers_no_memory", "times that a caller did not fit", func() int64 { return n.memory.State().Rejected }},
		{"lynxshed.callers_evicted", "callers and kept answers that made room for others", func() int64 { return n.memory.State().Evicted }},
		{"lynxshed.stranded", "dead holders whose accounts can't be closed yet", func() int64 { return int64(len(n.keeper.Stranded())) }},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
}
