package suspicion

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

var testStart = time.Unix(1000, 0)

// newTestTracker returns the tracker of node n-000 in zone z0, in a fleet of 60 nodes in three
// zones, with the given number of endpoints; n-000 to n-005 are delegates.
func newTestTracker(endpoints int) *Tracker {
	b := NewTracker(nodeName(0), zoneName(0), DefaultRule(), func(Avoided) {})
	zones := map[string]string{}
	for i := range 60 {
		zones[nodeName(i)] = zoneName(i)
	}
	b.Nodes(zones)
	b.Engines(modelEngines(endpoints))
	return b
}

// interruptedReport is a node's report of its own call that an endpoint has just interrupted.
func interruptedReport(reporter, endpoint int) Report {
	return Report{Endpoint: incarnationOf(endpoint).ID, Born: 1, Reporters: []Reporter{{Node: nodeName(reporter), Interrupted: true}}}
}

func failedReport(reporter, endpoint int) Report {
	w := interruptedReport(reporter, endpoint)
	w.Reporters[0].Interrupted = false
	return w
}

func (t *Tracker) avoidsOnce(endpoint int, now time.Time) bool {
	return t.Avoids(incarnationOf(endpoint), false, 0, now)
}

// An endpoint is avoided only if two nodes report failures, or one does beside an own failure. A
// single node is never enough, however often it reports and whichever other nodes it names.
func TestReportsThatSuffice(t *testing.T) {
	receive := func(b *Tracker, from int, w Report) { b.Receive(nodeName(from), []Report{w}, testStart) }
	cases := []struct {
		name string
		do   func(b *Tracker)
		want bool
	}{
		{"two nodes", func(b *Tracker) { receive(b, 3, interruptedReport(3, 0)); receive(b, 6, interruptedReport(6, 0)) }, true},
		{"one node", func(b *Tracker) { receive(b, 3, interruptedReport(3, 0)) }, false},
		{"one node, again and again", func(b *Tracker) {
			for range 100 {
				receive(b, 3, interruptedReport(3, 0))
			}
		}, false},
		{"one node that names others", func(b *Tracker) {
			receive(b, 3, interruptedReport(3, 0))
			receive(b, 3, interruptedReport(6, 0))
			receive(b, 3, interruptedReport(9, 0))
		}, false},
		{"two nodes that name the same one", func(b *Tracker) { receive(b, 3, interruptedReport(6, 0)); receive(b, 9, interruptedReport(6, 0)) }, false},
		{"two delegates that name two nodes", func(b *Tracker) {
			for _, from := range []int{3, 9} {
				receive(b, from, interruptedReport(6, 0))
				receive(b, from, interruptedReport(12, 0))
			}
		}, true},
		{"an own failure", func(b *Tracker) { b.Observe(incarnationOf(0), Interrupted, testStart) }, false},
		{"an own failure and one node", func(b *Tracker) {
			b.Observe(incarnationOf(0), Interrupted, testStart)
			receive(b, 3, interruptedReport(3, 0))
		}, true},
		{"one node and an own failure", func(b *Tracker) {
			receive(b, 3, interruptedReport(3, 0))
			b.Observe(incarnationOf(0), Interrupted, testStart)
		}, true},
		{"others name this node", func(b *Tracker) { receive(b, 3, interruptedReport(0, 0)); receive(b, 6, interruptedReport(0, 0)) }, false},
		{"another node names this one, and one reports", func(b *Tracker) { receive(b, 3, interruptedReport(3, 0)); receive(b, 6, interruptedReport(0, 0)) }, false},
		{"unknown nodes", func(b *Tracker) { receive(b, 98, interruptedReport(98, 0)); receive(b, 99, interruptedReport(99, 0)) }, false},
		{"failed answers of two nodes: healthy endpoints have some", func(b *Tracker) { receive(b, 3, failedReport(3, 0)); receive(b, 6, failedReport(6, 0)) }, false},
		{"failed answers of a third of the zone", func(b *Tracker) {
			for _, from := range []int{3, 6, 9, 12, 15, 18, 21} {
				receive(b, from, failedReport(from, 0))
			}
		}, true},
		{"failed answers of a sixth of the zone", func(b *Tracker) {
			for _, from := range []int{3, 6, 9, 12} {
				receive(b, from, failedReport(from, 0))
			}
		}, false},
		{"two nodes, against own successes", func(b *Tracker) {
			for range 3 {
				b.Observe(incarnationOf(0), Succeeded, testStart)
			}
			receive(b, 3, interruptedReport(3, 0))
			receive(b, 6, interruptedReport(6, 0))
		}, false},
		{"two nodes of another zone than the endpoint and this node", func(b *Tracker) { receive(b, 1, interruptedReport(1, 0)); receive(b, 4, interruptedReport(4, 0)) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestTracker(3)
			c.do(b)
			assert.Equal(t, c.want, b.avoidsOnce(0, testStart))
			assert.False(t, b.avoidsOnce(1, testStart))
			assert.False(t, b.avoidsOnce(2, testStart))
		})
	}
}

