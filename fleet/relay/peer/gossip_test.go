package peer

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// gossipOf returns the gossip of one member of a fleet, without a socket.
func gossipOf(self string, all []Member) *Gossip {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	r := NewRegistry(nil, Member{Name: self}, store.NewHealth(), 0, quiet)
	for _, m := range all {
		r.byName[m.Name] = m
	}
	r.publish()
	return &Gossip{
		registry: r, peers: map[string]peerRecord{}, delegates: newDelegates(Member{Name: self}),
		places: distance.From("", nil, distance.DefaultCosts()), storeLost: func() bool { return false }, eras: store.NewEras(),
	}
}

// In a round of beats a node that draws for others sends to every peer of its zone, never to
// many at a time, and to the writers of other zones. Other nodes send at times to the writers
// of their zone, with their budget reports, and to a few more peers.
func TestRecipientsOfARound(t *testing.T) {
	cases := []struct {
		name   string
		fleet  int
		writes bool
		limit  int // maximum peers in one beat
	}{
		{"a small fleet", 8, true, 7},
		{"a large fleet, one that draws for others", 73, true, 4 + 6},
		{"a large fleet, another", 73, false, zoneWriters + randomOthers},
		{"a fleet of hundreds, one that draws for others", 295, true, 15 + 6},
		{"a fleet of hundreds, another", 295, false, zoneWriters + randomOthers},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := members(c.fleet)
			writers := Writers(all, func() []Member { return all })
			self, ok := lo.Find(all, func(m Member) bool { return writers[m.Name] == c.writes })
			assert.True(t, ok)
			gossip := gossipOf(self.Name, all)
			gossip.registry.self = self
			sent := map[string]int{}
			for range budgetEvery * roundBeats {
				gossip.number++
				to, budgets := gossip.recipients(writers)
				assert.LessOrEqual(t, len(to), c.limit)
				if c.fleet > allWrite && len(to) > 0 {
					assert.True(t, budgets)
				}
				for _, m := range to {
					assert.NotEqual(t, self.Name, m.Name)
					sent[m.Name]++
				}
			}
			for _, m := range all {
				near := m.Zone == self.Zone
				switch {
				case m.Name == self.Name:
				case len(writers) == len(all), near && writers[m.Name], c.writes && writers[m.Name]:
					assert.GreaterOrEqual(t, sent[m.Name], 3, m)
				case near && c.writes:
					assert.GreaterOrEqual(t, sent[m.Name], 1, m)
				case !near:
					assert.Zero(t, sent[m.Name], "in another zone: %v", m)
				}
			}
		})
	}
}

// A message that exceeds a datagram is sent without optional parts.
func TestMessagesFitADatagram(t *testing.T) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer socket.Close()
	g := gossipOf("a", members(2))
	g.socket, err = net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer g.socket.Close()
	reads := make([]choice.Read, 2000)
	for i := range reads {
		reads[i] = choice.Read{Endpoint: "i-0123456789", Parts: []string{"part"}, Tokens: []int64{1}}
	}
	g.send(message{Node: "a", Number: 7, Reads: reads}, socket.LocalAddr().String())
	buffer := make([]byte, 2*maxMessage)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, _, err := socket.ReadFrom(buffer)
	require.NoError(t, err)
	var m message
	require.NoError(t, json.Unmarshal(buffer[:n], &m))
	assert.Equal(t, uint64(7), m.Number)
	assert.Empty(t, m.Reads)
}

