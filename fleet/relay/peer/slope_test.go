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

// The sizes of a fleet at which slopes are taken, and what grows with it.
const (
	slopeZones   = 6
	slopeTenants = 40
	slopeCalls   = 8 // in flight at each node
	beatsASecond = int(time.Second / beat)
)

// counted is a socket that counts what is sent and sends nothing.
type counted struct {
	net.PacketConn
	datagrams, bytes int
}

func (c *counted) WriteTo(data []byte, _ net.Addr) (int, error) {
	c.datagrams++
	c.bytes += len(data)
	return len(data), nil
}

// slopeGossip is one node of a fleet of so many, with calls in flight and demand.
func slopeGossip(size int, writes bool) (*Gossip, *counted) {
	all := members(size)
	for i := range all {
		all[i].Zone = fmt.Sprint("z", i%slopeZones)
		all[i].Address = fmt.Sprint("10.0.0.1:", 1000+i)
	}
	writers := Writers(all, func() []Member { return ranked(all) })
	self, _ := lo.Find(all, func(m Member) bool { return writers[m.Name] == writes })
	return slopeGossipOf(all, nil, self)
}

// slopeGossipOf is one node of a fleet whose zones lie in some regions.
func slopeGossipOf(all []Member, regions map[string]string, self Member) (*Gossip, *counted) {
	size := len(all)
	now := time.Now()
	allowance := account.NewAllowance(self.Name, self.Name+"/1", account.DefaultTuning())
	picker := choice.NewPicker(self.Zone, choice.DefaultTuning())
	var engines []engine.Engine
	for i := range size {
		engines = append(engines, engine.Engine{ID: fmt.Sprintf("i-%010x", i), Service: "s", Address: fmt.Sprint("10.0.1.1:", 1000+i), Zone: fmt.Sprint("z", i%slopeZones), Slots: 24})
	}
	listed := engine.NewDirectory(1, engines).Of("s")
	for i := range slopeCalls {
		c := call.Call{ID: fmt.Sprint(i), PromptMax: 9000, OutputMax: 50, Parts: []call.Part{{ID: "0123456789abcdef", Tokens: 2520}, {ID: fmt.Sprint("own", i), Tokens: 6000}}}
		if placed, ok := picker.Pick(choice.Request{Call: c, Engines: listed, Profile: choice.Profile{Service: "s", Tokens: true, Capacity: 347_000}, Cap: 9, Now: now}); ok {
			placed.First(100*time.Millisecond, now)
		}
	}
	prepaid := map[string]int64{}
	for i := range slopeTenants {
		prepaid[fmt.Sprint("customer", i)] = 1 << 24
	}
	allowance.Budget(prepaid)
	for tenant := range prepaid {
		allowance.Reserve(tenant, 9000, now)
	}
	g := gossipOf(self.Name, all)
	socket := &counted{}
	g.registry.self, g.picker, g.transfers, g.socket = self, picker, newTransfers(allowance), socket
	g.delegates, g.out = newDelegates(self), func() bool { return false }
	g.WithPlaces(distance.From(self.Zone, regions, distance.DefaultCosts()))
	g.registry.publish()
	return g, socket
}

// No node of a fleet of several regions sends more datagrams than where all zones are told
// alike, nor with the questions that delegates ask those that watch the store for them;
// with ten regions and 3,000 nodes no more than with six zones and 1,000.
func TestNoNodeSendsMoreForRegions(t *testing.T) {
	synctest.Test(t, noNodeSendsMoreForRegions) // beats are counted: with time between them delegates fall silent
}

func noNodeSendsMoreForRegions(t *testing.T) {
	const seconds = 9 // a whole number of rounds of all kinds
	sent := func(all []Member, regions map[string]string, self Member) float64 {
		g, socket := slopeGossipOf(all, regions, self)
		for range seconds * beatsASecond {
			g.broadcast()
		}
		return float64(socket.datagrams) / seconds
	}
	const kinds = 5 // that are followed, each by a watch a second
	roles := []struct {
		name            string
		writes, watches bool
		asks            float64
	}{{"watches", true, true, 0}, {"delegate", true, false, kinds}, {"other", false, false, 0}}
	large, _ := regional(1000, 3)
	first := ranked(large)[0]
	most := sent(large, nil, first)
	for _, c := range []struct{ size, regions int }{{64, 3}, {300, 3}, {1000, 5}, {3000, 10}} {
		all, regions := regional(c.size, c.regions)
		order := ranked(all)
		writers := Writers(all, func() []Member { return order })
		watchers := watchersOf(writers, all, order, distance.From("z0", regions, distance.DefaultCosts()), func(Member) bool { return false })
		for _, role := range roles {
			self, found := lo.Find(all, func(m Member) bool { return writers[m.Name] == role.writes && watchers[m.Name] == role.watches })
			require.True(t, found)
			before, now := sent(all, nil, self), sent(all, regions, self)+role.asks
			t.Logf("%d nodes, %d regions, %s: %.1f messages a second, alike %.1f", c.size, c.regions, role.name, now, before)
			assert.LessOrEqual(t, now, before)
			assert.LessOrEqual(t, now, most)
		}
	}
}

// BenchmarkASecondOfGossip is what one node sends in a second, and what composing it
// takes, in fleets of growing size with as many endpoints. What it hears follows: a
// node hears its zone's writers and two more, a writer its zone and the other writers.
func BenchmarkASecondOfGossip(b *testing.B) {
	for _, size := range []int{30, 100, 300, 1000} {
		for _, writes := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%s", size, lo.Ternary(writes, "writer", "other")), func(b *testing.B) {
				g, socket := slopeGossip(size, writes)
				for b.Loop() {
					for range beatsASecond {
						g.broadcast()
					}
				}
				b.ReportMetric(float64(socket.datagrams)/float64(b.N), "datagrams/s")
				b.ReportMetric(float64(socket.bytes)/float64(b.N)/1000, "kB/s")
			})
		}
	}
}
