package node

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	mathrand "math/rand/v2"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
)

const (
	pumpEvery    = 50 * time.Millisecond
	tickEvery    = 200 * time.Millisecond
	recoverEvery = 500 * time.Millisecond
	closeTimeout = 5 * time.Second
	// leaveGrace is how long a stopping node reports unready and still accepts requests,
	// so that the balancer has probed it and its peers have received the change.
	leaveGrace = 300 * time.Millisecond
	// maxLoads is the maximum number of load reports in a heartbeat.
	maxLoads = 14
	// watchers is how many nodes of an endpoint's zone poll its load.
	watchers = 2
)

// Run serves until the context ends, which stops the node at once, or until a
// planned stop is complete.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- n.ingress.Serve() }()
	timing := n.options.Settings.Timing
	n.every(ctx, timing.Beat(), n.beat)
	n.every(ctx, timing.List(), n.readList)
	n.every(ctx, timing.Poll(), n.pollLoads)
	n.every(ctx, timing.Flush(), n.flush)
	n.every(ctx, recoverEvery, n.keeper.Recover)
	n.every(ctx, orderEvery, n.giveOrders)
	n.every(ctx, tickEvery, n.entry.Tick)
	n.every(ctx, pumpEvery, func(context.Context) { n.dispatch.Pump() })
	n.loop(ctx, n.announceUpdates)
	n.loop(ctx, n.follower.WatchOnce)
	n.loop(ctx, n.follower.PullOnce)
	n.log.WithField("node", n.self.Node).WithField("zone", n.self.Zone).WithField("url", n.self.URL).Info("serving")
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
	case <-n.drain:
		n.leave(ctx)
	}
	cancel()
	n.close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func (n *Node) close() {
	n.entry.Stop()
	if err := n.ingress.Close(); err != nil {
		n.log.WithError(err).Warn("close listener failed")
	}
	n.work.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := n.telemetry.Close(ctx); err != nil {
		n.log.WithError(err).Warn("close telemetry failed")
	}
	n.cancel()
}

// every runs a step at once and then periodically.
func (n *Node) every(ctx context.Context, period time.Duration, step func(context.Context)) {
	n.loop(ctx, func(ctx context.Context) (time.Duration, error) {
		step(ctx)
		return period, nil
	})
}

// loop runs a step repeatedly and waits between two runs for the pause that the step returns.
func (n *Node) loop(ctx context.Context, step func(context.Context) (time.Duration, error)) {
	n.work.Go(func() {
		for ctx.Err() == nil {
			n.options.Gate()
			pause, err := step(ctx)
			if err != nil && ctx.Err() == nil {
				n.log.WithError(err).Debug("periodic step failed")
			}
			select {
			case <-n.clock.After(pause):
			case <-ctx.Done():
			}
		}
	})
}

// beat sends the next round of heartbeats.
func (n *Node) beat(ctx context.Context) {
	recovered, alone := n.keeper.Recovered()
	self := n.self
	self.Incarnation, self.Revision, self.Recovered, self.Alone = n.keeper.Incarnation(), n.inForce.Revision(), recovered, alone
	n.viewMu.Lock()
	self.Phase = n.view.Self().Phase
	if n.draining() && self.Phase == membership.Live {
		self.Phase = membership.Leaving
	}
	n.view = n.view.WithSelf(self)
	n.viewMu.Unlock()
	beats := n.handle(membership.Ticked{At: n.clock.Now(), Random: mathrand.IntN})
	for _, seed := range n.unknownSeeds() {
		beats = append(beats, membership.Beat{To: membership.Member{Node: ident.Node(seed), URL: seed}, Digest: n.View().Digest()})
	}
	for _, b := range beats {
		n.work.Go(func() { n.sendBeat(ctx, b) })
	}
}

// announceUpdates sends heartbeats at once when a new revision is in force here, so that
// the revision spreads at the rate of the pulls and not of the heartbeats.
func (n *Node) announceUpdates(ctx context.Context) (time.Duration, error) {
	select {
	case <-n.updates:
		n.beat(ctx)
	case <-ctx.Done():
	}
	return 0, nil
}

// unknownSeeds returns the URLs from the settings whose nodes are not known yet.
func (n *Node) unknownSeeds() []string {
	known := map[string]bool{n.self.URL: true}
	for _, m := range n.View().Members() {
		known[m.URL] = m.Incarnation != ""
	}
	return lo.Filter(n.options.Settings.Peers, func(u string, _ int) bool { return !known[u] })
}

func (n *Node) sendBeat(ctx context.Context, b membership.Beat) {
	answer, err := peer.Call[peer.Beat](ctx, n.caller, b.To, peer.VerbBeat, peer.Beat{Members: b.Digest, Loads: n.freshLoads()})
	if err == nil {
		n.mergeBeat(answer)
	}
}

// receiveBeat merges a peer's heartbeat and answers with what is newer here.
func (n *Node) receiveBeat(in peer.Beat) peer.Beat {
	n.mergeBeat(in)
	return peer.Beat{Members: n.View().Answer(in.Members), Loads: n.newerLoads(in.Loads)}
}

func (n *Node) mergeBeat(in peer.Beat) {
	n.handle(membership.Received{At: n.clock.Now(), Members: in.Members})
	n.mergeLoads(in.Loads)
}

