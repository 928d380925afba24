package choice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// Guards against an endpoint that gets no calls for more than 15 seconds after its limit is over. Only
// an answer shows that, and nodes with a share of the limit prefer other endpoints that are as good or
// nearer. It happens under load, where few nodes write for many.
func TestLimitedEndpointIsProbedRegularly(t *testing.T) {
	now := time.Now()
	all := engines(3)
	for i := range all {
		all[i].Zone = "z1" // the node is in another zone than the limited endpoint
	}
	all[0].Zone = "z9"
	limits := limit.NewTracker(limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}, func(limit.Change) {})
	limits.Engines(all)
	p := choice.NewPicker("z1", choice.DefaultTuning()).WithColdGate(coldGate(now), cold.Rule{}).WithLimits(limits)
	limits.Named(all[0].Incarnation(), 1, now)
	pick := func(i int, at time.Time) *choice.Placement {
		r := ask(call.Call{ID: fmt.Sprint("c", i)}, all, at)
		r.Profile.Tokens = false
		placement, ok := p.Pick(r)
		require.True(t, ok)
		placement.Close(choice.Neutral, at)
		return placement
	}
	for i := range 20 {
		assert.NotEqual(t, all[0].ID, pick(i, now.Add(time.Duration(i)*100*time.Millisecond)).Engine.ID, "others are nearer, and the limit was confirmed lately")
	}
	later := now.Add(5 * time.Second)
	probe := pick(21, later)
	assert.Equal(t, all[0].ID, probe.Engine.ID, "the limit was not confirmed for a while")
	assert.NotEqual(t, all[0].ID, pick(22, later).Engine.ID, "the answer is pending")
	limits.Unnamed(all[0].Incarnation(), later, later.Add(50*time.Millisecond))
	_, named := limits.Of(all[0].Incarnation())
	assert.False(t, named)
	assert.NotEqual(t, all[0].ID, pick(23, later.Add(time.Minute)).Engine.ID, "the limit is over: chosen like the others")
}
