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

// limitCounter is a node's socket: it counts what is told of limits and of what endpoints say
// in answers, and hands it on.
type limitCounter struct {
	net.PacketConn
	at      map[string]*Gossip
	address string
	sums    *sums
}

func (c limitCounter) WriteTo(data []byte, to net.Addr) (int, error) {
	if !bytes.Contains(data, []byte(`"limits"`)) && !bytes.Contains(data, []byte(`"notices"`)) {
		return len(data), nil // of no concern here
	}
	m := decoded(data)
	limits, _ := json.Marshal(m.Limits)
	notices, _ := json.Marshal(m.Notices)
	c.sums.bytes += len(limits) + len(notices)
	c.sums.datagrams++
	if g, ok := c.at[to.String()]; ok {
		g.receive(m, c.address)
	}
	return len(data), nil
}

// limitFleet is a fleet of so many nodes in three zones.
func limitFleet(size int, engines []engine.Engine) ([]*Gossip, []*limit.Book, *sums) {
	all := members(size)
	for i := range all {
		all[i].Zone, all[i].Address = fmt.Sprint("z", i%3), fmt.Sprint("10.0.0.1:", 1000+i)
	}
	at, total := map[string]*Gossip{}, &sums{}
	var gossips []*Gossip
	var books []*limit.Book
	for _, m := range all {
		g, _ := slopeGossipOf(all, nil, m)
		g.socket = limitCounter{at: at, address: m.Address, sums: total}
		b := limit.NewBook(limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}, func(limit.Change) {})
		b.Engines(engines)
		g.WithLimits(b).WithNotices(notice.NewBook("n", notice.Rule{}, func(notice.Change) {}))
		g.notices.Engines(engines, clock.Now())
		g.choose()
		at[m.Address] = g
		gossips, books = append(gossips, g), append(books, b)
	}
	return gossips, books, total
}

// One node's answer names a limit: all nodes know at once, by a number of datagrams that grows
// with the nodes, and of its end in the same way.
func TestAllNodesLearnOfALimitAtAnySize(t *testing.T) {
	cases := []struct{ size, most int }{{10, 10}, {60, 200}, {300, 700}, {1000, 2_500}}
	e := engine.Engine{ID: "i-0123456789", Born: 1_764_722_185_123, Service: "s"}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gossips, books, total := limitFleet(c.size, []engine.Engine{e})
				tell := func() {
					for range 3 { // the teller, those who pass it on, and those who hear it of them
						for _, g := range gossips {
							writers, _ := g.choice()
							g.tellLimits(writers)
						}
					}
				}
				teller := books[c.size-1]
				teller.Named(e.Life(), 1.5, clock.Now())
				tell()
				for i, b := range books {
					got, named := b.Of(e.Life())
					assert.True(t, named, "node %d", i)
					assert.Equal(t, 1.5, got)
				}
				t.Logf("%d nodes: %d datagrams, %d bytes of words", c.size, total.datagrams, total.bytes)
				assert.LessOrEqual(t, total.datagrams, c.most)
				time.Sleep(time.Second)
				books[0].Unnamed(e.Life(), clock.Now(), clock.Now())
				tell()
				for i, b := range books {
					_, named := b.Of(e.Life())
					assert.False(t, named, "node %d", i)
				}
			})
		})
	}
}
