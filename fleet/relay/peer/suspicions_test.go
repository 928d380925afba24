package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// network passes datagrams between the nodes of a fleet in one process.
type network struct {
	at                 map[string]*Gossip
	datagrams, reports int // reports: datagrams with reports on endpoints
	bytes              int // of these reports
}

// port is one node's socket on a network.
type port struct {
	net.PacketConn
	network *network
	address string
}

func (p port) WriteTo(data []byte, to net.Addr) (int, error) {
	p.network.datagrams++
	if !bytes.Contains(data, []byte(`"doubts"`)) {
		return len(data), nil // not under test
	}
	m := decoded(data)
	if len(m.Suspicions) > 0 {
		p.network.reports++
		p.network.bytes += reportSize(m, data)
	}
	if g, ok := p.network.at[to.String()]; ok {
		g.receive(m, p.address)
	}
	return len(data), nil
}

// suspicionFleet returns a fleet of size nodes in three zones that track failing endpoints.
func suspicionFleet(size, endpoints int) (*network, []*Gossip, []*suspicion.Tracker) {
	all := members(size)
	for i := range all {
		all[i].Zone, all[i].Address = fmt.Sprint("z", i%3), fmt.Sprint("10.0.0.1:", 1000+i)
	}
	engines := make([]engine.Engine, endpoints)
	for i := range engines {
		engines[i] = engine.Engine{ID: fmt.Sprintf("i-%010x", i), Born: 1_764_722_185_123, Service: "s", Zone: fmt.Sprint("z", i%3)}
	}
	wire := &network{at: map[string]*Gossip{}}
	var gossips []*Gossip
	var trackers []*suspicion.Tracker
	for _, m := range all {
		g, _ := trafficGossipOf(all, nil, m)
		g.socket = port{network: wire, address: m.Address}
		b := suspicion.NewTracker(m.Name, m.Zone, suspicion.DefaultRule(), func(suspicion.Avoided) {})
		g.number = 1 // the next two beats send no digest to all
		g.WithSuspicions(b)
		b.Engines(engines)
		b.Nodes(lo.SliceToMap(all, func(m Member) (string, string) { return m.Name, m.Zone }))
		g.choose()
		wire.at[m.Address] = g
		gossips, trackers = append(gossips, g), append(trackers, b)
	}
	return wire, gossips, trackers
}

// After calls of two nodes of a zone fail at an endpoint, all nodes of the zone avoid it
// within two beats, both in a fleet where all nodes send to each other and in one with
// delegates. Failures of one node alone, however many, make no node avoid it.
func TestFailuresAreSentToTheZone(t *testing.T) {
	cases := []struct {
		size, failing int
		want          bool
	}{{9, 2, true}, {9, 1, false}, {60, 2, true}, {60, 1, false}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d of %d nodes", c.failing, c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, gossips, trackers := suspicionFleet(c.size, 3)
				unhealthy := engine.Incarnation{ID: "i-0000000000", Born: 1_764_722_185_123}
				self := gossips[0].registry.self
				failing := lo.Filter(lo.Range(c.size), func(i int, _ int) bool { return gossips[i].registry.self.Zone == self.Zone })
				for _, i := range failing[len(failing)-c.failing:] {
					for range 5 {
						trackers[i].Observe(unhealthy, suspicion.Interrupted, time.Now())
					}
				}
				for range 2 {
					for _, g := range gossips {
						g.broadcast()
					}
					time.Sleep(beatInterval)
				}
				for i, g := range gossips {
					if g.registry.self.Zone == self.Zone {
						assert.Equal(t, c.want, trackers[i].Avoids(unhealthy, false, 0, time.Now()), g.registry.self.Name)
					}
				}
			})
		})
	}
}

// A node without failures sends no reports on endpoints, and a node without a tracker
// ignores those that it receives.
func TestNoReportsOnHealthyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wire, gossips, trackers := suspicionFleet(60, 3)
		gossips[1].suspicions = nil
		for i := range gossips {
			trackers[i].Observe(engine.Incarnation{ID: "i-0000000001", Born: 1_764_722_185_123}, suspicion.Succeeded, time.Now())
			gossips[i].broadcast()
		}
		assert.Zero(t, wire.reports)
		gossips[1].receive(message{Node: "b", Suspicions: []suspicion.Report{{Endpoint: "i-0000000001", Reporters: []suspicion.Reporter{{Node: "b", Interrupted: true}}}}}, "10.0.0.1:1000")
	})
}

// The traffic of reports on endpoints stays small at any fleet size while one endpoint
// interrupts calls of all nodes of its zone in turn, both on the busiest node (a delegate
// that sends to its zone) and on average. Time is synthetic, since reports are sent again
// after a while.
func TestSuspicionTrafficIsBounded(t *testing.T) {
	cases := []struct{ size, seconds, maxBusiest, maxMean int }{{10, 3, 6_000, 2_500}, {60, 3, 12_000, 1_000}, {300, 3, 40_000, 1_000}, {1000, 1, 130_000, 1_000}} // bytes per second
	for _, c := range cases {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seconds := c.seconds
				wire, gossips, trackers := suspicionFleet(c.size, 3)
				sent := make([]int, c.size)
				for n := range seconds * beatsPerSecond {
					for i, g := range gossips {
						if i%3 == 0 && (i/3)%5 == n%5 {
							trackers[i].Observe(engine.Incarnation{ID: "i-0000000000", Born: 1_764_722_185_123}, suspicion.Interrupted, time.Now())
						}
						from := wire.bytes
						g.broadcast()
						sent[i] += wire.bytes - from
					}
					time.Sleep(beatInterval)
				}
				busiest, mean := lo.Max(sent)/seconds, lo.Sum(sent)/seconds/c.size
				t.Logf("%d nodes: busiest %d, mean %d bytes per second", c.size, busiest, mean)
				assert.LessOrEqual(t, busiest, c.maxBusiest)
				assert.LessOrEqual(t, mean, c.maxMean)
			})
		})
	}
}

// reportSize returns the bytes that reports on endpoints add to a datagram.
func reportSize(m message, data []byte) int {
	if m.Number == 0 {
		return len(data)
	}
	reports, _ := json.Marshal(m.Suspicions)
	return len(reports)
}

// decoded decodes a datagram.
func decoded(data []byte) message {
	var m message
	_ = json.Unmarshal(data, &m)
	return m
}
