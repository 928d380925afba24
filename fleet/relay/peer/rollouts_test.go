package peer

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// fakeExchange is a RolloutExchange that provides fixed reports and records received ones.
type fakeExchange struct {
	evidence    []RolloutEvidence
	bad         []rollout.AnnounceBad
	writeFailed bool
	late        bool

	mu       sync.Mutex
	received []RolloutReport
}

func (k *fakeExchange) Own(time.Time) []RolloutEvidence { return k.evidence }

func (k *fakeExchange) Zone(time.Time) []RolloutEvidence {
	return lo.Map(k.evidence, func(s RolloutEvidence, _ int) RolloutEvidence { s.Zone = "z"; return s })
}

func (k *fakeExchange) Bad() []rollout.AnnounceBad { return k.bad }
func (k *fakeExchange) WriteFailed(time.Time) bool { return k.writeFailed }
func (k *fakeExchange) AgeUnknown() bool           { return k.late }

func (k *fakeExchange) Receive(_ Sender, w RolloutReport, _ time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.received = append(k.received, w)
}

// Each node sends to the delegates of its zone, and delegates also send to those of other
// zones. The evidence of a zone without delegates goes to one zone only.
func TestRecipientsOfRolloutReports(t *testing.T) {
	all := []Member{{Name: "a1", Zone: "a"}, {Name: "a2", Zone: "a"}, {Name: "a3", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "b2", Zone: "b"}, {Name: "c1", Zone: "c"}, {Name: "c2", Zone: "c"}}
	for i := range all {
		all[i].Address = all[i].Name
	}
	delegates := map[string]bool{"a1": true, "a2": true, "b1": true, "c1": true}
	cases := []struct {
		self      string
		delegates map[string]bool
		near, far []string
	}{
		{"a3", delegates, []string{"a1", "a2"}, []string{"b1", "c1"}},
		{"a1", delegates, []string{"a2"}, []string{"b1", "c1"}},
		{"b1", delegates, nil, []string{"a1", "a2", "c1"}},
		{"b2", delegates, []string{"b1"}, []string{"a1", "a2", "c1"}},
		{"c2", map[string]bool{"a1": true, "a2": true, "b1": true}, []string{"a1", "a2"}, nil},
		{"a3", map[string]bool{"b1": true, "c1": true}, []string{"b1"}, nil},
		{"a3", map[string]bool{}, nil, nil},
	}
	for _, c := range cases {
		g := gossipOf(c.self, all)
		g.registry.self, _ = lo.Find(all, func(m Member) bool { return m.Name == c.self })
		near, far := g.delegateAddresses(c.delegates)
		assert.ElementsMatch(t, c.near, near, c)
		assert.ElementsMatch(t, c.far, far, c)
	}
}

// The first delegate in the common order that still sends and reaches the store writes.
func TestTheFirstDelegateIsOneThatReachesTheStore(t *testing.T) {
	order := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	now := time.Now()
	cases := []struct {
		name   string
		chosen []string
		peers  map[string]peerRecord
		lost   bool // this node, c, does not reach the store
		failed bool // it failed to write
		late   bool // it does not know the age of the status
		want   bool
	}{
		{"another comes first", []string{"a", "c"}, map[string]peerRecord{"a": {at: now}}, false, false, false, false},
		{"the previous ones are not delegates", []string{"c", "d"}, map[string]peerRecord{"a": {at: now}}, false, false, false, true},
		{"the previous one does not reach the store", []string{"a", "c"}, map[string]peerRecord{"a": {at: now, storeLost: true}}, false, false, false, true},
		{"the previous one failed to write", []string{"a", "c"}, map[string]peerRecord{"a": {at: now, writeFailed: true}}, false, false, false, true},
		{"the previous one is silent", []string{"a", "c"}, map[string]peerRecord{"a": {at: now.Add(-2 * firstSilenceTimeout)}}, false, false, false, true},
		{"nothing was ever received from the previous one", []string{"a", "c"}, nil, false, false, false, true},
		{"one of the previous ones may write", []string{"a", "b", "c"}, map[string]peerRecord{"a": {at: now, storeLost: true}, "b": {at: now}}, false, false, false, false},
		{"not a delegate", []string{"a"}, nil, false, false, false, false},
		{"this node does not reach the store", []string{"c"}, nil, true, false, false, false},
		{"this node failed to write", []string{"c", "d"}, nil, false, true, false, false},
		{"the previous one does not know the age", []string{"a", "c"}, map[string]peerRecord{"a": {at: now, ageUnknown: true}}, false, false, false, true},
		{"no one knows the age, another comes first", []string{"a", "c"}, map[string]peerRecord{"a": {at: now, ageUnknown: true}}, false, false, true, false},
		{"only a later one knows the age", []string{"c", "d"}, map[string]peerRecord{"d": {at: now}}, false, false, true, false},
		{"this node does not know the age and is alone", []string{"c", "d"}, nil, false, false, true, true},
	}
	for _, c := range cases {
		g := gossipOf("c", order)
		g.delegates = &delegates{order: order}
		g.chosen = lo.SliceToMap(c.chosen, func(name string) (string, bool) { return name, true })
		g.peers, g.storeLost, g.rollouts = c.peers, func() bool { return c.lost }, &fakeExchange{writeFailed: c.failed, late: c.late}
		assert.Equal(t, c.want, g.FirstDelegate(), c.name)
	}
}

