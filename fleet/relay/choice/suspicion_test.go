package choice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// A call that may run only once avoids an endpoint that two nodes suspect, unless no other one
// can take it.
func TestNonRepeatableCallsAvoidSuspectedEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engines(3)
	reports := []suspicion.Report{{Endpoint: all[0].ID, Reporters: []suspicion.Reporter{{Node: "b", Interrupted: true}}}, {Endpoint: all[0].ID, Reporters: []suspicion.Reporter{{Node: "c", Interrupted: true}}}}
	cases := []struct {
		name      string
		announced bool
		full      bool // the others refused a call lately
		exclude   map[engine.Incarnation]bool
		want      bool // some calls go to the suspected endpoint
	}{
		{"others can take it", true, false, nil, false},
		{"others were full a moment ago", true, true, nil, false},
		{"others were tried", true, false, map[engine.Incarnation]bool{all[1].Incarnation(): true, all[2].Incarnation(): true}, true},
		{"nothing is reported", false, false, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := choice.NewPicker("z0", choice.DefaultTuning())
			if c.announced {
				b := suspicion.NewTracker("a", "z0", suspicion.DefaultRule(), func(suspicion.Avoided) {})
				b.Engines(all)
				b.Nodes(map[string]string{"a": "z0", "b": "z0", "c": "z0"})
				b.Receive("b", reports[:1], now)
				b.Receive("c", reports[1:], now)
				p.WithSuspicions(b)
			}
			for _, e := range all[1:] {
				if r := ask(call.Call{ID: e.ID}, []engine.Engine{e}, now); c.full {
					placed, ok := p.Pick(r)
					require.True(t, ok)
					placed.Close(choice.Rejected, now)
				}
			}
			there := 0
			for i := range 30 {
				r := ask(call.Call{ID: fmt.Sprint(i)}, all, now)
				r.Profile, r.Exclude = choice.Profile{Service: "s"}, c.exclude
				placed, ok := p.Pick(r)
				require.True(t, ok)
				if placed.Engine.ID == all[0].ID {
					there++
				}
			}
			assert.Equal(t, c.want, there > 0)
		})
	}
}

// A node reports its interrupted calls as such, and its other failures, but nothing if an endpoint
// refused the call as full or the caller left.
func TestFailedAttemptsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []engine.Engine{{ID: "e0", Born: 5, Service: "s", Slots: 8}, {ID: "e1", Service: "s", Slots: 8}}
	cases := []struct {
		result choice.Result
		want   []suspicion.Reporter
	}{
		{choice.Good, nil},
		{choice.Rejected, nil},
		{choice.Neutral, nil},
		{choice.Gone, nil},
		{choice.Bad, []suspicion.Reporter{{Node: "a"}}},
		{choice.Unreached, []suspicion.Reporter{{Node: "a"}}},
		{choice.Interrupted, []suspicion.Reporter{{Node: "a", Interrupted: true}}},
	}
	for _, c := range cases {
		b := suspicion.NewTracker("a", "z0", suspicion.DefaultRule(), func(suspicion.Avoided) {})
		b.Engines(all)
		p := choice.NewPicker("z0", choice.DefaultTuning()).WithSuspicions(b)
		placed, ok := p.Pick(ask(call.Call{ID: "c"}, all[:1], now))
		require.True(t, ok)
		placed.Close(c.result, now)
		var want []suspicion.Report
		if c.want != nil {
			want = []suspicion.Report{{Endpoint: "e0", Born: 5, Reporters: c.want}}
		}
		assert.Equal(t, want, b.Reports(false, now), "result %d", c.result)
	}
}
