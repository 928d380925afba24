package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// After one node's answer signals that an endpoint leaves, all nodes know it at once, with a
// number of datagrams that grows with the number of nodes.
func TestAllNodesLearnOfALeavingEndpointAtAnySize(t *testing.T) {
	cases := []struct{ size, maxDatagrams int }{{10, 10}, {60, 200}, {300, 700}, {1000, 2_500}}
	e := engine.Engine{ID: "i-0123456789", Born: 1_764_722_185_123, Service: "s"}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gossips, _, total := limitFleet(c.size, []engine.Engine{e})
				gossips[c.size-1].notices.Observe(e, call.Leaving{}, clock.Now())
				for range 3 { // the first sender, the nodes that pass it on, and those that receive it from them
					for _, g := range gossips {
						writers, _ := g.currentChoice()
						g.sendNotices(writers)
					}
				}
				for i, g := range gossips {
					_, leaves := g.notices.Leaves(e.Incarnation(), clock.Now())
					assert.True(t, leaves, "node %d", i)
				}
				t.Logf("%d nodes: %d datagrams, %d bytes of reports", c.size, total.datagrams, total.bytes)
				assert.LessOrEqual(t, total.datagrams, c.maxDatagrams)
			})
		})
	}
}

// Guards against calls of a node to an endpoint that asked it for rest, over a tunnel that it carries
// for another one.
func TestARestOverATunnelBindsTheNodeBetween(t *testing.T) {
	e := engine.Engine{ID: "i-0123456789", Born: 1_764_722_185_123, Service: "s"}
	synctest.Test(t, func(t *testing.T) {
		gossips, _, _ := limitFleet(4, []engine.Engine{e})
		between := gossips[1].registry.self.Name
		gossips[0].SendRest(between, e, 3*time.Second)
		gossips[0].SendRest("unknown", e, 3*time.Second)
		for i, g := range gossips {
			until, _, resting := g.notices.Resting(e.Incarnation(), clock.Now())
			assert.Equal(t, i == 1, resting, "node %d", i)
			if resting {
				assert.Equal(t, 3*time.Second, until.Sub(clock.Now()))
			}
		}
	})
}