// gossipWithPeer returns a gossip with one peer, and the peer's socket.
func gossipWithPeer(t *testing.T, k *fakeExchange) (*Gossip, net.PacketConn) {
	t.Helper()
	other, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	g := gossipOf("a", []Member{{Name: "b", Address: other.LocalAddr().String()}})
	g.socket, err = net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = g.socket.Close() })
	g.rollouts = k
	return g, other
}

// nextMessage returns the next message on a socket and its size; false if none arrives.
func nextMessage(t *testing.T, socket net.PacketConn) (message, int, bool) {
	t.Helper()
	buffer := make([]byte, maxMessage)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	n, _, err := socket.ReadFrom(buffer)
	if err != nil {
		return message{}, 0, false
	}
	var m message
	require.NoError(t, json.Unmarshal(buffer[:n], &m))
	return m, n, true
}

func TestNothingIsSentWithoutAnOrder(t *testing.T) {
	g, other := gossipWithPeer(t, &fakeExchange{})
	g.sendRollouts(map[string]bool{"a": true, "b": true})
	_, _, any := nextMessage(t, other)
	assert.False(t, any)
	assert.Nil(t, g.badTargets())
	g.rollouts = nil
	g.sendRollouts(map[string]bool{"a": true, "b": true})
	_, _, any = nextMessage(t, other)
	assert.False(t, any)
	assert.Nil(t, g.badTargets())
}

// The evidence on an order with five routes and over a thousand answers each fits into less
// than two kilobytes.
func TestEvidenceIsSent(t *testing.T) {
	evidence := RolloutEvidence{Target: "v2", Old: 7, LastsMs: 900, Evidence: rollout.Evidence{Service: "s", Made: 5}}
	for i := range 5 {
		r := rollout.RouteEvidence{Route: fmt.Sprint("a-long-name-of-a-route-", i)}
		for c := range rollout.Cohorts {
			r.Old[c], r.Target[c] = rollout.Count{Answers: 1000 + c, Bad: c}, rollout.Count{Answers: 100 + c, Bad: 2}
		}
		evidence.Evidence.Routes = append(evidence.Evidence.Routes, r)
	}
	k := &fakeExchange{evidence: []RolloutEvidence{evidence}, bad: []rollout.AnnounceBad{{Service: "s", Target: "v0", Made: 1, Why: "w"}}, writeFailed: true}
	g, other := gossipWithPeer(t, k)
	g.sendRollouts(map[string]bool{"b": true})
	m, size, ok := nextMessage(t, other)
	require.True(t, ok)
	assert.Less(t, size, 2<<10)
	g.receive(m, "")
	assert.Equal(t, []RolloutReport{{Evidence: k.evidence, Bad: k.bad, WriteFailed: true}}, k.received)
	g.sendRollouts(map[string]bool{"a": true})
	_, _, ok = nextMessage(t, other)
	assert.False(t, ok, "no other delegate")
}

// A version found bad is announced to all nodes at once, and with every digest until its order
// ends.
func TestBadVersionIsAnnouncedToAll(t *testing.T) {
	w := rollout.AnnounceBad{Service: "s", Target: "v2", Made: 5, Why: "w"}
	k := &fakeExchange{}
	g, other := gossipWithPeer(t, k)
	g.AnnounceBad(w)
	m, _, ok := nextMessage(t, other)
	require.True(t, ok)
	g.receive(m, "")
	assert.Equal(t, []RolloutReport{{Bad: []rollout.AnnounceBad{w}}}, k.received)
	k.bad = []rollout.AnnounceBad{w}
	assert.Equal(t, &RolloutReport{Bad: []rollout.AnnounceBad{w}}, g.badTargets())
}
