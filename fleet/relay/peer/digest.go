package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// Digests are told this often, to so many peers at a time.
const (
	beat       = 200 * time.Millisecond
	fanOut     = 10
	freeEvery  = 3 // beats between words on what the node could give
	maxMessage = 16 << 10
)

// message is what one node tells another.
type message struct {
	Node    string                   `json:"node"`
	Life    string                   `json:"life"`
	Number  uint64                   `json:"number"` // rises; an older one is dropped
	Digests map[string]choice.Digest `json:"digests,omitempty"`
	Offers  map[string]account.Offer `json:"offers,omitempty"`
	Ask     *ask                     `json:"ask,omitempty"`
	Gift    *gift                    `json:"gift,omitempty"`
}

// Talk tells peers what this node has in flight, and hears what they have.
type Talk struct {
	registry *Registry
	picker   *choice.Picker
	log      log.Interface
	socket   net.PacketConn
	number   uint64
	heard    map[string]heard // of the listening goroutine only
	loans    *loans
}

type heard struct {
	life   string
	number uint64
}

// Listen opens the socket for datagrams.
func Listen(address string, r *Registry, p *choice.Picker, purse Purse, l log.Interface) (*Talk, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", address)
	}
	return &Talk{registry: r, picker: p, log: l, socket: socket, heard: map[string]heard{}, loans: newLoans(purse)}, nil
}

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
	self := t.registry.self
	t.number++
	m := message{Node: self.Name, Life: self.Life, Number: t.number, Digests: t.picker.Digests()}
	if t.number%freeEvery == 0 {
		m.Offers = t.loans.offers(time.Now())
	}
	for _, to := range t.some() {
		t.send(to.Address, m)
	}
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

// some picks the peers of one beat.
func (t *Talk) some() []Member {
	peers := make([]Member, 0, t.registry.Count())
	for _, m := range t.registry.Members() {
		if m.Name != t.registry.self.Name {
			peers = append(peers, m)
		}
	}
	if len(peers) > fanOut {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:fanOut]
	}
	return peers
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
	case m.Ask != nil:
		self := t.registry.self
		t.send(from, message{Node: self.Name, Life: self.Life, Gift: t.loans.answer(*m.Ask, time.Now())})
	case m.Gift != nil:
		t.loans.arrived(*m.Gift)
	default:
		t.hearDigest(m, from)
	}
}

func (t *Talk) hearDigest(m message, from string) {
	before := t.heard[m.Node]
	if before.life == m.Life && m.Number <= before.number {
		return
	}
	t.heard[m.Node] = heard{life: m.Life, number: m.Number}
	t.picker.Heard(m.Node, m.Digests, time.Now())
	if m.Number%freeEvery == 0 {
		t.loans.told(from, m.Offers, time.Now())
	}
}
