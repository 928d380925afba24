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

// talk says what a test gives it, and keeps what it hears.
type talk struct {
	seen []RolloutSeen
	bad  []rollout.Warn
	out  bool
	late bool

	mu    sync.Mutex
	heard []RolloutWord
}

func (k *talk) Own(time.Time) []RolloutSeen { return k.seen }

func (k *talk) Zone(time.Time) []RolloutSeen {
	return lo.Map(k.seen, func(s RolloutSeen, _ int) RolloutSeen { s.Zone = "z"; return s })
}

func (k *talk) Bad() []rollout.Warn { return k.bad }
func (k *talk) Out(time.Time) bool  { return k.out }
func (k *talk) Blind() bool         { return k.late }

func (k *talk) Heard(_ Teller, w RolloutWord, _ time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = append(k.heard, w)
}

// Each node tells the delegates of its zone, delegates tell those of other zones, too,
// and what a zone without delegates sees is told to one zone only.
func TestWhoIsToldOfRollouts(t *testing.T) {
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

// The first in the common order that is heard and reaches the store writes.
func TestTheFirstDelegateIsOneThatReachesTheStore(t *testing.T) {
	order := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	now := time.Now()
	cases := []struct {
		name   string
		chosen []string
		heard  map[string]heard
		out    bool // this node, c
		failed bool // it failed to write
		late   bool // it found the status
		want   bool
	}{
		{"another comes first", []string{"a", "c"}, map[string]heard{"a": {at: now}}, false, false, false, false},
		{"the ones before are no delegates", []string{"c", "d"}, map[string]heard{"a": {at: now}}, false, false, false, true},
		{"the one before does not reach the store", []string{"a", "c"}, map[string]heard{"a": {at: now, out: true}}, false, false, false, true},
		{"the one before failed to write", []string{"a", "c"}, map[string]heard{"a": {at: now, noWrites: true}}, false, false, false, true},
		{"the one before is silent", []string{"a", "c"}, map[string]heard{"a": {at: now.Add(-2 * firstSilent)}}, false, false, false, true},
		{"the one before was never heard", []string{"a", "c"}, nil, false, false, false, true},
		{"one of those before is fit", []string{"a", "b", "c"}, map[string]heard{"a": {at: now, out: true}, "b": {at: now}}, false, false, false, false},
		{"no delegate", []string{"a"}, nil, false, false, false, false},
		{"it does not reach the store itself", []string{"c"}, nil, true, false, false, false},
		{"it failed to write itself", []string{"c", "d"}, nil, false, true, false, false},
		{"the one before found the status", []string{"a", "c"}, map[string]heard{"a": {at: now, blind: true}}, false, false, false, true},
		{"all found it, and another comes first", []string{"a", "c"}, map[string]heard{"a": {at: now, blind: true}}, false, false, true, false},
		{"it found the status, and one that comes later saw it written", []string{"c", "d"}, map[string]heard{"d": {at: now}}, false, false, true, false},
		{"it found the status, and is alone", []string{"c", "d"}, nil, false, false, true, true},
	}
	for _, c := range cases {
		g := gossipOf("c", order)
		g.delegates = &delegates{order: order}
		g.chosen = lo.SliceToMap(c.chosen, func(name string) (string, bool) { return name, true })
		g.heard, g.out, g.rollouts = c.heard, func() bool { return c.out }, &talk{out: c.failed, late: c.late}
		assert.Equal(t, c.want, g.FirstDelegate(), c.name)
	}
}

// wired is a gossip that speaks to one other member, whose socket a test reads.
func wired(t *testing.T, k *talk) (*Gossip, net.PacketConn) {
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

// received is the next message that comes; false where none does.
func received(t *testing.T, socket net.PacketConn) (message, int, bool) {
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

func TestNothingIsToldWithoutAnOrder(t *testing.T) {
	g, other := wired(t, &talk{})
	g.tellRollouts(map[string]bool{"a": true, "b": true})
	_, _, any := received(t, other)
	assert.False(t, any)
	assert.Nil(t, g.badWord())
	g.rollouts = nil
	g.tellRollouts(map[string]bool{"a": true, "b": true})
	_, _, any = received(t, other)
	assert.False(t, any)
	assert.Nil(t, g.badWord())
}

// What is seen of an order of five routes over a thousand answers each is told in less
// than two kilobytes.
func TestEvidenceIsTold(t *testing.T) {
	seen := RolloutSeen{Target: "v2", Old: 7, LastsMs: 900, Evidence: rollout.Evidence{Service: "s", Made: 5}}
	for i := range 5 {
		r := rollout.RouteEvidence{Route: fmt.Sprint("a-long-name-of-a-route-", i)}
		for c := range rollout.Cohorts {
			r.Old[c], r.Target[c] = rollout.Count{Answers: 1000 + c, Bad: c}, rollout.Count{Answers: 100 + c, Bad: 2}
		}
		seen.Evidence.Routes = append(seen.Evidence.Routes, r)
	}
	k := &talk{seen: []RolloutSeen{seen}, bad: []rollout.Warn{{Service: "s", Target: "v0", Made: 1, Why: "w"}}, out: true}
	g, other := wired(t, k)
	g.tellRollouts(map[string]bool{"b": true})
	m, size, ok := received(t, other)
	require.True(t, ok)
	assert.Less(t, size, 2<<10)
	g.receive(m, "")
	assert.Equal(t, []RolloutWord{{Seen: k.seen, Bad: k.bad, Out: true}}, k.heard)
	g.tellRollouts(map[string]bool{"a": true})
	_, _, ok = received(t, other)
	assert.False(t, ok, "no other delegate there")
}

// A version found bad is told to all at once, and with every digest until its order ends.
func TestAVersionFoundBadIsToldToAll(t *testing.T) {
	w := rollout.Warn{Service: "s", Target: "v2", Made: 5, Why: "w"}
	k := &talk{}
	g, other := wired(t, k)
	g.TellBad(w)
	m, _, ok := received(t, other)
	require.True(t, ok)
	g.receive(m, "")
	assert.Equal(t, []RolloutWord{{Bad: []rollout.Warn{w}}}, k.heard)
	k.bad = []rollout.Warn{w}
	assert.Equal(t, &RolloutWord{Bad: []rollout.Warn{w}}, g.badWord())
}
