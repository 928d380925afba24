package notice_test

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

var (
	start = time.Unix(1000, 0)
	first = engine.Engine{ID: "e", Born: 1, Service: "s", Zone: "z"}
	later = engine.Engine{ID: "e", Born: 2, Service: "s", Zone: "z"}
	other = engine.Engine{ID: "f", Service: "s", Zone: "z"}
	rule  = notice.Rule{Serves: time.Second}
)

// at returns the time that many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTracker(changes *[]notice.Change) *notice.Tracker {
	b := notice.NewTracker("n", rule, func(c notice.Change) {
		if changes != nil {
			*changes = append(*changes, c)
		}
	})
	b.Engines([]engine.Engine{first, other}, start)
	return b
}

func leaves(b *notice.Tracker, e engine.Engine, now time.Time) bool {
	_, yes := b.Leaves(e.Incarnation(), now)
	return yes
}

// leavingReport is another node's report that the first endpoint leaves.
func leavingReport(ageMs int64) notice.Report {
	return notice.Report{Endpoint: first.ID, Born: first.Born, LeavingMs: lo.ToPtr(ageMs)}
}

// A leaving notice that this node received holds for the endpoint's incarnation, whatever
// happens to its entry. Another node's report holds for a while.
func TestHowLongALeavingNoticeHolds(t *testing.T) {
	none := func(*notice.Tracker) {}
	cases := []struct {
		name   string
		then   func(b *notice.Tracker)
		of     engine.Engine
		now    time.Time
		leaves bool
	}{
		{"no notice", none, other, at(1), false},
		{"an answer to this node", func(b *notice.Tracker) { b.Observe(first, call.Leaving{}, at(0)) }, first, at(0), true},
		{"an hour later", func(b *notice.Tracker) { b.Observe(first, call.Leaving{}, at(0)) }, first, at(3_600_000), true},
		{"another incarnation under its id", func(b *notice.Tracker) { b.Observe(first, call.Leaving{}, at(0)) }, later, at(1), false},
		{"its entry lapses, and is back", func(b *notice.Tracker) {
			b.Observe(first, call.Leaving{}, at(0))
			b.Engines([]engine.Engine{other}, at(1000))
			b.Engines([]engine.Engine{first, other}, at(120_000))
		}, first, at(130_000), true},
		{"an answer after its entry was removed", func(b *notice.Tracker) {
			b.Engines([]engine.Engine{other}, at(0))
			b.Observe(first, call.Leaving{}, at(10))
			b.Engines([]engine.Engine{first, other}, at(1000))
		}, first, at(2000), true},
		{"another node's report", func(b *notice.Tracker) { b.Receive("n", []notice.Report{leavingReport(100)}, at(100)) }, first, at(100), true},
		{"another node's report, expired", func(b *notice.Tracker) { b.Receive("n", []notice.Report{leavingReport(100)}, at(100)) }, first, at(40_000), false},
		{"another node's report, renewed by a later answer", func(b *notice.Tracker) {
			b.Receive("n", []notice.Report{leavingReport(100)}, at(100))
			b.Receive("n", []notice.Report{leavingReport(500)}, at(20_000))
		}, first, at(40_000), true},
		{"a report on another incarnation", func(b *notice.Tracker) {
			b.Receive("n", []notice.Report{{Endpoint: first.ID, Born: 7, LeavingMs: lo.ToPtr[int64](1)}}, at(100))
		}, first, at(100), false},
		{"a report on an endpoint without an entry", func(b *notice.Tracker) {
			b.Engines([]engine.Engine{other}, at(0))
			b.Receive("n", []notice.Report{leavingReport(1)}, at(100))
		}, first, at(100), false},
		{"an invalid report", func(b *notice.Tracker) { b.Receive("n", []notice.Report{leavingReport(-5)}, at(100)) }, first, at(100), false},
		{"a report that is too old", func(b *notice.Tracker) { b.Receive("n", []notice.Report{leavingReport(3_600_000)}, at(100)) }, first, at(100), false},
		{"a report without a notice", func(b *notice.Tracker) {
			b.Receive("n", []notice.Report{{Endpoint: first.ID, Born: first.Born}}, at(100))
		}, first, at(100), false},
	}
	for _, c := range cases {
		b := newTracker(nil)
		c.then(b)
		assert.Equal(t, c.leaves, leaves(b, c.of, c.now), c.name)
	}
}

// A new notice is sent once at once, and again with the digests. Only nodes that received it
// from the endpoint, or that forward, send it.
func TestSentLeavingReports(t *testing.T) {
	var changes []notice.Change
	b := newTracker(&changes)
	assert.Empty(t, b.Updates(true, at(0)))
	b.Observe(first, call.Leaving{}, at(0))
	b.Observe(first, call.Leaving{}, at(10))
	assert.Len(t, changes, 1, "it began once")
	<-b.Urgent()
	assert.Equal(t, []notice.Report{leavingReport(10)}, b.Updates(false, at(20)))
	assert.Empty(t, b.Updates(false, at(30)))
	assert.Equal(t, []notice.Report{leavingReport(190)}, b.Reports(false, at(200)))
	assert.Empty(t, b.Reports(false, at(5_000)))
	assert.Equal(t, []notice.Report{leavingReport(10_990)}, b.Reports(false, at(11_000)), "for nodes that received nothing")

	receiver := newTracker(nil)
	receiver.Receive("n", []notice.Report{leavingReport(10)}, at(20))
	assert.Empty(t, receiver.Reports(false, at(20)))
	assert.Equal(t, []notice.Report{leavingReport(10)}, receiver.Updates(true, at(20)))
	assert.Equal(t, "n", receiver.List(at(20))[0].From)
}
