package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Digests are told this often, to so many peers at a time.
const (
	beat        = 200 * time.Millisecond
	budgetEvery = 3 // beats between words on what the node could give
	maxMessage  = 16 << 10
)

// message is what one node tells another.
type message struct {
	Node          string                          `json:"node"`
	Life          string                          `json:"life"`
	Number        uint64                          `json:"number"` // rises; an older one is dropped
	Digests       map[string]choice.Digest        `json:"digests,omitempty"`
	Reads         []choice.Read                   `json:"reads,omitempty"`   // prompts that were read lately
	HasBudgets    bool                            `json:"budgets,omitempty"` // the reports are told
	BudgetReports map[string]account.BudgetReport `json:"reports,omitempty"`
	Out           bool                            `json:"out,omitempty"`        // the node does not reach the store
	Reconnects    uint64                          `json:"reconnects,omitempty"` // how often the node found the store back
	Elsewhere     bool                            `json:"elsewhere,omitempty"`  // a writer of another zone reaches the store
	Outage        *account.Outage                 `json:"outage,omitempty"`     // of the store, that is expected again
	Requests      []transferRequest               `json:"requests,omitempty"`
	Grants        []grant                         `json:"grants,omitempty"`
}

// Gossip tells peers what this node has in flight, and hears what they have.
type Gossip struct {
	registry    *Registry
	picker      *choice.Picker
	socket      net.PacketConn
	number      uint64
	transfers   *transfers
	address     string      // of this node's socket
	out         func() bool // whether this node does not reach the store
	writes      atomic.Bool
	writerCount atomic.Int64
	elsewhere   atomic.Bool // a writer of another zone reaches the store, as this one heard
	sources     atomic.Pointer[[]store.Source]
	client      *http.Client

	choosing  sync.Mutex // who writes, and what follows from it
	delegates *delegates
	chosen    map[string]bool                 // the writers, as of the last budgets or change of the list of nodes
	reports   map[string]account.BudgetReport // of the same time

	mu    sync.Mutex
	heard map[string]heard // by the node's name
}

type heard struct {
	life       string
	number     uint64
	at         time.Time
	out        bool
	elsewhere  bool
	reconnects uint64
}

// Listen opens the socket for datagrams.
func Listen(address string, r *Registry, p *choice.Picker, allowance Allowance, out func() bool) (*Gossip, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", address)
	}
	g := &Gossip{registry: r, picker: p, socket: socket, heard: map[string]heard{}, transfers: newTransfers(allowance), address: address, out: out, client: sourceClient(), delegates: newDelegates(r.self)}
	r.changed = g.choose
	return g, nil
}

// Close gives the socket up, where Run is not called.
func (t *Gossip) Close() error { return t.socket.Close() }

// Run talks and listens until ctx ends.
func (t *Gossip) Run(ctx context.Context) {
	go t.listen()
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = t.socket.Close()
			return
		case <-ticker.C:
			t.broadcast()
		}
	}
}

func (t *Gossip) broadcast() {
	t.number++
	for peer, requests := range t.transfers.overdue(time.Now()) {
		t.send(peer, t.signed(message{Requests: requests}))
	}
	if t.number%budgetEvery == 1 {
		t.choose()
	}
	writers, reports := t.choice()
	to, budgets := t.listeners(writers)
	if len(to) == 0 {
		return
	}
	now := time.Now()
	m := t.signed(message{
		Number: t.number, Digests: t.picker.Digests(), Reads: t.picker.Reads(now), Out: t.out(),
		Reconnects: t.registry.health.Reconnects(), Elsewhere: t.elsewhere.Load(), Outage: t.transfers.allowance.Expected(now),
	})
	if budgets {
		m.HasBudgets, m.BudgetReports = true, reports
	}
	for _, member := range to {
		t.send(member.Address, m)
	}
}

