package peer

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Parameters of the fleets whose traffic is measured.
const (
	trafficZones   = 6
	trafficTenants = 40
	trafficCalls   = 8 // in flight at each node
	beatsPerSecond = int(time.Second / beatInterval)
)

// countingSocket counts what is sent and sends nothing.
type countingSocket struct {
	net.PacketConn
	datagrams, bytes int
}

func (c *countingSocket) WriteTo(data []byte, _ net.Addr) (int, error) {
	c.datagrams++
	c.bytes += len(data)
	return len(data), nil
}

// trafficGossip returns one node of a fleet of size nodes, with calls in flight and demand.
func trafficGossip(size int, writes bool) (*Gossip, *countingSocket) {
	all := members(size)
	for i := range all {
		all[i].Zone = fmt.Sprint("z", i%trafficZones)
		all[i].Address = fmt.Sprint("10.0.0.1:", 1000+i)
	}
	writers := Writers(all, func() []Member { return ranked(all) })
	self, _ := lo.Find(all, func(m Member) bool { return writers[m.Name] == writes })
	return trafficGossipOf(all, nil, self)
}

// trafficGossipOf returns one node of a fleet whose zones are in some regions.
func trafficGossipOf(all []Member, regions map[string]string, self Member) (*Gossip, *countingSocket) {
	size := len(all)
	now := time.Now()
	allowance := account.NewAllowance(self.Name, self.Name+"/1", account.DefaultTuning())
	picker := choice.NewPicker(self.Zone, choice.DefaultTuning())
	var engines []engine.Engine
	for i := range size {
		engines = append(engines, engine.Engine{ID: fmt.Sprintf("i-%010x", i), Service: "s", Address: fmt.Sprint("10.0.1.1:", 1000+i), Zone: fmt.Sprint("z", i%trafficZones), Slots: 24})
	}
	listed := engine.NewDirectory(1, engines).Of("s")
	for i := range trafficCalls {
		c := call.Call{ID: fmt.Sprint(i), PromptMax: 9000, OutputMax: 50, Parts: []call.Part{{ID: "0123456789abcdef", Tokens: 2520}, {ID: fmt.Sprint("own", i), Tokens: 6000}}}
		if placed, ok := picker.Pick(choice.Request{Call: c, Engines: listed, Profile: choice.Profile{Service: "s", Tokens: true, Capacity: 347_000}, Cap: 9, Now: now}); ok {
			placed.First(100*time.Millisecond, now)
		}
	}
	prepaid := map[string]int64{}
	for i := range trafficTenants {
		prepaid[fmt.Sprint("customer", i)] = 1 << 24
	}
	allowance.Budget(prepaid)
	for tenant := range prepaid {
		allowance.Reserve(tenant, 9000, now)
	}
	g := gossipOf(self.Name, all)
	socket := &countingSocket{}
	g.registry.self, g.picker, g.transfers, g.socket = self, picker, newTransfers(allowance), socket
	g.delegates, g.storeLost = newDelegates(self), func() bool { return false }
	g.WithPlaces(distance.From(self.Zone, regions, distance.DefaultCosts()))
	g.registry.publish()
	return g, socket
}

// No node of a fleet of several regions sends more datagrams than in a fleet of one region,
// including the requests of delegates to the nodes that watch the store for them. With ten
// regions and 3,000 nodes it sends no more than with six zones and 1,000.
func TestNoNodeSendsMoreForRegions(t *testing.T) {
	synctest.Test(t, noNodeSendsMoreForRegions) // beats take no time, or delegates would become silent
}

func noNodeSendsMoreForRegions(t *testing.T) {
	const seconds = 9 // a whole number of rounds of all kinds
	sent := func(all []Member, regions map[string]string, self Member) float64 {
		g, socket := trafficGossipOf(all, regions, self)
		for range seconds * beatsPerSecond {
			g.broadcast()
		}
		return float64(socket.datagrams) / seconds
	}
	const kinds = 5 // followed, each by one watch per second
	roles := []struct {
		name            string
		writes, watches bool
		asks            float64 // requests per second
	}{{"watches", true, true, 0}, {"delegate", true, false, kinds}, {"other", false, false, 0}}
	large, _ := regional(1000, 3)
	first := ranked(large)[0]
	limit := sent(large, nil, first)
	for _, c := range []struct{ size, regions int }{{64, 3}, {300, 3}, {1000, 5}, {3000, 10}} {
		all, regions := regional(c.size, c.regions)
		order := ranked(all)
		writers := Writers(all, func() []Member { return order })
		watchers := watchersOf(writers, all, order, distance.From("z0", regions, distance.DefaultCosts()), func(Member) bool { return false })
		for _, role := range roles {
			self, found := lo.Find(all, func(m Member) bool { return writers[m.Name] == role.writes && watchers[m.Name] == role.watches })
			require.True(t, found)
			before, now := sent(all, nil, self), sent(all, regions, self)+role.asks
			t.Logf("%d nodes, %d regions, %s: %.1f messages per second, %.1f with one region", c.size, c.regions, role.name, now, before)
			assert.LessOrEqual(t, now, before)
			assert.LessOrEqual(t, now, limit)
		}
	}
}

// BenchmarkASecondOfGossip measures what one node sends in a second, and the time to compose
// it, in fleets of growing size with as many endpoints. What a node receives follows from it:
// a node receives from its zone's writers and two more nodes, a writer from its zone and the
// other writers.
func BenchmarkASecondOfGossip(b *testing.B) {
	for _, size := range []int{30, 100, 300, 1000} {
		for _, writes := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%s", size, lo.Ternary(writes, "writer", "other")), func(b *testing.B) {
				g, socket := trafficGossip(size, writes)
				for b.Loop() {
					for range beatsPerSecond {
						g.broadcast()
					}
				}
				b.ReportMetric(float64(socket.datagrams)/float64(b.N), "datagrams/s")
				b.ReportMetric(float64(socket.bytes)/float64(b.N)/1000, "kB/s")
			})
		}
	}
}
