package rollout_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

func TestCountsAreEncodedCompactly(t *testing.T) {
	cases := []struct {
		name   string
		counts rollout.Counts
		text   string
	}{
		{"nothing", rollout.Counts{}, "null"},
		{"the first", rollout.Counts{{Answers: 3, Bad: 1}}, "[3,1]"},
		{"a gap", rollout.Counts{{Answers: 3}, {}, {Answers: 5, Bad: 5}}, "[3,0,0,0,5,5]"},
		{"the last", rollout.Counts{rollout.Cohorts - 1: {Answers: 1}}, "[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,1,0]"},
	}
	for _, c := range cases {
		data, err := json.Marshal(c.counts)
		require.NoError(t, err, c.name)
		assert.Equal(t, c.text, string(data), c.name)
		var again rollout.Counts
		require.NoError(t, json.Unmarshal(data, &again), c.name)
		assert.Equal(t, c.counts, again, c.name)
	}
	for _, text := range []string{"[1]", "[1,2]", "[-1,0]", "[1,-1]", `"x"`, "[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,1,0,1,0]"} {
		var counts rollout.Counts
		assert.Error(t, json.Unmarshal([]byte(text), &counts), text)
	}
}

func TestStatusEqual(t *testing.T) {
	full := rollout.Status{
		State: rollout.InProgress, Target: "v2", Made: 7, Stage: rollout.Moving, Share: 0.1, Used: time.Second, Left: time.Second, PulseShare: 0.1, FullLoad: time.Second, FirstPulse: 3, Unhealthy: 4,
		RouteShares: []rollout.RouteShare{{Route: "r", Share: 0.2}}, Barred: []string{"v3"}, Writes: 2,
	}
	changes := []func(*rollout.Status){
		func(s *rollout.Status) { s.State = rollout.Completed }, func(s *rollout.Status) { s.Target = "" }, func(s *rollout.Status) { s.Made = 0 },
		func(s *rollout.Status) { s.Stage = rollout.Sampling }, func(s *rollout.Status) { s.Share = 0 }, func(s *rollout.Status) { s.Used = 0 },
		func(s *rollout.Status) { s.Left = 0 }, func(s *rollout.Status) { s.PulseShare = 0 }, func(s *rollout.Status) { s.FullLoad = 0 }, func(s *rollout.Status) { s.FirstPulse = 0 }, func(s *rollout.Status) { s.Unhealthy = 0 }, func(s *rollout.Status) { s.RouteShares = nil }, func(s *rollout.Status) { s.Barred = nil }, func(s *rollout.Status) { s.Writes = 0 },
	}
	assert.True(t, full.Equal(full))
	for i, change := range changes {
		other := full
		change(&other)
		assert.False(t, full.Equal(other), i)
	}
}
