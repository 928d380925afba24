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

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// recorder is a node's tracker of requests and its own observer.
type recorder struct {
	*quarantine.Tracker
	judged int
}

func (r *recorder) Verify(engine.Engine)                                 {}
func (r *recorder) EndObserved(engine.Incarnation, []quarantine.Suspect) {}
func (r *recorder) Judged(quarantine.Held)                               { r.judged++ }
func (r *recorder) Receive(_ string, w quarantine.Report, now time.Time) { r.Tracker.Receive(w, now) }

// quarantinePort is a node's socket that counts reports on requests, and delivers them.
type quarantinePort struct {
	net.PacketConn
	at      map[string]*Gossip
	address string
	traffic *traffic
}

// traffic counts datagrams and the bytes of the reports in them.
type traffic struct{ datagrams, bytes int }

func (p quarantinePort) WriteTo(data []byte, to net.Addr) (int, error) {
	if !bytes.Contains(data, []byte(`"quarantine"`)) {
		return len(data), nil // not under test
	}
	m := decoded(data)
	reports, _ := json.Marshal(m.Quarantine)
	p.traffic.bytes += len(reports)
	if m.Number == 0 {
		p.traffic.datagrams++
	}
	if g, ok := p.at[to.String()]; ok {
		g.receive(m, p.address)
	}
	return len(data), nil
}

// quarantineFleet returns a fleet of size nodes in three zones.
func quarantineFleet(size int) ([]*Gossip, []*recorder, *traffic) {
	all := members(size)
	for i := range all {
		all[i].Zone, all[i].Address = fmt.Sprint("z", i%3), fmt.Sprint("10.0.0.1:", 1000+i)
	}
	at, total := map[string]*Gossip{}, &traffic{}
	var gossips []*Gossip
	var trackers []*recorder
	for _, m := range all {
		g, _ := trafficGossipOf(all, nil, m)
		g.socket = quarantinePort{at: at, address: m.Address, traffic: total}
		r := &recorder{}
		r.Tracker = quarantine.NewTracker(quarantine.DefaultRule(), r, func() quarantine.Role {
			switch {
			case !g.Writes():
				return quarantine.Witness
			case g.WriterCount() < size:
				return quarantine.Judge
			}
			return quarantine.Peer
		})
		r.Engines(lo.Times(10, func(i int) engine.Engine {
			return engine.Engine{ID: fmt.Sprintf("i-%010x", i), Born: 1_764_722_185_123}
		}), clock.Now())
		g.WithQuarantine(r)
		g.choose()
		at[m.Address] = g
		gossips, trackers = append(gossips, g), append(trackers, r)
	}
	return gossips, trackers, total
}

// Three endpoints end under one request, each observed by four nodes with eight calls each.
// Within two beats after the third end all nodes quarantine that request and no other one, at
// any fleet size. The number of datagrams per end grows with the judges; only twice does it grow with
// the nodes, when one more end would suffice and when the request is quarantined, since each
// node receives it from the judges of its zone. When each judge sent it to all nodes, three
// times, it took 10,980 datagrams at 300 nodes and 36,180 at 1,000.
func TestAllNodesQuarantineARequestAtAnySize(t *testing.T) {
	const witnesses, calls = 4, 8
	cases := []struct{ size, ends, all int }{ // maximum datagrams: until the third end, and in total
		{10, 400, 500}, {60, 400, 600}, {300, 900, 1_700}, {1000, 2_500, 5_000},
	}
	harmful := quarantine.FingerprintOf("customer", "POST", "host", "/", []byte("deadly"))
	for _, c := range cases {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gossips, trackers, total := quarantineFleet(c.size)
				exchange := func(beats int) {
					for range beats {
						for _, g := range gossips {
							writers, _ := g.currentChoice()
							g.sendQuarantine(writers)
						}
						time.Sleep(beatInterval)
					}
				}
				for end := range 3 {
					if end == 2 {
						assert.LessOrEqual(t, total.datagrams, c.ends)
					}
					e := engine.Engine{ID: fmt.Sprintf("i-%010x", end), Born: 1_764_722_185_123}
					for w := range witnesses {
						tracker := trackers[(end*31+w*7)%c.size]
						for call := range calls {
							body := fmt.Sprint("beside", end, w, call)
							if w+call == 0 {
								body = "deadly"
							}
							tracker.Interrupted(e, []quarantine.Suspect{{Fingerprint: quarantine.FingerprintOf("customer", "POST", "host", "/", []byte(body)), Customer: "customer", Route: "route"}}, clock.Now())
						}
						tracker.Ended(e.Incarnation(), clock.Now())
					}
					exchange(3)
				}
				for i, b := range trackers {
					assert.True(t, b.IsQuarantined(harmful, clock.Now()), "node %d", i)
					assert.Len(t, b.List(clock.Now()), 1)
				}
				exchange(3)
				t.Logf("%d nodes: %d datagrams, %d bytes of reports in total; %d nodes judged", c.size, total.datagrams, total.bytes, lo.CountBy(trackers, func(r *recorder) bool { return r.judged > 0 }))
				assert.LessOrEqual(t, total.datagrams, c.all)
				from := total.datagrams
				exchange(10)
				assert.Equal(t, from, total.datagrams, "nothing more is sent except with the digests")
			})
		})
	}
}
