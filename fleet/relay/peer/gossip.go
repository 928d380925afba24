package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// Intervals and sizes of messages.
const (
	beatInterval = 200 * time.Millisecond
	budgetEvery  = 3        // beats per budget report
	farEvery     = 3        // budget reports per one that goes to other regions too
	maxMessage   = 16 << 10 // bytes of a datagram
	maxDigests   = 64       // endpoints in a message that would exceed a datagram
)

// Gossip sends peers what this node has in flight, and receives what they have.
type Gossip struct {
	registry    *Registry
	picker      *choice.Picker
	socket      net.PacketConn
	number      uint64 // of the current beat
	transfers   *transfers
	ledgers     *ledgers
	address     string // of this node's socket
	places      distance.Places
	storeLost   func() bool // reports whether this node does not reach the store
	writes      atomic.Bool
	watches     atomic.Bool
	writerCount atomic.Int64
	slots       atomic.Pointer[slots]
	elsewhere   atomic.Bool // a writer of another zone reported that it reaches the store
	sources     atomic.Pointer[[]store.Source]
	client      *http.Client
	rollouts    RolloutExchange    // nil: no orders on this node
	busy        func() bool        // reports whether this node's link is busy
	suspicions  *suspicion.Tracker // nil: no reports on endpoints that fail
	quarantine  Quarantine         // nil: no reports on requests under which endpoints end
	limits      *limit.Tracker     // nil: no reports on limits that endpoints name
	notices     *notice.Tracker    // nil: no reports on signals of endpoints in answers
	fragile     *fragile.Tracker   // nil: no reports on fragile services
	origins     *origin.Tracker    // nil: no exchange of the versions that began streams
	keeper      *origin.Keeper     // of records for the store
	lookups     *lookups           // of origins
	eras        *store.Eras        // known to this node
	noTunnels   func() []string    // services to which this node opens no tunnels now; nil: none

	listAge func() time.Duration // since the store confirmed the list of endpoints, 0 if it never did; nil: not told

	chooseMu  sync.Mutex // guards the choice of writers and what follows from it
	delegates *delegates
	chosen    map[string]bool                 // the writers, as of the last budget report or change of the list of nodes
	reports   map[string]account.BudgetReport // as of the same time

	mu    sync.Mutex
	peers map[string]peerRecord // by node name
}

// peerRecord is what was last received from a peer.
type peerRecord struct {
	incarnation string
	number      uint64
	at          time.Time
	storeLost   bool
	elsewhere   bool
	reconnects  uint64
	writeFailed bool // it recently failed to write the status of a rollout
	noTunnels   []string
	ageUnknown  bool // it found the status of a rollout without observing the write, so it can't tell the age
}

// Listen opens the socket for datagrams. StoreLost reports whether this node does not reach
// the store.
func Listen(address string, r *Registry, p *choice.Picker, allowance Allowance, storeLost func() bool) (*Gossip, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", address)
	}
	g := &Gossip{registry: r, picker: p, socket: socket, peers: map[string]peerRecord{}, transfers: newTransfers(allowance), ledgers: newLedgers(), lookups: newLookups(), address: address, storeLost: storeLost, delegates: newDelegates(r.self), busy: func() bool { return false }, places: distance.From(r.self.Zone, nil, distance.DefaultCosts()), eras: store.NewEras()}
	g.client = sourceClient(func() bool { return g.busy() })
	r.OnChange(func([]Member) { g.choose() })
	return g, nil
}

// WithLink extends the timeouts for peers' answers while this node's link is busy. It must
// be called before Run.
func (g *Gossip) WithLink(busy func() bool) *Gossip {
	g.busy = busy
	return g
}

// WithEras exchanges the store's era with peers, so that all learn that it was restored from
// a backup. It must be called before Run.
func (g *Gossip) WithEras(e *store.Eras) *Gossip {
	g.eras = e
	return g
}

// WithPlaces sets the regions of the zones. It must be called before Run.
func (g *Gossip) WithPlaces(p distance.Places) *Gossip {
	g.places = p
	g.delegates.near = p.Near
	return g
}

// DropIdle closes idle connections to other nodes.
func (g *Gossip) DropIdle() { g.client.CloseIdleConnections() }