// Reports that are too old, or from the future, have no effect.
func TestOldReportsHaveNoEffect(t *testing.T) {
	cases := []struct {
		name  string
		ageMs int64
		want  bool
	}{{"just now", 0, true}, {"a second ago", 900, true}, {"long ago", 1600, false}, {"in the future", -1, false}, {"beyond any time", 1 << 62, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestTracker(3)
			for _, from := range []int{3, 6} {
				w := interruptedReport(from, 0)
				w.Reporters[0].AgeMs = c.ageMs
				b.Receive(nodeName(from), []Report{w}, testStart)
			}
			assert.Equal(t, c.want, b.avoidsOnce(0, testStart))
		})
	}
}

// The suspicion of an incarnation does not carry over to the next one under the same id: neither
// reports nor own failures nor the suspicion period.
func TestRestartedEndpointIsNotSuspected(t *testing.T) {
	b := newTestTracker(3)
	b.Receive(nodeName(3), []Report{interruptedReport(3, 0)}, testStart)
	b.Observe(incarnationOf(0), Interrupted, testStart)
	assert.True(t, b.avoidsOnce(0, testStart))
	all := modelEngines(3)
	all[0].Born = 2
	b.Engines(all)
	next := all[0].Incarnation()
	assert.False(t, b.Avoids(next, false, 0, testStart))
	b.Receive(nodeName(6), []Report{interruptedReport(6, 0)}, testStart) // late: of the old incarnation
	b.Receive(nodeName(9), []Report{interruptedReport(9, 0)}, testStart)
	assert.False(t, b.Avoids(next, false, 0, testStart))
	assert.False(t, b.avoidsOnce(0, testStart))
	assert.Empty(t, b.Reports(true, testStart))
	w := interruptedReport(3, 0)
	w.Born = 2
	b.Receive(nodeName(3), []Report{w}, testStart)
	assert.False(t, b.Avoids(next, false, 0, testStart), "one report on the new incarnation beside an own failure of the old one")
}

// A node that is partitioned or overloaded fails at many endpoints. It must not report them, and
// the reports of such a node must be ignored.
func TestNodeWithFailedLinkIsIgnored(t *testing.T) {
	for _, endpoints := range []int{2, 3, 8, 140} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			reporter := newTestTracker(endpoints)
			for e := range endpoints {
				reporter.Observe(incarnationOf(e), Interrupted, testStart)
			}
			assert.Empty(t, reporter.Reports(true, testStart))
			b := newTestTracker(endpoints)
			for e := range endpoints {
				for _, from := range []int{3, 6} { // two such nodes, whose reports arrive one after the other
					b.Receive(nodeName(from), []Report{interruptedReport(from, e)}, testStart)
				}
			}
			avoidedCount := 0
			for e := range endpoints {
				if b.avoidsOnce(e, testStart) {
					avoidedCount++
				}
			}
			assert.LessOrEqual(t, avoidedCount, max(endpoints/3, 1))
			later := testStart.Add(2100 * time.Millisecond)                              // the periods started by the first reports are over
			for at := testStart; !at.After(later); at = at.Add(300 * time.Millisecond) { // the nodes go on reporting
				for e := range endpoints {
					for _, from := range []int{3, 6} {
						b.Receive(nodeName(from), []Report{interruptedReport(from, e)}, at)
					}
				}
			}
			for e := range endpoints {
				assert.False(t, b.avoidsOnce(e, later), "endpoint %d", e)
			}
		})
	}
}