// Nodes report their demand to their zone's writers, and these send each other sums. The total
// known to all must count each node's demand once.
func TestFleetDemandIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // demand decays with time, which does not advance here
		all := members(295)
		for i := range all {
			all[i].Address = fmt.Sprint("10.0.0.1:", 1000+i)
		}
		writers := Writers(all, func() []Member { return ranked(all) })
		now := time.Now()
		socket := &countingSocket{} // requests are dropped
		gossips := map[string]*Gossip{}
		total := 0.0
		for i, m := range all {
			p := account.NewAllowance(m.Name, m.Name+"/1", account.DefaultTuning())
			p.Budget(map[string]int64{tenant: 1 << 30})
			for at := 20; at > 0; at-- { // ten seconds, each node at its own rate
				p.Reserve(tenant, int64(100+i), now.Add(-time.Duration(at)*500*time.Millisecond))
			}
			g := gossipOf(m.Name, all)
			g.registry.self, g.transfers, g.socket = m, newTransfers(p), socket
			gossips[m.Name] = g
			total += p.BudgetReports(now)[tenant].Rate
		}
		for range 3 { // a writer's report depends on what it received in the previous round
			reports := map[string]map[string]account.BudgetReport{}
			for name, g := range gossips {
				reports[name] = g.refreshBudgets(writers)
			}
			for _, from := range all {
				for _, to := range all {
					near := from.Zone == to.Zone
					if to.Name != from.Name && writers[to.Name] && (near || writers[from.Name]) {
						gossips[to.Name].transfers.record(from.Address, reports[from.Name], now)
					}
				}
			}
		}
		for name := range writers {
			report := gossips[name].refreshBudgets(writers)[tenant]
			assert.InEpsilon(t, total, report.All, 0.02, name)
		}
		// A node that draws for no other takes the total from its writers, which includes its
		// own share.
		self, _ := lo.Find(all, func(m Member) bool { return !writers[m.Name] })
		g := gossips[self.Name]
		for _, m := range all {
			if writers[m.Name] && m.Zone == self.Zone {
				g.transfers.record(m.Address, gossips[m.Name].refreshBudgets(writers), now)
			}
		}
		g.refreshBudgets(writers)
		h := g.transfers.allowance.State(tenant)
		assert.InEpsilon(t, total, h.Rate+h.Others, 0.02)
	})
}

// The total demand falls again when nodes report less: no node's own report may return to it
// as the demand of others.
func TestDemandThatIsOverIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := members(73)
		writers := Writers(all, func() []Member { return ranked(all) })
		var pair []*Gossip
		for _, m := range all {
			if writers[m.Name] && len(pair) < 2 {
				p := account.NewAllowance(m.Name, m.Name+"/1", account.DefaultTuning())
				p.Budget(map[string]int64{tenant: 1000})
				g := gossipOf(m.Name, all)
				g.registry.self, g.transfers = m, newTransfers(p)
				pair = append(pair, g)
			}
		}
		now := time.Now()
		pair[0].transfers.record("a third", map[string]account.BudgetReport{tenant: {Rate: 500}}, now)
		total := func(g *Gossip) float64 { return g.refreshBudgets(writers)[tenant].All }
		for i := range 4 {
			from, to := pair[i%2], pair[1-i%2]
			to.transfers.record("the other", from.refreshBudgets(writers), now)
		}
		assert.Positive(t, total(pair[0]))
		pair[0].transfers.record("a third", map[string]account.BudgetReport{tenant: {Rate: 1}}, now)
		for i := range 6 {
			from, to := pair[i%2], pair[1-i%2]
			to.transfers.record("the other", from.refreshBudgets(writers), now)
		}
		assert.LessOrEqual(t, total(pair[0]), 1.0)
	})
}

// A node with calls at every endpoint of a large fleet still sends messages that fit a
// datagram: they cover the endpoints with the most in flight.
func TestMessageOfManyEndpointsFitsADatagram(t *testing.T) {
	digests := map[string]choice.Digest{}
	for i := range 1000 {
		digests[fmt.Sprintf("i-%08x", i)] = choice.Digest{InFlight: i, Waiting: 123_456, Paused: 0.05, Streams: 12.34}
	}
	data, err := encode(message{Node: "a", Number: 7, Digests: digests})
	require.NoError(t, err)
	var m message
	require.NoError(t, json.Unmarshal(data, &m))
	assert.Len(t, m.Digests, maxDigests)
	for id, d := range m.Digests {
		assert.GreaterOrEqual(t, d.InFlight, 1000-maxDigests, id)
	}
}
