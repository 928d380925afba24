package limit_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

var (
	start = time.Unix(1000, 0)
	first = engine.Engine{ID: "e", Born: 1, Service: "s"}
	other = engine.Engine{ID: "f", Service: "s"}
)

// at returns the time that many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTracker(changes *[]limit.Change) *limit.Tracker {
	b := limit.NewTracker(testRule, func(c limit.Change) {
		if changes != nil {
			*changes = append(*changes, c)
		}
	})
	b.Engines([]engine.Engine{first, other})
	return b
}

func expectLimit(t *testing.T, b *limit.Tracker, perSecond float64) {
	t.Helper()
	got, ok := b.Of(first.Incarnation())
	assert.True(t, ok)
	assert.Equal(t, perSecond, got)
}

func expectNoLimit(t *testing.T, b *limit.Tracker) {
	t.Helper()
	_, ok := b.Of(first.Incarnation())
	assert.False(t, ok)
}

func TestLimitEndsWithAnAnswerToALaterCall(t *testing.T) {
	var changes []limit.Change
	b := newTracker(&changes)
	b.Unnamed(first.Incarnation(), at(0), at(5))
	assert.Empty(t, changes, "endpoints that name no limit are not tracked")
	b.Named(first.Incarnation(), 2, at(100))
	expectLimit(t, b, 2)
	_, ok := b.Of(other.Incarnation())
	assert.False(t, ok)
	b.Unnamed(first.Incarnation(), at(90), at(150))
	expectLimit(t, b, 2) // the answer may be from before the limit
	b.Named(first.Incarnation(), 2, at(200))
	b.Named(first.Incarnation(), 0.5, at(300))
	expectLimit(t, b, 0.5)
	b.Unnamed(first.Incarnation(), at(250), at(400))
	expectNoLimit(t, b)
	b.Named(first.Incarnation(), 1, at(500))
	b.Unnamed(first.Incarnation(), at(450), at(600))
	expectLimit(t, b, 1) // sent before it named one again
	assert.Equal(t, []bool{true, true, false, true}, lo.Map(changes, func(c limit.Change, _ int) bool { return c.Named }))
	assert.Equal(t, []float64{0, 2, 0.5, 0}, lo.Map(changes, func(c limit.Change, _ int) float64 { return c.Before }))
}

func TestLimitBelongsToOneIncarnation(t *testing.T) {
	b := newTracker(nil)
	b.Named(engine.Incarnation{ID: "unknown"}, 1, at(0))
	b.Named(engine.Incarnation{ID: first.ID, Born: 7}, 1, at(0))
	assert.Empty(t, b.List(at(1)))
	b.Named(first.Incarnation(), 1, at(0))
	reborn := first
	reborn.Born = 2
	b.Engines([]engine.Engine{reborn, other})
	assert.Empty(t, b.List(at(1)), "another incarnation is under no limit")
	_, ok := b.Of(reborn.Incarnation())
	assert.False(t, ok)
}

// rate returns a pointer to the rate.
func rate(perSecond float64) *float64 { return &perSecond }

func TestReportsOfOtherNodes(t *testing.T) {
	reportOf := func(perSecond *float64, ageMs int64) []limit.Report {
		return []limit.Report{{Endpoint: first.ID, Born: first.Born, PerSecond: perSecond, AgeMs: ageMs}}
	}
	cases := []struct {
		name    string
		reports []limit.Report
		want    float64 // below zero: none
	}{
		{"a lower limit", reportOf(rate(1), 0), 1},
		{"a limit of zero", reportOf(rate(0), 0), 0},
		{"an older one than this node's", reportOf(rate(1), 600), 4},
		{"its end", reportOf(nil, 10), -1},
		{"an end from before", reportOf(nil, 600), 4},
		{"below zero", reportOf(rate(-1), 0), 4},
		{"not a number", reportOf(rate(math.NaN()), 0), 4},
		{"infinite", reportOf(rate(math.Inf(1)), 0), 4},
		{"from the future", reportOf(rate(1), -1), 4},
		{"too old to count", reportOf(rate(1), math.MaxInt64), 4},
		{"of another incarnation", []limit.Report{{Endpoint: first.ID, Born: 9, PerSecond: rate(1)}}, 4},
		{"of an endpoint that is not listed", []limit.Report{{Endpoint: "x", PerSecond: rate(1)}}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTracker(nil)
			b.Named(first.Incarnation(), 4, at(500))
			b.Receive("peer", c.reports, at(1000))
			if c.want < 0 {
				expectNoLimit(t, b)
				return
			}
			expectLimit(t, b, c.want)
		})
	}
}