// An overloaded node and a node with false reports together must not take out a healthy endpoint: the
// overloaded one observes no interrupted calls, and reports nothing if its calls fail everywhere.
func TestOverloadedNodeAndFalseReports(t *testing.T) {
	b, late := newTestTracker(3), newTestTracker(3)
	late.self = nodeName(6)
	for at := testStart; at.Before(testStart.Add(5 * time.Second)); at = at.Add(100 * time.Millisecond) {
		for e := range 3 {
			late.Observe(incarnationOf(e), Failed, at)
			b.Observe(incarnationOf(e), Succeeded, at)
			b.Receive(nodeName(3), []Report{interruptedReport(3, e)}, at)
			assert.False(t, b.avoidsOnce(e, at))
		}
		b.Receive(nodeName(6), late.Reports(false, at), at)
	}
}

// Reports take out at most a third of a service's endpoints at a time, and never the only one.
func TestReportsLeaveMostOfAService(t *testing.T) {
	for endpoints, limit := range map[int]int{1: 0, 2: 1, 3: 1, 6: 2, 30: 10} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			b := newTestTracker(endpoints)
			for e := range endpoints { // different nodes, so that none of them suspects many
				for i := range 2 {
					from := 3 + 3*((2*e+i)%19)
					b.Receive(nodeName(from), []Report{interruptedReport(from, e)}, testStart)
				}
			}
			avoidedCount := 0
			for e := range endpoints {
				if b.avoidsOnce(e, testStart) {
					avoidedCount++
				}
			}
			assert.LessOrEqual(t, avoidedCount, limit)
			assert.Equal(t, endpoints > 1, avoidedCount > 0)
		})
	}
}

// When a zone is partitioned, its nodes suspect all endpoints of the other side, and vice versa.
// Whichever of these reports arrive, no endpoint on a node's own side is avoided.
func TestPartitionedZoneKeepsItsOwnEndpoints(t *testing.T) {
	for _, endpoints := range []int{3, 9} { // one or several in each zone
		b := newTestTracker(endpoints) // of z0
		for from := 1; from < 60; from++ {
			for e := range endpoints {
				if (zoneName(from) == zoneName(0)) != (zoneName(e) == zoneName(0)) {
					b.Receive(nodeName(from), []Report{interruptedReport(from, e)}, testStart)
				}
			}
		}
		for e := range endpoints {
			b.Observe(incarnationOf(e), map[bool]Outcome{true: Succeeded, false: Interrupted}[zoneName(e) == zoneName(0)], testStart)
		}
		for e := 0; e < endpoints; e += modelZones {
			assert.False(t, b.avoidsOnce(e, testStart), "endpoint %d of the own zone, of %d", e, endpoints)
		}
	}
}

// An endpoint that fails again soon after a suspicion period is avoided for longer, up to a
// bound; one that fails again much later is not.
func TestRepeatedFailuresAvoidForLonger(t *testing.T) {
	b := newTestTracker(3)
	b.rule.Spread = 0 // as the first of all nodes
	avoidedFor := func(now time.Time) time.Duration {
		b.Receive(nodeName(3), []Report{interruptedReport(3, 0)}, now)
		b.Receive(nodeName(6), []Report{interruptedReport(6, 0)}, now)
		lasted := time.Duration(0)
		for b.avoidsOnce(0, now.Add(lasted)) {
			lasted += 10 * time.Millisecond
		}
		return lasted
	}
	now := testStart
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		lasted := avoidedFor(now)
		assert.Equal(t, want*time.Second, lasted)
		now = now.Add(lasted + 200*time.Millisecond)
	}
	assert.Equal(t, time.Second, avoidedFor(now.Add(11*time.Second)))
}

// Nodes return to an endpoint one after the other, so that the first ones find out for the
// others whether it has recovered.
func TestNodesReturnOneAfterTheOther(t *testing.T) {
	back := map[time.Duration]int{} // nodes, by quarter of the spread
	for i := range 60 {
		b := newTestTracker(3)
		b.self = fmt.Sprint("turn", i)
		b.Receive(nodeName(3), []Report{interruptedReport(3, 0)}, testStart)
		b.Receive(nodeName(6), []Report{interruptedReport(6, 0)}, testStart)
		lasted := time.Duration(0)
		for b.avoidsOnce(0, testStart.Add(lasted)) {
			lasted += 10 * time.Millisecond
		}
		back[(lasted-time.Second)/(250*time.Millisecond)]++
	}
	for quarter := range time.Duration(4) {
		assert.InDelta(t, 15, back[quarter], 9, "quarter %d", quarter)
	}
}

