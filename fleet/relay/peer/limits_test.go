package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// limitPort is a node's socket that counts reports on limits and on signals of endpoints, and
// delivers them.
type limitPort struct {
	net.PacketConn
	at      map[string]*Gossip
	address string
	traffic *traffic
}

func (p limitPort) WriteTo(data []byte, to net.Addr) (int, error) {
	if !bytes.Contains(data, []byte(`"limits"`)) && !bytes.Contains(data, []byte(`"notices"`)) && !bytes.Contains(data, []byte(`"rests"`)) {
		return len(data), nil // not under test
	}
	m := decoded(data)
	limits, _ := json.Marshal(m.Limits)
	notices, _ := json.Marshal(m.Notices)
	p.traffic.bytes += len(limits) + len(notices)
	p.traffic.datagrams++
	if g, ok := p.at[to.String()]; ok {
		g.receive(m, p.address)
	}
	return len(data), nil
}

// limitFleet returns a fleet of size nodes in three zones.
func limitFleet(size int, engines []engine.Engine) ([]*Gossip, []*limit.Tracker, *traffic) {
	all := members(size)
	for i := range all {
		all[i].Zone, all[i].Address = fmt.Sprint("z", i%3), fmt.Sprint("10.0.0.1:", 1000+i)
	}
	at, total := map[string]*Gossip{}, &traffic{}
	var gossips []*Gossip
	var trackers []*limit.Tracker
	for _, m := range all {
		g, _ := trafficGossipOf(all, nil, m)
		g.socket = limitPort{at: at, address: m.Address, traffic: total}
		b := limit.NewTracker(limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}, func(limit.Change) {})
		b.Engines(engines)
		g.WithLimits(b).WithNotices(notice.NewTracker("n", notice.Rule{}, func(notice.Change) {}))
		g.notices.Engines(engines, clock.Now())
		g.choose()
		at[m.Address] = g
		gossips, trackers = append(gossips, g), append(trackers, b)
	}
	return gossips, trackers, total
}

// After one node's answer names a limit, all nodes know it at once, with a number of
// datagrams that grows with the number of nodes. The end of a limit spreads in the same way.
func TestAllNodesLearnOfALimitAtAnySize(t *testing.T) {
	cases := []struct{ size, maxDatagrams int }{{10, 10}, {60, 200}, {300, 700}, {1000, 2_500}}
	e := engine.Engine{ID: "i-0123456789", Born: 1_764_722_185_123, Service: "s"}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gossips, trackers, total := limitFleet(c.size, []engine.Engine{e})
				exchange := func() {
					for range 3 { // the first sender, the nodes that pass it on, and those that receive it from them
						for _, g := range gossips {
							writers, _ := g.currentChoice()
							g.sendLimits(writers)
						}
					}
				}
				first := trackers[c.size-1]
				first.Named(e.Incarnation(), 1.5, clock.Now())
				exchange()
				for i, b := range trackers {
					got, named := b.Of(e.Incarnation())
					assert.True(t, named, "node %d", i)
					assert.Equal(t, 1.5, got)
				}
				t.Logf("%d nodes: %d datagrams, %d bytes of reports", c.size, total.datagrams, total.bytes)
				assert.LessOrEqual(t, total.datagrams, c.maxDatagrams)
				time.Sleep(time.Second)
				trackers[0].Unnamed(e.Incarnation(), clock.Now(), clock.Now())
				exchange()
				for i, b := range trackers {
					_, named := b.Of(e.Incarnation())
					assert.False(t, named, "node %d", i)
				}
			})
		})
	}
}
