package origin_test

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
)

func enginesOf(versions ...string) []engine.Engine {
	return lo.Map(versions, func(v string, i int) engine.Engine {
		return engine.Engine{ID: v + "-" + string(rune('a'+i)), Service: "s", Version: v}
	})
}

// Guards against a guess at the version of a stream that is not known, while any of several may have
// begun it.
func TestVersionsOfAService(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		listed  []string // first
		later   []string
		after   time.Duration
		several bool
	}{
		{"one version", []string{"1", "1"}, []string{"1"}, time.Second, false},
		{"two side by side", []string{"1", "2"}, []string{"1", "2"}, 2 * origin.Retention, true},
		{"one has gone lately", []string{"1", "2"}, []string{"2"}, time.Second, true},
		{"one has gone long ago", []string{"1", "2"}, []string{"2"}, origin.Retention + time.Second, false},
		{"replaced at once", []string{"1"}, []string{"2"}, time.Second, true},
		{"unnamed beside a named one", []string{"", "2"}, []string{"", "2"}, time.Second, true},
		{"none is left", []string{"1", "2"}, nil, time.Second, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			tracker := origin.NewTracker(func(origin.Change) {})
			tracker.Engines(enginesOf(c.listed...), start)
			tracker.Engines(enginesOf(c.later...), start)
			now := start.Add(c.after)
			assert.Equal(t, c.several, tracker.Several("s", now))
			want := lo.Ternary[origin.Finding](c.several, origin.Several{}, origin.Sole{})
			assert.Equal(t, want, tracker.Find(origin.StreamOf("t", "s", "a"), "s", now))
		})
	}
}

// Guards against streams that nobody else knows because they began before a second version appeared.
func TestStreamsOfBeforeTheSecondVersionAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	var changes []origin.Change
	tracker := origin.NewTracker(func(c origin.Change) { changes = append(changes, c) })
	before, after := origin.StreamOf("t", "s", "before"), origin.StreamOf("t", "s", "after")
	tracker.Engines(enginesOf("1"), now)
	tracker.Began(before, "s", "1", now)
	tracker.Receive([]origin.Record{{Stream: origin.StreamOf("t", "s", "foreign"), Version: "1"}}, now)
	assert.Empty(t, tracker.Unsent(), "one version: nobody has to know")
	tracker.Engines(enginesOf("1", "2"), now)
	tracker.Began(after, "s", "2", now)
	<-tracker.Urgent()
	assert.Equal(t, []origin.Record{{Stream: before, Version: "1"}, {Stream: after, Version: "2"}}, tracker.Unsent())
	assert.Empty(t, tracker.Unsent())
	assert.Equal(t, []origin.Change{{Service: "s", Versions: []string{"1", "2"}}}, changes)
}

// Guards against an origin that changes, is forgotten while its caller may return, or holds for another customer.
func TestAnOriginIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := origin.NewTracker(func(origin.Change) {})
	tracker.Engines(enginesOf("1", "2"), now)
	s := origin.StreamOf("t", "s", "a")
	tracker.Receive([]origin.Record{{Stream: s, Version: "1"}}, now)
	tracker.Receive([]origin.Record{{Stream: s, Version: "2"}}, now)
	assert.Equal(t, origin.Known{Version: "1"}, tracker.Find(s, "s", now))
	now = now.Add(origin.Retention - time.Second)
	tracker.Receive([]origin.Record{{Stream: origin.StreamOf("t", "s", "b"), Version: "2"}}, now)
	assert.Equal(t, origin.Known{Version: "1"}, tracker.Find(s, "s", now))
	for _, other := range []origin.Stream{origin.StreamOf("u", "s", "a"), origin.StreamOf("t", "u", "a"), origin.StreamOf("t", "s", "c")} {
		assert.Equal(t, origin.Several{}, tracker.Find(other, "s", now))
	}
}

// Guards against memory that grows with the number of streams.
func TestStreamsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := origin.NewTracker(func(origin.Change) {})
	tracker.Engines(enginesOf("1", "2"), now)
	const streams = 100_000
	for i := range streams {
		tracker.Began(origin.Stream(i), "s", "1", now)
	}
	known := lo.CountBy(lo.Range(streams), func(i int) bool {
		_, ok := tracker.Find(origin.Stream(i), "s", now).(origin.Known)
		return ok
	})
	assert.LessOrEqual(t, known, 2*16<<10)
	assert.Equal(t, origin.Known{Version: "1"}, tracker.Find(origin.Stream(streams-1), "s", now), "the latest stay")
	assert.LessOrEqual(t, len(tracker.Unsent()), 4<<10)
}