// Close closes the socket. It is for callers that don't call Run.
func (g *Gossip) Close() error { return g.socket.Close() }

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.listen()
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = g.socket.Close()
			return
		case <-ticker.C:
			g.broadcast()
		case <-g.urgentSuspicions():
			writers, _ := g.currentChoice()
			g.sendSuspicions(writers)
		case <-g.urgentQuarantine():
			writers, _ := g.currentChoice()
			g.sendQuarantine(writers)
		case <-g.urgentLimits():
			writers, _ := g.currentChoice()
			g.sendLimits(writers)
		case <-g.urgentNotices():
			writers, _ := g.currentChoice()
			g.sendNotices(writers)
		case <-g.urgentOrigins():
			g.sendOrigins()
		}
	}
}

func (g *Gossip) broadcast() {
	g.number++
	for peer, requests := range g.transfers.overdue(clock.Now()) {
		g.send(g.withSender(message{Requests: requests}), peer)
	}
	if g.number%budgetEvery == 1 {
		g.choose()
	}
	writers, reports := g.currentChoice()
	g.sendRollouts(writers)
	g.sendSuspicions(writers)
	g.sendQuarantine(writers)
	to, budgets := g.recipients(writers)
	if len(to) == 0 {
		return
	}
	now := clock.Now()
	m := g.withSender(message{
		Number: g.number, Digests: g.picker.Digests(), StoreLost: g.storeLost(),
		Reconnects: g.registry.health.Reconnects(), Elsewhere: g.elsewhere.Load(), Outage: g.transfers.allowance.Expected(now), Rollouts: g.badTargets(), Suspicions: g.suspicionReports(now),
		Era: g.eras.Newest(), Quarantine: g.quarantineDigest(now), Limits: g.limitReports(), Notices: g.noticeReports(), NoTunnels: g.servicesWithoutTunnels(), Fragile: g.fragileReports(now), Versions: g.listedVersions(),
	})
	if budgets {
		m.HasBudgets, m.BudgetReports = true, reports
	}
	self := g.registry.self
	for at, members := range lo.GroupBy(to, func(m Member) place { return place{m.Zone == self.Zone, g.places.Region(m.Zone)} }) {
		m.Reads = g.picker.RareReads(at.region, now)
		if at.near {
			m.Reads = g.picker.Reads(at.region, now)
		}
		g.send(m, addresses(members)...)
	}
}

// place determines which reads are sent to a peer: whether it is in the node's zone, and its
// region.
type place struct {
	near   bool
	region string
}

func addresses(members []Member) []string {
	return lo.Map(members, func(m Member, _ int) string { return m.Address })
}

// recipients picks the peers for one beat, and reports whether they also get the budget
// reports. In a small fleet these are all peers. In a large one a node that draws for others
// sends to a share of its zone per beat, since a burst to all would fill its link and lose
// grants, and less often to the writers of other zones, and still less to those of other
// regions. A node that does not draw sends, at every budget report, to the writers of its
// zone and to a few random peers there. So what a node receives grows with its zone, and
// only what the writers receive grows with the fleet.
func (g *Gossip) recipients(writers map[string]bool) ([]Member, bool) {
	self := g.registry.self
	peers := lo.Filter(g.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name })
	due := g.number%budgetEvery == 1
	switch {
	case len(writers) > len(peers): // all nodes write
		return peers, due
	case !writers[self.Name] && !due:
		return nil, false
	}
	near := lo.Filter(peers, func(m Member, _ int) bool { return m.Zone == self.Zone })
	if writers[self.Name] {
		to := beatShare(near, int(g.number%roundBeats))
		if due {
			far := lo.Filter(peers, func(m Member, _ int) bool {
				return m.Zone != self.Zone && writers[m.Name] && (g.number%(budgetEvery*farEvery) == 1 || g.places.Near(m.Zone))
			})
			to = append(to, far...)
		}
		return to, true
	}
	always, others := lo.FilterReject(near, func(m Member, _ int) bool { return writers[m.Name] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(always, others[:min(len(others), randomOthers)]...), true
}

// passesOn reports whether this node passes on what it receives, as writers do in a fleet
// where not all nodes write.
func (g *Gossip) passesOn() bool { return g.Writes() && g.WriterCount() < g.registry.Count() }

// roundBeats is the number of beats in which a node that draws for others sends to its whole
// zone.
const roundBeats = 5

// beatShare returns every roundBeats-th member, starting at index which.
func beatShare(members []Member, which int) []Member {
	return lo.Filter(members, func(_ Member, i int) bool { return i%roundBeats == which })
}

func (g *Gossip) listen() {
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := g.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var m message
		if json.Unmarshal(buffer[:n], &m) == nil && m.Node != "" {
			g.receive(m, from.String())
		}
	}
}