// A node sends what its answers signaled: changes at once, and then with the digests for a
// while. Only a node that forwards also sends what it received.
func TestSentReports(t *testing.T) {
	b := newTracker(nil)
	assert.Nil(t, b.Reports(true, at(0)))
	b.Named(first.Incarnation(), 1.5, at(0))
	select {
	case <-b.Urgent():
	default:
		assert.Fail(t, "updates are urgent")
	}
	want := []limit.Report{{Endpoint: "e", Born: 1, PerSecond: rate(1.5), AgeMs: 20}}
	assert.Equal(t, want, b.Updates(false, at(20)))
	assert.Empty(t, b.Updates(false, at(30)), "sent once")
	assert.Equal(t, want, b.Reports(false, at(20)))
	assert.Len(t, b.Reports(false, at(1000)), 1)
	b.Named(first.Incarnation(), 1.5, at(2000))
	assert.Empty(t, b.Reports(false, at(2000)), "nothing new")
	assert.Empty(t, b.Updates(false, at(2000)))
	b.Named(first.Incarnation(), 1.5, at(11_000))
	assert.Len(t, b.Reports(false, at(11_000)), 1, "again, for nodes that received nothing")

	listener := newTracker(nil)
	listener.Receive("n", want, at(50))
	expectLimit(t, listener, 1.5)
	assert.Empty(t, listener.Reports(false, at(60)))
	assert.Len(t, listener.Reports(true, at(60)), 1)
	assert.Len(t, listener.Updates(true, at(60)), 1)
	data, err := json.Marshal(want)
	require.NoError(t, err)
	assert.JSONEq(t, `[{"e":"e","b":1,"r":1.5,"a":20}]`, string(data))
}

// A node that missed the end of a limit learns of it from a later report.
func TestMissedEndIsSentAgain(t *testing.T) {
	b, listener := newTracker(nil), newTracker(nil)
	b.Named(first.Incarnation(), 1, at(0))
	listener.Receive("n", b.Reports(false, at(0)), at(0))
	b.Unnamed(first.Incarnation(), at(100), at(200))
	b.Unnamed(first.Incarnation(), at(11_000), at(11_010))
	listener.Receive("n", b.Reports(false, at(11_020)), at(11_020))
	expectNoLimit(t, listener)
}

// A node without a share that receives nothing for long probes whether the limit is over. With
// more nodes each probes less often; together they use at most half of the limit.
func TestSilenceLeadsToProbes(t *testing.T) {
	cases := []struct {
		perSecond float64
		nodes     int
		after     time.Duration
	}{{1, 8, 30 * time.Second}, {1, 300, 600 * time.Second}, {0, 4, 80 * time.Second}, {0.5, 60, 240 * time.Second}}
	for _, c := range cases {
		b := newTracker(nil)
		b.Named(first.Incarnation(), c.perSecond, start)
		assert.False(t, b.MayProbe(first.Incarnation(), c.nodes, start.Add(c.after-time.Second)), "%+v", c)
		assert.True(t, b.MayProbe(first.Incarnation(), c.nodes, start.Add(c.after)), "%+v", c)
		b.Placed(first.Incarnation(), start.Add(c.after))
		assert.False(t, b.MayProbe(first.Incarnation(), c.nodes, start.Add(2*c.after-time.Second)), "%+v", c)
		if c.perSecond > 0 {
			assert.LessOrEqual(t, float64(c.nodes)/c.after.Seconds(), max(c.perSecond/2, 8.0/30), "%+v", c)
		}
	}
}

// Refused callers retry each at their own time, at the rate of the limits. Those without a slot
// get the maximum delay.
func TestRetriesFollowTheLimits(t *testing.T) {
	r := limit.NewRetrySchedule()
	assert.Equal(t, 500*time.Millisecond, r.After("s", 2, at(0)))
	assert.Equal(t, time.Second, r.After("s", 2, at(0)))
	assert.Equal(t, 500*time.Millisecond, r.After("another", 2, at(0)))
	assert.Equal(t, 600*time.Millisecond, r.After("s", 2, at(900)))
	for range 50 {
		assert.LessOrEqual(t, r.After("s", 2, at(900)), 10*time.Second)
	}
	assert.Equal(t, 10*time.Second, r.After("s", 2, at(900)))
	assert.Equal(t, 10*time.Second, r.After("s", 0, at(900)))
	assert.Equal(t, 300*time.Millisecond, r.After("many", 1000, at(0)), "never below the minimum delay")
}