// Only a few idempotent calls probe an endpoint, and only late in the suspicion period. If they
// fail, it stays avoided.
func TestFewIdempotentCallsProbe(t *testing.T) {
	b := newTestTracker(3)
	b.Receive(nodeName(3), []Report{interruptedReport(3, 0)}, testStart)
	b.Receive(nodeName(6), []Report{interruptedReport(6, 0)}, testStart)
	probes := func(now time.Time, idempotent bool) int {
		n := 0
		for key := range uint64(100) {
			if !b.Avoids(incarnationOf(0), idempotent, key, now) {
				n++
			}
		}
		return n
	}
	late := testStart.Add(900 * time.Millisecond)
	assert.Zero(t, probes(testStart.Add(100*time.Millisecond), true))
	assert.Zero(t, probes(late, false))
	assert.Equal(t, 50, probes(late, true))
	b.Observe(incarnationOf(0), Interrupted, late)
	assert.Zero(t, probes(late.Add(400*time.Millisecond), true), "probes keep their interval")
	assert.True(t, b.avoidsOnce(0, testStart.Add(1500*time.Millisecond)))
}

// A message is bounded in endpoints, and in nodes per endpoint.
func TestReportsAreBounded(t *testing.T) {
	b := newTestTracker(140)
	for e := range 60 {
		for from := 3; from < 60; from += 3 {
			b.Receive(nodeName(from), []Report{interruptedReport(from, e)}, testStart)
		}
	}
	reports := b.Reports(true, testStart)
	assert.LessOrEqual(t, len(reports), maxReports)
	for _, w := range reports {
		assert.LessOrEqual(t, len(w.Reporters), maxReporters)
	}
}

// A node forwards only first-hand reports of its zone. For an endpoint of another zone it
// forwards what two of that zone's delegates sent.
func TestOnlyFirstHandReportsAreForwarded(t *testing.T) {
	b := newTestTracker(3)
	b.Receive(nodeName(3), []Report{interruptedReport(3, 0), interruptedReport(9, 0)}, testStart)
	b.Receive(nodeName(6), []Report{interruptedReport(6, 0)}, testStart)
	b.Receive(nodeName(1), []Report{interruptedReport(1, 0)}, testStart)
	assert.Equal(t, []Report{{Endpoint: "e0", Born: 1, Reporters: []Reporter{{nodeName(3), 0, true}, {nodeName(6), 0, true}}}}, b.Reports(true, testStart))
	assert.Empty(t, b.Reports(false, testStart))
	far := []Report{interruptedReport(4, 1), interruptedReport(7, 1)}
	b.Receive(nodeName(1), far, testStart)
	b.Receive(nodeName(4), far[1:], testStart) // a second sender for one of them
	reports := b.Reports(true, testStart)
	assert.Len(t, reports, 1, "a third of three endpoints is avoided, and that is e0")
	b = newTestTracker(3)
	b.Receive(nodeName(1), far, testStart)
	b.Receive(nodeName(4), far[1:], testStart)
	assert.Equal(t, []Report{{Endpoint: "e1", Born: 1, Reporters: []Reporter{{nodeName(7), 0, true}}}}, b.Reports(true, testStart))
}

// An endpoint that interrupts calls is avoided instead of one that only fails some of them.
func TestInterruptingEndpointTakesPrecedence(t *testing.T) {
	b := newTestTracker(3)
	for from := 3; from <= 24; from += 3 {
		b.Receive(nodeName(from), []Report{failedReport(from, 0)}, testStart)
	}
	assert.True(t, b.avoidsOnce(0, testStart))
	for _, from := range []int{27, 30} {
		b.Receive(nodeName(from), []Report{interruptedReport(from, 1)}, testStart)
	}
	assert.True(t, b.avoidsOnce(1, testStart))
	assert.False(t, b.avoidsOnce(0, testStart))
}

// An unlisted endpoint is neither recorded nor reported.
func TestUnlistedEndpointsAreDropped(t *testing.T) {
	b := newTestTracker(3)
	b.Observe(engine.Incarnation{ID: "gone", Born: 1}, Interrupted, testStart)
	b.Receive(nodeName(3), []Report{{Endpoint: "gone", Born: 1, Reporters: []Reporter{{Node: nodeName(3), Interrupted: true}}}}, testStart)
	assert.Empty(t, b.own)
	assert.Empty(t, b.received)
}
