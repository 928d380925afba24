package logs_test

import (
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/ctl/logs"
)

// The lines of two nodes about three orders: one reverted, one deleted and one invalid. The lines of the
// second node come first.
const rolloutLog = `{"timestamp":"2026-12-02T10:00:00.2Z","message":"rollout in force","fields":{"node":"b","service":"s","target":"v2","made":5,"revision":5,"durationMs":12000,"state":"ordered","stage":"sampling","share":0}}
{"timestamp":"2026-12-02T10:00:01.3Z","message":"rollout in force","fields":{"node":"b","service":"s","target":"v2","made":5,"revision":9,"durationMs":12000,"state":"in-progress","stage":"sampling","share":0.05,"usedMs":900}}
{"timestamp":"2026-12-02T10:00:03.1Z","message":"version found bad: it gets nothing","fields":{"node":"b","service":"s","target":"v2","made":5,"by":"a","why":"route \"r\""}}
{"timestamp":"2026-12-02T10:00:03.5Z","message":"rollout in force","fields":{"node":"b","service":"s","target":"v2","made":5,"revision":14,"durationMs":12000,"state":"reverted","stage":"sampling","share":0.05,"usedMs":3000}}
{"timestamp":"2026-12-02T10:00:00.1Z","message":"rollout in force","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":5,"durationMs":12000,"state":"ordered","stage":"sampling","share":0}}
{"timestamp":"2026-12-02T10:00:01Z","message":"status of a rollout written","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":5,"durationMs":12000,"toState":"in-progress","toStage":"sampling","toShare":0.05,"atMs":900,"at":9,"why":"the target has endpoints","written":true,"evidence":{}}}
{"timestamp":"2026-12-02T10:00:01.1Z","message":"rollout in force","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":9,"durationMs":12000,"state":"in-progress","stage":"sampling","share":0.05,"usedMs":900}}
{"timestamp":"2026-12-02T10:00:02Z","message":"rollout watched","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":9,"evidence":{"r":[50,0,9,4]}}}
{"timestamp":"2026-12-02T10:00:02.5Z","message":"status of a rollout not written","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":9}}
{"timestamp":"2026-12-02T10:00:03.2Z","message":"status of a rollout written","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":9,"toState":"reverted","toStage":"sampling","toShare":0.05,"atMs":3000,"at":14,"why":"bad: route \"r\"","written":true,"evidence":{"r":[90,1,15,8],"q":[3,0,1,0]}}}
{"timestamp":"2026-12-02T10:01:00Z","message":"rollout in force","fields":{"node":"a","service":"p","target":"v3","made":20,"revision":20,"durationMs":8000,"state":"ordered","stage":"sampling","share":0}}
{"timestamp":"2026-12-02T10:01:01Z","message":"rollout taken away","fields":{"node":"a","service":"p","target":"v3","made":20,"revision":20,"durationMs":8000,"state":"ordered"}}
{"timestamp":"2026-12-02T10:02:00Z","message":"rollout that makes no sense: it changes nothing","fields":{"node":"a","service":"p","target":"","made":30,"revision":30,"durationMs":8000,"fault":"it names no version"}}
{"timestamp":"2026-12-02T10:02:01Z","message":"call ended","fields":{"node":"a","service":"p"}}
`

func TestRolloutsAreGroupedByOrder(t *testing.T) {
	lines, err := logs.Read(strings.NewReader(rolloutLog))
	require.NoError(t, err)
	all := logs.Rollouts(lines)
	require.Len(t, all, 3)
	at := func(ms int) time.Time { return time.Date(2026, 12, 2, 10, 0, 0, ms*int(time.Millisecond), time.UTC) }
	r := all[0]
	assert.Equal(t, "s v2 reverted", r.Service+" "+r.Target+" "+r.State)
	assert.Equal(t, at(100), r.FirstObserved)
	assert.EqualValues(t, 12000, r.DurationMs)
	assert.Equal(t, `bad: route "r"`, r.Why)
	assert.Equal(t, 1, r.RefusedWrites)
	assert.Equal(t, []logs.RouteAnswers{{Route: "q", Old: 3, Target: 1}, {Route: "r", Old: 90, OldBad: 1, Target: 15, TargetBad: 8}}, r.Answers)
	assert.Equal(t, []logs.BadTargetReport{{At: at(3100), Node: "b", Reporter: "a", Why: `route "r"`}}, r.BadReports)
	steps := []struct {
		at     time.Time
		state  string
		share  float64
		used   int64
		writer string
		nodes  int
		last   string
		lastMs int64
	}{
		{at(100), "ordered", 0, 0, "", 2, "b", 100},
		{at(1000), "in-progress", 0.05, 900, "a", 2, "b", 300},
		{at(3200), "reverted", 0.05, 3000, "a", 1, "b", 300},
	}
	require.Len(t, r.Steps, len(steps))
	for i, want := range steps {
		s := r.Steps[i]
		assert.Equal(t, want.at, s.At)
		assert.Equal(t, want.state, s.State)
		assert.Equal(t, want.share, s.Share)
		assert.Equal(t, want.used, s.ElapsedMs)
		assert.Equal(t, want.writer, s.Writer)
		assert.Equal(t, want.nodes, s.Nodes)
		assert.Equal(t, want.last, s.LastNode)
		assert.Equal(t, want.lastMs, s.LastDelayMs)
	}
	assert.Equal(t, "taken away", all[1].State)
	assert.Equal(t, "without effect: it names no version", all[2].State+": "+all[2].Why)
}

// The store is restored from a backup, so that its revision numbers go back while its era goes up; the steps
// of the rollout must still be listed in the order of time.
func TestRolloutStepsAreOrderedByEra(t *testing.T) {
	const log = `{"timestamp":"2026-12-03T10:00:00Z","message":"rollout in force","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":5,"era":1,"state":"ordered"}}
{"timestamp":"2026-12-03T10:00:01Z","message":"rollout in force","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":9,"era":1,"state":"in-progress"}}
{"timestamp":"2026-12-03T10:00:04Z","message":"status of a rollout written","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":9,"toState":"reverted","at":7,"atEra":2,"why":"bad","written":true}}
{"timestamp":"2026-12-03T10:00:04.1Z","message":"rollout in force","fields":{"node":"a","service":"s","target":"v2","made":5,"revision":7,"era":2,"state":"reverted"}}
`
	lines, err := logs.Read(strings.NewReader(log))
	require.NoError(t, err)
	all := logs.Rollouts(lines)
	require.Len(t, all, 1)
	assert.Equal(t, []string{"ordered", "in-progress", "reverted"}, lo.Map(all[0].Steps, func(s logs.RolloutStep, _ int) string { return s.State }))
	assert.Equal(t, "reverted", all[0].State)
}