// mergeLoads stores newer load reports and passes them to the dispatcher.
func (n *Node) mergeLoads(loads []peer.Load) {
	n.loadsMu.Lock()
	var newer []peer.Load
	for _, l := range loads {
		if l.Read > n.loads[l.Endpoint].Read {
			n.loads[l.Endpoint] = l
			newer = append(newer, l)
		}
	}
	n.loadsMu.Unlock()
	if len(newer) > 0 {
		n.dispatch.RecordLoads(newer)
	}
}

// freshLoads returns the newest load reports, at most maxLoads.
func (n *Node) freshLoads() []peer.Load {
	n.loadsMu.Lock()
	defer n.loadsMu.Unlock()
	loads := lo.Values(n.loads)
	slices.SortFunc(loads, func(x, y peer.Load) int { return cmp.Compare(y.Read, x.Read) })
	return loads[:min(len(loads), maxLoads)]
}

// newerLoads returns the load reports that are newer here than the received ones.
func (n *Node) newerLoads(received []peer.Load) []peer.Load {
	known := lo.SliceToMap(received, func(l peer.Load) (ident.Endpoint, int64) { return l.Endpoint, l.Read })
	return lo.Filter(n.freshLoads(), func(l peer.Load, _ int) bool { return l.Read > known[l.Endpoint] })
}

// readList reads the platform's list of VMs.
func (n *Node) readList(ctx context.Context) {
	list, err := n.platform.VMs(ctx)
	if err != nil {
		return
	}
	n.handle(membership.Listed{At: n.clock.Now(), List: list})
}

// pollLoads polls the load of the endpoints that this node watches.
func (n *Node) pollLoads(ctx context.Context) {
	var watched []catalog.Endpoint
	for _, e := range n.inForce.Catalog().AllEndpoints() {
		if n.watches(e) {
			watched = append(watched, e)
		}
	}
	for _, e := range watched {
		n.work.Go(func() { n.pollLoad(ctx, e) })
	}
}

func (n *Node) pollLoad(ctx context.Context, e catalog.Endpoint) {
	load, err := n.backend.Load(ctx, e.URL)
	if ctx.Err() != nil {
		return
	}
	n.mergeLoads([]peer.Load{{
		Endpoint: e.Name, InFlight: load.InFlight, Queued: load.Queued, Leaving: load.Leaving, Down: err != nil,
		Read: n.clock.Now().UnixMilli(),
	}})
}

// watches reports whether this node is one of the endpoint's watchers. The nodes of
// all other zones watch an endpoint whose zone has no reachable node.
func (n *Node) watches(e catalog.Endpoint) bool {
	view := n.View()
	if e.Zone != n.self.Zone {
		return len(view.Reachable(e.Zone, n.clock.Now())) == 0
	}
	rank := view.Rank(n.self.Zone, ident.SlotOf(ident.Customer(e.Name), watchSlots), n.clock.Now())
	for _, m := range rank[:min(len(rank), watchers)] {
		if m.Node == n.self.Node {
			return true
		}
	}
	return false
}

// watchSlots is the number of slots that spread the endpoints over the nodes of their zone.
const watchSlots = 1 << 16

func (n *Node) flush(ctx context.Context) {
	if err := n.keeper.Flush(ctx); err != nil && ctx.Err() == nil {
		n.log.WithError(err).Debug("flush to the platform failed")
	}
}

// StartDrain begins a planned stop; later calls have no effect.
func (n *Node) StartDrain() {
	n.drained.Do(func() {
		n.events.Add(event.Event{Step: event.Drain, Decision: "planned stop", Reason: "asked for"})
		close(n.drain)
	})
}

func (n *Node) draining() bool {
	select {
	case <-n.drain:
		return true
	default:
		return false
	}
}

// Kill stops the node at once and hands nothing over.
func (n *Node) Kill() {
	n.cancel()
	_ = n.ingress.Abort()
}

// leave carries out a planned stop: it accepts no new requests, waits for the running
// ones, and returns what the node holds.
func (n *Node) leave(ctx context.Context) {
	stops := n.clock.Now().Add(n.options.Settings.Timing.Drain())
	ctx, cancel := context.WithTimeout(ctx, n.options.Settings.Timing.Drain())
	defer cancel()
	n.ingress.AnnounceClose()
	n.beat(ctx)
	n.wait(ctx, leaveGrace)
	n.entry.Drain(stops)
	n.ingress.DisableKeepAlives()
	for ctx.Err() == nil && (!n.idle() || n.ingress.Busy() > 0) {
		n.wait(ctx, pumpEvery)
	}
	for ctx.Err() == nil && !n.handedOver(ctx) {
		n.wait(ctx, tickEvery)
	}
	n.viewMu.Lock()
	self := n.view.Self()
	self.Phase = membership.Left
	n.view = n.view.WithSelf(self)
	n.viewMu.Unlock()
	for _, b := range n.handle(membership.Ticked{At: n.clock.Now(), Random: mathrand.IntN}) {
		n.sendBeat(ctx, b)
	}
	n.log.Info("planned stop complete")
}

func (n *Node) wait(ctx context.Context, d time.Duration) {
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

func (n *Node) idle() bool {
	running, unreported := n.entry.Active()
	return running == 0 && unreported == 0
}

// handedOver closes the node's accounts in every slot and reports whether none remain.
func (n *Node) handedOver(ctx context.Context) bool {
	if err := n.keeper.Flush(ctx); err != nil {
		return false
	}
	for _, slot := range n.keeper.Holding().Slots() {
		if err := n.keeper.LeaveSlot(ctx, slot); err != nil {
			return false
		}
	}
	return len(n.keeper.Holding().Slots()) == 0 && len(n.keeper.Holding().Records()) == 0
}
