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

// recorder is a node's book, as the gossip knows it and as its own observer.
type recorder struct {
	*quarantine.Book
	judged int
}

func (r *recorder) Verify(engine.Engine)                              {}
func (r *recorder) EndSeen(engine.Life, []quarantine.Suspect)         {}
func (r *recorder) Judged(quarantine.Held)                            { r.judged++ }
func (r *recorder) Heard(_ string, w quarantine.Words, now time.Time) { r.Book.Heard(w, now) }

// counter is a node's socket: it counts what is told of requests, and hands it on.
type counter struct {
	net.PacketConn
	at      map[string]*Gossip
	address string
	sums    *sums
}

type sums struct{ datagrams, bytes int }

func (c counter) WriteTo(data []byte, to net.Addr) (int, error) {
	if !bytes.Contains(data, []byte(`"quarantine"`)) {
		return len(data), nil // of no concern here
	}
	m := decoded(data)
	words, _ := json.Marshal(m.Quarantine)
	c.sums.bytes += len(words)
	if m.Number == 0 {
		c.sums.datagrams++
	}
	if g, ok := c.at[to.String()]; ok {
		g.receive(m, c.address)
	}
	return len(data), nil
}

// quarantineFleet is a fleet of so many nodes in three zones.
func quarantineFleet(size int) ([]*Gossip, []*recorder, *sums) {
	all := members(size)
	for i := range all {
		all[i].Zone, all[i].Address = fmt.Sprint("z", i%3), fmt.Sprint("10.0.0.1:", 1000+i)
	}
	at, total := map[string]*Gossip{}, &sums{}
	var gossips []*Gossip
	var books []*recorder
	for _, m := range all {
		g, _ := slopeGossipOf(all, nil, m)
		g.socket = counter{at: at, address: m.Address, sums: total}
		r := &recorder{}
		r.Book = quarantine.NewBook(quarantine.DefaultRule(), r, func() quarantine.Role {
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
		gossips, books = append(gossips, g), append(books, r)
	}
	return gossips, books, total
}

// Three endpoints end under one request, each seen by four nodes, with eight calls of each:
// within two beats after the third all nodes hold it back and nothing else, at any size of
// the fleet. What is told of an end grows with those who judge, and with the nodes twice,
// where one end more would be enough and where a request is held back: each node hears it of
// those who judge in its zone. Told by each of these to all, and three times, it was 10,980
// datagrams at 300 nodes and 36,180 at 1,000.
func TestAllNodesHoldARequestBackAtAnySize(t *testing.T) {
	const witnesses, calls = 4, 8
	cases := []struct{ size, ends, all int }{ // datagrams at most: until the third end, and in all
		{10, 400, 500}, {60, 400, 600}, {300, 900, 1_700}, {1000, 2_500, 5_000},
	}
	deadly := quarantine.PrintOf("customer", "POST", "host", "/", []byte("deadly"))
	for _, c := range cases {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gossips, books, total := quarantineFleet(c.size)
				talk := func(beats int) {
					for range beats {
						for _, g := range gossips {
							writers, _ := g.choice()
							g.tellQuarantine(writers)
						}
						time.Sleep(beat)
					}
				}
				for end := range 3 {
					if end == 2 {
						assert.LessOrEqual(t, total.datagrams, c.ends)
					}
					e := engine.Engine{ID: fmt.Sprintf("i-%010x", end), Born: 1_764_722_185_123}
					for w := range witnesses {
						book := books[(end*31+w*7)%c.size]
						for call := range calls {
							body := fmt.Sprint("beside", end, w, call)
							if w+call == 0 {
								body = "deadly"
							}
							book.Cut(e, quarantine.Suspect{Print: quarantine.PrintOf("customer", "POST", "host", "/", []byte(body)), Customer: "customer", Route: "route"}, clock.Now())
						}
						book.Ended(e.Life(), clock.Now())
					}
					talk(3)
				}
				for i, b := range books {
					assert.True(t, b.Holds(deadly, clock.Now()), "node %d", i)
					assert.Len(t, b.List(clock.Now()), 1)
				}
				talk(3)
				t.Logf("%d nodes: %d datagrams, %d bytes of words in all; %d nodes judged", c.size, total.datagrams, total.bytes, lo.CountBy(books, func(r *recorder) bool { return r.judged > 0 }))
				assert.LessOrEqual(t, total.datagrams, c.all)
				from := total.datagrams
				talk(10)
				assert.Equal(t, from, total.datagrams, "nothing more is told but with the digests")
			})
		})
	}
}