func (g *Gossip) receive(m message, from string) {
	if m.Era > 0 {
		g.eras.Observe(m.Era)
	}
	switch {
	case len(m.Requests) > 0:
		grants := lo.Map(m.Requests, func(req transferRequest, _ int) grant { return *g.transfers.answer(req, clock.Now()) })
		g.send(g.withSender(message{Grants: grants}), from)
	case len(m.Grants) > 0:
		for _, granted := range m.Grants {
			g.transfers.receive(granted)
		}
	case m.Rollouts != nil && m.Number == 0:
		g.receiveRollouts(m)
	case len(m.Suspicions) > 0 && m.Number == 0:
		g.receiveSuspicions(m)
	case m.Quarantine != nil && m.Number == 0:
		g.receiveQuarantine(m)
	case len(m.Limits) > 0 && m.Number == 0:
		g.receiveLimits(m)
	case len(m.Rests) > 0 && m.Number == 0:
		g.receiveRests(m)
	case len(m.Notices) > 0 && m.Number == 0:
		g.receiveNotices(m)
	case m.isOnOrigins() && m.Number == 0:
		g.receiveOrigins(m, from)
	case m.Ledger > 0:
		at := store.At(g.eraOf(m), m.Ledger)
		g.ledgers.recordAnnounced(at, from)
		g.ledgers.recordWrite(at, m.Node, g.classOf(m.Node), clock.Now())
	case m.Number > 0: // otherwise it is a kind of message that only a later build knows
		g.receiveDigest(m, from)
	}
}

// eraOf returns the era of the revision in a message. A peer of an earlier build sends none:
// its revisions count as of the era known here, as long as that has not risen.
func (g *Gossip) eraOf(m message) int64 {
	if m.Era == 0 && !g.eras.Risen() {
		return g.eras.Newest()
	}
	return m.Era
}

func (g *Gossip) receiveDigest(m message, from string) {
	now := clock.Now()
	g.mu.Lock()
	before := g.peers[m.Node]
	old := before.incarnation == m.Incarnation && m.Number <= before.number
	if !old {
		g.peers[m.Node] = peerRecord{incarnation: m.Incarnation, number: m.Number, at: now, storeLost: m.StoreLost, elsewhere: m.Elsewhere, reconnects: m.Reconnects, noTunnels: m.NoTunnels, writeFailed: before.writeFailed, ageUnknown: before.ageUnknown}
	}
	g.mu.Unlock()
	if old {
		return
	}
	if before.incarnation == m.Incarnation && m.Reconnects > before.reconnects && len(g.Sources()) == 0 {
		g.registry.health.Renew()
	}
	if m.Outage != nil {
		g.transfers.allowance.Expect(*m.Outage, now)
	}
	if m.Rollouts != nil {
		g.receiveRollouts(m)
	}
	g.receiveSuspicions(m)
	g.receiveQuarantine(m)
	g.receiveLimits(m)
	g.receiveNotices(m)
	g.receiveFragile(m, now)
	g.receiveVersions(m, now)
	g.picker.ReceiveDigests(m.Node, m.Digests, now)
	g.picker.ReceiveReads(m.Reads, g.passesOn(), now)
	if m.HasBudgets {
		g.transfers.recordFrom(from, g.classOf(m.Node), m.BudgetReports, now)
	}
}

// classOf returns the distance class of a node; one that is not listed yet counts as one of
// the region.
func (g *Gossip) classOf(node string) distance.Class {
	m, listed := find(g.registry.Members(), node)
	if !listed {
		return distance.SameRegion
	}
	return g.places.Class(m.Zone)
}

// find looks up a member by name; members must be sorted by name.
func find(members []Member, name string) (Member, bool) {
	at, ok := slices.BinarySearchFunc(members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return members[at], true
}
