package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// Only an endpoint that closed the connection instead of answering is reported as interrupting
// calls: healthy ones occasionally fail in other ways, and a late answer may be this node's fault.
func TestFailuresAreReportedByKind(t *testing.T) {
	cases := []struct {
		name, path            string
		script                script
		reported, interrupted bool
	}{
		{"an answer", "/single/", good("x"), false, false},
		{"an answer that says so", "/single/", status(500, false), true, false},
		{"refused as full", "/single/", status(503, true), false, false},
		{"a reset", "/single/", reset, true, true},
		{"half an answer", "/single/", truncated, true, false},
		{"another call's answer", "/single/", foreign, true, false},
		{"nothing in time", "/brief/", hang, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := suspicion.NewTracker("n", "z", suspicion.DefaultRule(), func(suspicion.Avoided) {})
			f := newFleet(t, 1000, c.script)
			tracker.Engines(append([]engine.Engine{{ID: "other", Service: "s"}}, f.engines...))
			f.handler.Picker = choice.NewPicker("z", choice.DefaultTuning()).WithSuspicions(tracker)
			require.NoError(t, f.do(t, f.request(t, "GET", c.path, "")).err)
			reports := tracker.Reports(false, time.Now())
			require.Equal(t, c.reported, len(reports) == 1)
			if c.reported {
				assert.Equal(t, c.interrupted, reports[0].Reporters[0].Interrupted)
			}
		})
	}
}