// refreshBudgets tells the allowance what the peers told, acquires where others write the
// ledger, and returns what this node reports.
func (t *Gossip) refreshBudgets(writers map[string]bool) map[string]account.BudgetReport {
	self := t.registry.self
	now := time.Now()
	var near, any []Member // that write the ledger
	clients := map[string]bool{}
	for _, m := range t.registry.Members() {
		switch {
		case m.Name == self.Name:
		case !writers[m.Name] && m.Zone == self.Zone:
			clients[m.Address] = true
		case writers[m.Name] && m.Zone == self.Zone:
			near = append(near, m)
			any = append(any, m)
		case writers[m.Name]:
			any = append(any, m)
		}
	}
	t.writes.Store(writers[self.Name])
	t.writerCount.Store(int64(len(writers)))
	t.sources.Store(t.sourcesOf(writers, near, any))
	t.elsewhere.Store(t.reachedElsewhere(writers, any))
	if !writers[self.Name] {
		t.transfers.allowance.Fleets(t.transfers.fleets(nil, 1, now), now)
		t.requestAhead(lo.Ternary(len(near) > 0, near, any))
		return t.transfers.allowance.BudgetReports(now)
	}
	fleets := t.transfers.fleets(clients, len(near)+1, now)
	t.transfers.allowance.Fleets(fleets, now)
	reports := t.transfers.allowance.BudgetReports(now)
	if len(clients) > 0 {
		t.speakForClients(reports, fleets)
	}
	return reports
}

// speakForClients adds to a writer's reports what its clients ask for, and what only
// writers know of the whole fleet.
func (t *Gossip) speakForClients(reports map[string]account.BudgetReport, fleets map[string]account.Fleet) {
	for tenant, fleet := range fleets {
		o := reports[tenant]
		o.All = math.Round(max(fleet.Others+o.Rate, fleet.All))
		o.Rate = math.Round(o.Rate + fleet.Clients)
		o.Left = t.transfers.allowance.State(tenant).Left
		reports[tenant] = o
	}
}

// reachedElsewhere is whether a writer of another zone reaches the store; only writers
// hear them.
func (t *Gossip) reachedElsewhere(writers map[string]bool, others []Member) bool {
	return writers[t.registry.self.Name] && lo.ContainsBy(others, func(m Member) bool {
		w := t.word(m.Name)
		return m.Zone != t.registry.self.Zone && !w.out && time.Since(w.at) < silentAfter
	})
}

// farSources is how many nodes of other zones are asked where none of the zone's answers.
const farSources = 2

// sourcesOf lists the nodes that watch the store for this one, in the order in which
// it asks them, which spreads askers: those of the zone, then some of others; none
// where it watches itself.
func (t *Gossip) sourcesOf(writers map[string]bool, near, all []Member) *[]store.Source {
	sources := []store.Source{}
	if writers[t.registry.self.Name] {
		return &sources
	}
	far := lo.Filter(all, func(m Member, _ int) bool { return m.Zone != t.registry.self.Zone && !t.word(m.Name).out })
	far = t.spread(far)
	for _, m := range append(t.spread(near), far[:min(len(far), farSources)]...) {
		sources = append(sources, store.Source{Name: m.Name, Reader: Remote{client: t.client, address: m.Address}})
	}
	return &sources
}

