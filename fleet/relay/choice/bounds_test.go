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

// What users saw: an endpoint whose limit was over got no calls for longer than fifteen seconds.
//
// The order of events: it named a limit, and then none any more; the nodes that had a part of the
// limit went on choosing others, which were as good or nearer; no answer told them that
// it was over, and they were the only ones that could learn of it.
//
// The cause: a limit ends with an answer, and nothing saw to it that there is one.
//
// The evidence: no call at the endpoint in any second after that, beside a machine that was so
// busy that few calls came (the case of few nodes that write for many, under load).
func TestAnEndpointUnderALimitIsAskedNowAndThen(t *testing.T) {
	now := time.Now()
	all := engines(3)
	for i := range all {
		all[i].Zone = "z1" // the caller's node is in another one than the endpoint under a limit
	}
	all[0].Zone = "z9"
	limits := limit.NewBook(limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}, func(limit.Change) {})
	limits.Engines(all)
	p := choice.NewPicker("z1", choice.DefaultTuning()).WithColdGate(coldGate(now), cold.Rule{}).WithLimits(limits)
	limits.Named(all[0].Life(), 1, now)
	pick := func(i int, at time.Time) *choice.Placement {
		r := ask(call.Call{ID: fmt.Sprint("c", i)}, all, at)
		r.Profile.Tokens = false
		placement, ok := p.Pick(r)
		require.True(t, ok)
		placement.Close(choice.Neutral, at)
		return placement
	}
	for i := range 20 {
		assert.NotEqual(t, all[0].ID, pick(i, now.Add(time.Duration(i)*100*time.Millisecond)).Engine.ID, "others are nearer, and the limit was heard of lately")
	}
	later := now.Add(5 * time.Second)
	asked := pick(21, later)
	assert.Equal(t, all[0].ID, asked.Engine.ID, "nothing was heard of the limit for a while")
	assert.NotEqual(t, all[0].ID, pick(22, later).Engine.ID, "the answer is under way")
	limits.Unnamed(all[0].Life(), later, later.Add(50*time.Millisecond))
	_, named := limits.Of(all[0].Life())
	assert.False(t, named)
	assert.NotEqual(t, all[0].ID, pick(23, later.Add(time.Minute)).Engine.ID, "it is over: chosen as others are")
}
