package choice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
)

// fragileNodes returns a picker for each node of a fleet in front of a fragile service.
func fragileNodes(nodes int, now time.Time) []*choice.Picker {
	names := lo.Times(nodes, func(i int) string { return fmt.Sprint("n", i) })
	return lo.Map(names, func(name string, _ int) *choice.Picker {
		g := bound.NewGate(name)
		g.Nodes(names, now)
		t := fragile.NewTracker(func(fragile.Change) {})
		t.Observe("s", 4, now)
		return choice.NewPicker("z", choice.DefaultTuning()).WithColdGate(g, cold.Rule{}).WithFragile(t)
	})
}

func fragileRequest(i int, engines []engine.Engine, now time.Time) choice.Request {
	return choice.Request{Call: call.Call{ID: fmt.Sprint("c", i)}, Engines: engines, Profile: choice.Profile{Service: "s"}, Cap: 64, Now: now}
}

// Guards against nodes that together send a fragile endpoint more calls at a time than it runs, or
// that leave its slots unused.
func TestNodesShareTheSlotsOfFragileEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ nodes, endpoints, slots int }{{1, 3, 2}, {4, 10, 2}, {7, 4, 6}, {59, 20, 16}, {7, 9, 64}} {
		engines := engine.NewDirectory(1, lo.Times(c.endpoints, func(i int) engine.Engine {
			return engine.Engine{ID: fmt.Sprintf("e%02d", i), Service: "s", Slots: c.slots}
		})).Of("s")
		inFlight := map[string]int{}
		for _, p := range fragileNodes(c.nodes, now) {
			for i := 0; ; i++ {
				placed, ok := p.Pick(fragileRequest(i, engines, now))
				if !ok {
					break
				}
				inFlight[placed.Engine.ID]++
			}
		}
		for _, e := range engines {
			assert.Equal(t, c.slots, inFlight[e.ID], "%+v %s", c, e.ID)
		}
	}
}

// Guards against a node that refuses most of its calls while the slots of others are free.
func TestANodeUsesAPartOfWhatAFragileEndpointReportsAsFree(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := engine.NewDirectory(1, []engine.Engine{{ID: "e", Service: "s", Slots: 64}}).Of("s")
	p := fragileNodes(7, now)[0]
	placed, ok := p.Pick(fragileRequest(0, engines, now))
	assert.True(t, ok)
	placed.Report(call.Load{Running: 8, Slots: 64}, now)
	sent := 1
	for ; ok; sent++ {
		_, ok = p.Pick(fragileRequest(sent, engines, now))
	}
	assert.InDelta(t, 64/7+(64-8)/7, sent-1, 1)
}

// Guards against calls that come again at once to a fragile endpoint that has rejected one.
func TestAFragileEndpointThatRejectedACallRests(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := engine.NewDirectory(1, []engine.Engine{{ID: "e", Service: "s", Slots: 4}}).Of("s")
	p := fragileNodes(1, now)[0]
	placed, ok := p.Pick(fragileRequest(1, engines, now))
	assert.True(t, ok)
	placed.Close(choice.Rejected, now)
	_, ok = p.Pick(fragileRequest(2, engines, now.Add(900*time.Millisecond)))
	assert.False(t, ok)
	assert.Equal(t, "1 no-room", p.LeftOut(fragileRequest(2, engines, now.Add(900*time.Millisecond))).String())
	_, ok = p.Pick(fragileRequest(3, engines, now.Add(1100*time.Millisecond)))
	assert.True(t, ok)
}

// Guards against calls that wait in vain: no more than this node's share can take, and none that lacks something else.
func TestAsManyCallsWaitForRoomAsThisNodeHasSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := engine.NewDirectory(1, lo.Times(6, func(i int) engine.Engine {
		return engine.Engine{ID: fmt.Sprint("e", i), Service: "s", Slots: 2}
	})).Of("s")
	p := fragileNodes(4, now)[0]
	taken := 0
	for ; ; taken++ {
		if _, ok := p.Pick(fragileRequest(taken, engines, now)); !ok {
			break
		}
	}
	assert.Equal(t, taken, p.AwaitsRoom(fragileRequest(99, engines, now)))
	leaving := lo.Map(engines, func(e engine.Engine, _ int) engine.Engine { e.State = engine.Draining; return e })
	assert.Zero(t, p.AwaitsRoom(fragileRequest(99, leaving, now)))
	assert.Zero(t, p.AwaitsRoom(fragileRequest(99, nil, now)))
	later := now.Add(time.Minute) // the endpoints say no more that they are fragile
	assert.Zero(t, p.AwaitsRoom(fragileRequest(99, engines, later)))
}
