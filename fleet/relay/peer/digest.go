package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// Digests are told this often, to so many peers at a time.
const (
	beat       = 200 * time.Millisecond
	fanOut     = 10
	maxMessage = 16 << 10
)

// message is what one node tells another.
type message struct {
	Node    string                   `json:"node"`
	Life    string                   `json:"life"`
	Number  uint64                   `json:"number"` // rises; an older one is dropped
	Digests map[string]choice.Digest `json:"digests"`
}

// Talk tells peers what this node has in flight, and hears what they have.
type Talk struct {
	registry *Registry
	picker   *choice.Picker
	log      log.Interface
	socket   net.PacketConn
	number   uint64
	heard    map[string]heard
}

type heard struct {
	life   string
	number uint64
}

// Listen opens the socket for datagrams.
func Listen(address string, r *Registry, p *choice.Picker, l log.Interface) (*Talk, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", address)
	}
	return &Talk{registry: r, picker: p, log: l, socket: socket, heard: map[string]heard{}}, nil
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
	data, err := json.Marshal(message{Node: self.Name, Life: self.Life, Number: t.number, Digests: t.picker.Digests()})
	if err != nil || len(data) > maxMessage {
		return
	}
	for _, m := range t.some() {
		if to, err := net.ResolveUDPAddr("udp4", m.Address); err == nil {
			_, _ = t.socket.WriteTo(data, to)
		}
	}
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
		n, _, err := t.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var m message
		if json.Unmarshal(buffer[:n], &m) == nil && m.Node != "" {
			t.hear(m)
		}
	}
}

func (t *Talk) hear(m message) {
	before := t.heard[m.Node]
	if before.life == m.Life && m.Number <= before.number {
		return
	}
	t.heard[m.Node] = heard{life: m.Life, number: m.Number}
	t.picker.Heard(m.Node, m.Digests, time.Now())
}