// spread orders members differently for each node that asks them.
func (t *Gossip) spread(members []Member) []Member {
	order := slices.Clone(members)
	rank := func(m Member) uint64 { return xxhash.Sum64String(t.registry.self.Name + m.Name) }
	slices.SortFunc(order, func(a, b Member) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// Sources lists the nodes that this one asks in the store's place.
func (t *Gossip) Sources() []store.Source {
	if s := t.sources.Load(); s != nil {
		return *s
	}
	return nil
}

// WriterCount is how many nodes write the ledger, this one's own view.
func (t *Gossip) WriterCount() int { return int(t.writerCount.Load()) }

// Writes is whether this node writes the ledger.
func (t *Gossip) Writes() bool { return t.writes.Load() }

// choose names the nodes that write the ledger, as this one sees the fleet, and does
// what follows from it for this node.
func (t *Gossip) choose() {
	t.choosing.Lock()
	defer t.choosing.Unlock()
	t.chosen = t.delegates.choose(t.registry.Members(), t.word, time.Now())
	t.reports = t.refreshBudgets(t.chosen)
}

// choice is who was last chosen, and what this node reports since.
func (t *Gossip) choice() (map[string]bool, map[string]account.BudgetReport) {
	t.choosing.Lock()
	defer t.choosing.Unlock()
	return t.chosen, t.reports
}

// word is what was last heard of a node; of itself a node knows the present.
func (t *Gossip) word(name string) word {
	if name == t.registry.self.Name {
		return word{at: time.Now(), out: t.out(), elsewhere: t.elsewhere.Load()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.heard[name]
	return word{at: h.at, out: h.out, elsewhere: h.elsewhere}
}

// listeners picks the peers of one beat, and whether they are told the budgets: all
// of them in a small fleet. In a large one a node that draws for others tells a
// part of its zone at a time, since a burst to all would fill its link and lose
// grants, and now and then those that do so in other zones; others tell those of
// their zone, and a few at random, now and then. So what a node hears grows with its
// zone, and only what these few hear grows with the fleet.
func (t *Gossip) listeners(writers map[string]bool) ([]Member, bool) {
	self := t.registry.self
	peers := lo.Filter(t.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name })
	due := t.number%budgetEvery == 1
	switch {
	case len(writers) > len(peers): // everyone writes
		return peers, due
	case !writers[self.Name] && !due:
		return nil, false
	}
	near := lo.Filter(peers, func(m Member, _ int) bool { return m.Zone == self.Zone })
	if writers[self.Name] {
		to := part(near, int(t.number%roundBeats))
		if due {
			far := lo.Filter(peers, func(m Member, _ int) bool { return m.Zone != self.Zone && writers[m.Name] })
			to = append(to, far...)
		}
		return to, true
	}
	sure, others := lo.FilterReject(near, func(m Member, _ int) bool { return writers[m.Name] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(sure, others[:min(len(others), randomOthers)]...), true
}

// roundBeats is in how many beats a node that draws for others has told all.
const roundBeats = 5

// part is every roundBeats-th member.
func part(members []Member, which int) []Member {
	return lo.Filter(members, func(_ Member, i int) bool { return i%roundBeats == which })
}

// signed fills in who sends a message.
func (t *Gossip) signed(m message) message {
	m.Node, m.Life = t.registry.self.Name, t.registry.self.Life
	return m
}

// send tells a peer; a message that exceeds a datagram goes without the reads,
// which are a help only.
func (t *Gossip) send(address string, m message) {
	data, err := json.Marshal(m)
	if err == nil && len(data) > maxMessage {
		m.Reads = nil
		data, err = json.Marshal(m)
	}
	if err == nil && len(data) > maxMessage {
		err = errors.Newf("message of %d bytes, more than %d", len(data), maxMessage)
	}
	to, failed := net.ResolveUDPAddr("udp4", address)
	if err = errors.CombineErrors(err, failed); err != nil {
		t.registry.log.WithField("peer", address).WithError(err).Warn("peer not told")
		return
	}
	_, _ = t.socket.WriteTo(data, to) // datagrams may be lost in any case
}

func (t *Gossip) listen() {
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := t.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var m message
		if json.Unmarshal(buffer[:n], &m) == nil && m.Node != "" {
			t.receive(m, from.String())
		}
	}
}

func (t *Gossip) receive(m message, from string) {
	switch {
	case len(m.Requests) > 0:
		grants := lo.Map(m.Requests, func(a transferRequest, _ int) grant { return *t.transfers.answer(a, time.Now()) })
		t.send(from, t.signed(message{Grants: grants}))
	case len(m.Grants) > 0:
		for _, g := range m.Grants {
			t.transfers.arrived(g)
		}
	default:
		t.receiveDigest(m, from)
	}
}

func (t *Gossip) receiveDigest(m message, from string) {
	now := time.Now()
	t.mu.Lock()
	before := t.heard[m.Node]
	old := before.life == m.Life && m.Number <= before.number
	if !old {
		t.heard[m.Node] = heard{life: m.Life, number: m.Number, at: now, out: m.Out, elsewhere: m.Elsewhere, reconnects: m.Reconnects}
	}
	t.mu.Unlock()
	if old {
		return
	}
	if before.life == m.Life && m.Reconnects > before.reconnects && len(t.Sources()) == 0 {
		t.registry.health.Renew()
	}
	if m.Outage != nil {
		t.transfers.allowance.Expect(*m.Outage, now)
	}
	t.picker.Heard(m.Node, m.Digests, now)
	t.picker.HeardReads(m.Reads)
	if m.HasBudgets {
		t.transfers.record(from, m.BudgetReports, now)
	}
}
