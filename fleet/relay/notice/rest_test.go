package notice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
)

// askForRest lets the first endpoint ask this node for rest.
func askForRest(b *notice.Tracker, length time.Duration, ms int) {
	b.Observe(first, call.Rest{For: length}, at(ms))
}

// restReport is another node's report of a rest that it was asked for.
func restReport(ms int64) notice.Report {
	return notice.Report{Endpoint: first.ID, Born: first.Born, RestMs: ms}
}

// A node that was asked for rest sends nothing until the latest end, and then one call at a time
// until one is accepted. A node that received a report of the rest uses the endpoint last.
func TestUseOfARestingEndpoint(t *testing.T) {
	none := func(*notice.Tracker) {}
	three := func(b *notice.Tracker) { askForRest(b, 3*time.Second, 0) }
	cases := []struct {
		name string
		then func(b *notice.Tracker)
		of   engine.Engine
		now  time.Time
		use  notice.Use
	}{
		{"nothing was asked", none, first, at(1), notice.Free},
		{"asked", three, first, at(0), notice.Closed},
		{"just before the end", three, first, at(2_999), notice.Closed},
		{"another endpoint", three, other, at(10), notice.Free},
		{"another incarnation under its id", three, later, at(10), notice.Free},
		{"at the end: the slots of other nodes", three, first, at(3_000), notice.LastResort},
		{"after all slots: a probe", three, first, at(5_000), notice.Probe},
		{"without a probe", three, first, at(6_500), notice.Free},
		{"the first call is pending", func(b *notice.Tracker) { three(b); b.Placed(first.Incarnation(), at(5_000)) }, first, at(5_500), notice.LastResort},
		{"the first call was not answered in time", func(b *notice.Tracker) { three(b); b.Placed(first.Incarnation(), at(5_500)) }, first, at(6_600), notice.Free},
		{"the first call was accepted", func(b *notice.Tracker) { three(b); b.Accepted(first.Incarnation(), at(5_000)) }, first, at(5_100), notice.Free},
		{"a call sent before the rest was accepted", func(b *notice.Tracker) { three(b); b.Accepted(first.Incarnation(), at(-10)) }, first, at(20), notice.Closed},
		{"asked again, for less", func(b *notice.Tracker) { three(b); askForRest(b, time.Second, 10) }, first, at(2_000), notice.Closed},
		{"asked again, for longer", func(b *notice.Tracker) { three(b); askForRest(b, 5*time.Second, 10) }, first, at(5_000), notice.Closed},
		{"asked again by the first call after it", func(b *notice.Tracker) { three(b); askForRest(b, 3*time.Second, 5_000) }, first, at(7_900), notice.Closed},
		{"its entry lapses, and is back", func(b *notice.Tracker) {
			three(b)
			b.Engines([]engine.Engine{other}, at(100))
			b.Engines([]engine.Engine{first, other}, at(1_000))
		}, first, at(1_100), notice.Closed},
		{"another node was asked", func(b *notice.Tracker) { b.Receive("n", []notice.Report{restReport(3_000)}, at(0)) }, first, at(100), notice.LastResort},
		{"another node was asked, and its rest is over", func(b *notice.Tracker) { b.Receive("n", []notice.Report{restReport(3_000)}, at(0)) }, first, at(6_500), notice.Free},
		{"another node was asked for a day: counts for half a minute", func(b *notice.Tracker) { b.Receive("n", []notice.Report{restReport(86_400_000)}, at(0)) }, first, at(33_500), notice.Free},
		{"both were asked, the other node for longer", func(b *notice.Tracker) {
			askForRest(b, time.Second, 0)
			b.Receive("n", []notice.Report{restReport(3_000)}, at(0))
		}, first, at(2_000), notice.LastResort},
		{"a report on another incarnation", func(b *notice.Tracker) {
			b.Receive("n", []notice.Report{{Endpoint: first.ID, Born: 9, RestMs: 3_000}}, at(0))
		}, first, at(100), notice.Free},
		{"an invalid report", func(b *notice.Tracker) { b.Receive("n", []notice.Report{restReport(-1)}, at(0)) }, first, at(100), notice.Free},
		{"a report beyond the maximum rest", func(b *notice.Tracker) { b.Receive("n", []notice.Report{restReport(1e12)}, at(0)) }, first, at(100), notice.Free},
	}
	for _, c := range cases {
		b := newTracker(nil)
		c.then(b)
		assert.Equal(t, c.use, b.Use(c.of.Incarnation(), c.now), c.name)
	}
}

// A rest is sent when it begins, unless the others know of one. It is over once a call was accepted.
func TestSentRestReports(t *testing.T) {
	var changes []notice.Change
	b := newTracker(&changes)
	askForRest(b, 3*time.Second, 0)
	askForRest(b, 3*time.Second, 10)
	assert.Len(t, changes, 1, "it began once")
	assert.Equal(t, []notice.Report{restReport(2_990)}, b.Updates(false, at(20)))
	assert.Empty(t, b.Updates(false, at(30)))
	assert.Equal(t, []notice.Report{restReport(2_810)}, b.Reports(false, at(200)))
	assert.Empty(t, b.Reports(false, at(2_000)))
	b.Accepted(first.Incarnation(), at(3_500))
	assert.Equal(t, notice.Ended{Engine: first}, changes[1])
	assert.Empty(t, b.List(at(3_600)))

	receiver := newTracker(nil)
	receiver.Receive("n", []notice.Report{restReport(3_000)}, at(0))
	assert.Equal(t, []notice.Report{restReport(3_000)}, receiver.Updates(true, at(0)), "a delegate forwards")
	askForRest(receiver, time.Second, 100)
	assert.Empty(t, receiver.Updates(false, at(100)), "the others know of the longer one")
	until, length, resting := receiver.Resting(first.Incarnation(), at(200))
	assert.True(t, resting)
	assert.Equal(t, at(1_100), until)
	assert.Equal(t, time.Second, length)
}

// Nodes that were asked at the same time return one after the other.
func TestNodesReturnOneAfterTheOther(t *testing.T) {
	const nodes = 60
	waiting := map[int]int{} // by tenth of a second after the end
	for i := range nodes {
		b := notice.NewTracker(string(rune('a'+i)), rule, func(notice.Change) {})
		b.Engines([]engine.Engine{first}, start)
		b.Observe(first, call.Rest{For: 3 * time.Second}, at(0))
		for ms := 3_000; b.Use(first.Incarnation(), at(ms)) > notice.Probe; ms += 100 {
			waiting[(ms-3_000)/100]++
		}
	}
	assert.GreaterOrEqual(t, waiting[0], nodes*8/10, "few return at once")
	assert.LessOrEqual(t, waiting[19], nodes/10, "nearly all have returned after two seconds")
}

// Guards against a rest that a new incarnation requested before its entry was read, and that is dropped with the ended one.
func TestARestOfTheLastMomentPassesToTheNextIncarnation(t *testing.T) {
	for _, c := range []struct {
		name   string
		asked  int // ms before the entry of the next incarnation is read
		closed bool
	}{{"just before its entry", 3, true}, {"long before", 1_500, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTracker(nil)
			b.Engines([]engine.Engine{first, other}, at(0))
			askForRest(b, 3*time.Second, 2_000-c.asked)
			b.Engines([]engine.Engine{later, other}, at(2_000))
			assert.Equal(t, c.closed, b.Use(later.Incarnation(), at(2_100)) == notice.Closed)
			assert.Equal(t, notice.Free, b.Use(other.Incarnation(), at(2_100)))
		})
	}
}
