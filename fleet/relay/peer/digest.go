package peer

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// Digests are told this often, to so many peers at a time.
const (
	beat       = 200 * time.Millisecond
	stockEvery = 3 // beats between words on what the node could give
	maxMessage = 16 << 10
)

// message is what one node tells another.
type message struct {
	Node    string                   `json:"node"`
	Life    string                   `json:"life"`
	Number  uint64                   `json:"number"` // rises; an older one is dropped
	Digests map[string]choice.Digest `json:"digests,omitempty"`
	Stock   bool                     `json:"stock,omitempty"` // the offers are told
	Offers  map[string]account.Offer `json:"offers,omitempty"`
	Out     bool                     `json:"out,omitempty"`     // the node does not reach the store
	Regains uint64                   `json:"regains,omitempty"` // how often the node found the store back
	Asks    []ask                    `json:"asks,omitempty"`
	Gifts   []gift                   `json:"gifts,omitempty"`
}

// Talk tells peers what this node has in flight, and hears what they have.
type Talk struct {
	registry    *Registry
	picker      *choice.Picker
	socket      net.PacketConn
	number      uint64
	loans       *loans
	address     string      // of this node's socket
	out         func() bool // whether this node does not reach the store
	writes      atomic.Bool
	writerCount atomic.Int64
	offers      map[string]account.Offer // as of the last stock

	mu    sync.Mutex
	heard map[string]heard // by the node's name
}

type heard struct {
	life    string
	number  uint64
	at      time.Time
	out     bool
	regains uint64
}

// Listen opens the socket for datagrams.
func Listen(address string, r *Registry, p *choice.Picker, purse Purse, out func() bool) (*Talk, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", address)
	}
	return &Talk{registry: r, picker: p, socket: socket, heard: map[string]heard{}, loans: newLoans(purse), address: address, out: out}, nil
}

// Close gives the socket up, where Run is not called.
func (t *Talk) Close() error { return t.socket.Close() }

// Run talks and listens until ctx ends.
func (t *Talk) Run(ctx context.Context) {
	go t.listen()
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = t.socket.Close()
			return
		case <-ticker.C:
			t.tell()
		}
	}
}

func (t *Talk) tell() {
	t.number++
	for peer, asks := range t.loans.overdue(time.Now()) {
		t.send(peer, t.signed(message{Asks: asks}))
	}
	writers := Writers(t.registry.Members(), t.fit)
	if t.number%stockEvery == 1 {
		t.offers = t.takeStock(writers)
	}
	to, stock := t.listeners(writers)
	if len(to) == 0 {
		return
	}
	m := t.signed(message{Number: t.number, Digests: t.picker.Digests(), Out: t.out(), Regains: t.registry.health.Regains()})
	if stock {
		m.Stock, m.Offers = true, t.offers
	}
	for _, member := range to {
		t.send(member.Address, m)
	}
}

// takeStock tells the purse what the peers told, borrows where others write the
// book, and returns what this node offers.
func (t *Talk) takeStock(writers map[string]bool) map[string]account.Offer {
	self := t.registry.self
	now := time.Now()
	var near, any []Member // that write the book
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
	if !writers[self.Name] {
		t.loans.purse.Fleets(t.loans.fleets(nil, 1, now), now)
		t.stockUp(lo.Ternary(len(near) > 0, near, any))
		return t.loans.purse.Offers(now)
	}
	fleets := t.loans.fleets(clients, len(near)+1, now)
	t.loans.purse.Fleets(fleets, now)
	offers := t.loans.purse.Offers(now)
	if len(clients) > 0 {
		for tenant, o := range offers {
			o.All, o.Left = math.Round(max(fleets[tenant].Others+o.Rate, fleets[tenant].All)), t.loans.purse.State(tenant).Left
			offers[tenant] = o
		}
	}
	return offers
}

// WriterCount is how many nodes write the book, this one's own view.
func (t *Talk) WriterCount() int { return int(t.writerCount.Load()) }

// Writes is whether this node writes the book.
func (t *Talk) Writes() bool { return t.writes.Load() }

// silentAfter is how long a node that was heard of may say nothing before
// another one writes the book in its place.
const silentAfter = 4 * time.Second

// fit lists the members that may write the book: not those that fell silent, nor
// those that do not reach the store, unless no member does.
func (t *Talk) fit() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	members := t.registry.Members()
	fit := lo.Filter(members, func(m Member, _ int) bool {
		if m.Name == t.registry.self.Name {
			return !t.out()
		}
		h, ok := t.heard[m.Name]
		return !ok || !h.out && now.Sub(h.at) < silentAfter
	})
	if len(fit) == 0 {
		return members
	}
	return fit
}

// listeners picks the peers of one beat, and whether they are told the stock: all
// of them in a small fleet. In a large one a node that draws for others tells a
// part of the fleet at a time, since a burst to all would fill its link and lose
// gifts; others tell those, and a few at random, now and then.
func (t *Talk) listeners(writers map[string]bool) ([]Member, bool) {
	self := t.registry.self
	peers := lo.Filter(t.registry.Members(), func(m Member, _ int) bool { return m.Name != self.Name })
	due := t.number%stockEvery == 1
	switch {
	case len(writers) > len(peers): // everyone writes
		return peers, due
	case writers[self.Name]:
		return part(peers, int(t.number%roundBeats)), true
	case !due:
		return nil, false
	}
	sure, others := lo.FilterReject(peers, func(m Member, _ int) bool { return writers[m.Name] })
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
func (t *Talk) signed(m message) message {
	m.Node, m.Life = t.registry.self.Name, t.registry.self.Life
	return m
}

func (t *Talk) send(address string, m message) {
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxMessage {
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return
	}
	_, _ = t.socket.WriteTo(data, to)
}

func (t *Talk) listen() {
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
			t.hear(m, from.String())
		}
	}
}

func (t *Talk) hear(m message, from string) {
	switch {
	case len(m.Asks) > 0:
		gifts := lo.Map(m.Asks, func(a ask, _ int) gift { return *t.loans.answer(a, time.Now()) })
		t.send(from, t.signed(message{Gifts: gifts}))
	case len(m.Gifts) > 0:
		for _, g := range m.Gifts {
			t.loans.arrived(g)
		}
	default:
		t.hearDigest(m, from)
	}
}

func (t *Talk) hearDigest(m message, from string) {
	now := time.Now()
	t.mu.Lock()
	before := t.heard[m.Node]
	old := before.life == m.Life && m.Number <= before.number
	if !old {
		t.heard[m.Node] = heard{life: m.Life, number: m.Number, at: now, out: m.Out, regains: m.Regains}
	}
	t.mu.Unlock()
	if old {
		return
	}
	if before.life == m.Life && m.Regains > before.regains {
		t.registry.health.Renew()
	}
	t.picker.Heard(m.Node, m.Digests, now)
	if m.Stock {
		t.loans.told(from, m.Offers, now)
	}
}
