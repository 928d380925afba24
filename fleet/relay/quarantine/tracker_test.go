package quarantine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

var noon = time.Unix(1000, 0)

// notifications records the notifications of a Tracker.
type notifications struct {
	verified     []engine.Engine
	endsObserved int
	judged       []Held
}

func (o *notifications) Verify(e engine.Engine)                    { o.verified = append(o.verified, e) }
func (o *notifications) EndObserved(engine.Incarnation, []Suspect) { o.endsObserved++ }
func (o *notifications) Judged(h Held)                             { o.judged = append(o.judged, h) }

func fixedRole(r Role) func() Role { return func() Role { return r } }

// node is one node's Tracker with a clock that the test advances.
type node struct {
	*Tracker
	*notifications
	now time.Time
}

func newNode(r Role) *node {
	n := &node{notifications: &notifications{}, now: noon}
	n.Tracker = NewTracker(DefaultRule(), n.notifications, fixedRole(r))
	n.Engines(endpointsOf(100, 1), noon)
	return n
}

func endpointOf(i int, born int64) engine.Engine {
	return engine.Engine{ID: fmt.Sprintf("e%02d", i), Born: born, Service: "s"}
}

func endpointsOf(n int, born int64) []engine.Engine {
	return lo.Times(n, func(i int) engine.Engine { return endpointOf(i, born) })
}

func fingerprintOf(name string) Fingerprint {
	return FingerprintOf("customer", "POST", "host", "/", []byte(name))
}

// ordered returns two requests in the order of their fingerprints.
func ordered() (first, second string) {
	a, b := fingerprintOf("one"), fingerprintOf("two")
	if bytes.Compare(a[:], b[:]) < 0 {
		return "one", "two"
	}
	return "two", "one"
}

func suspects(far Progress, names ...string) []Suspect {
	return lo.Map(names, func(name string, _ int) Suspect {
		return Suspect{Fingerprint: fingerprintOf(name), Progress: far, Customer: "customer", Route: "r"}
	})
}

// endUnder ends an endpoint under requests, one second after the previous step.
func (n *node) endUnder(endpoint int, under ...Suspect) {
	n.now = n.now.Add(time.Second)
	n.endNow(endpoint, under...)
}

func (n *node) endNow(endpoint int, under ...Suspect) {
	e := endpointOf(endpoint, 1)
	for _, s := range under {
		n.Interrupted(e, []Suspect{s}, n.now)
	}
	n.Ended(e.Incarnation(), n.now)
}

func (n *node) serve(name string) {
	n.now = n.now.Add(100 * time.Millisecond)
	n.Served(fingerprintOf(name), n.now)
}

func (n *node) holds(name string) bool { return n.IsQuarantined(fingerprintOf(name), n.now) }

// Guards against quarantining requests that merely ran where endpoints ended, or missing the
// one to which three ends are attributed.
func TestWhichRequestsAreQuarantined(t *testing.T) {
	first, second := ordered()
	alone := func(n *node, times int) {
		for i := range times {
			n.endUnder(i, suspects(Nothing, "deadly")...)
		}
	}
	cases := []struct {
		name string
		do   func(n *node)
		held []string
		not  []string
	}{
		{"two ends", func(n *node) { alone(n, 2) }, nil, []string{"deadly"}},
		{"three ends", func(n *node) { alone(n, 3) }, []string{"deadly"}, nil},
		{"three ends, with different others each time", func(n *node) {
			for i := range 3 {
				n.endUnder(i, suspects(Nothing, "deadly", fmt.Sprint("beside", i))...)
			}
		}, []string{"deadly"}, []string{"beside0", "beside1", "beside2"}},
		{"one present at three of four ends", func(n *node) {
			for i := range 4 {
				n.endUnder(i, suspects(Nothing, lo.Ternary(i == 1, []string{"deadly"}, []string{"deadly", "beside"})...)...)
			}
		}, []string{"deadly"}, []string{"beside"}},
		{"one partly answered each time", func(n *node) {
			for i := range 3 {
				n.endUnder(i, append(suspects(Begun, "beside"), suspects(Nothing, "deadly")...)...)
			}
		}, []string{"deadly"}, []string{"beside"}},
		{"one that ends endpoints during its answer", func(n *node) {
			for i := range 3 {
				n.endUnder(i, suspects(Begun, "deadly", fmt.Sprint("beside", i))...)
			}
		}, []string{"deadly"}, []string{"beside0"}},
		{"one underway at four ends", func(n *node) {
			for i := range 4 {
				n.endUnder(i, suspects(Underway, "deadly")...)
			}
		}, nil, []string{"deadly"}},
		{"one underway at five ends", func(n *node) {
			for i := range 5 {
				n.endUnder(i, suspects(Underway, "deadly")...)
			}
		}, []string{"deadly"}, nil},
		{"one served in between", func(n *node) {
			alone(n, 2)
			n.serve("deadly")
			n.endUnder(2, suspects(Nothing, "deadly")...)
		}, nil, []string{"deadly"}},
		{"one served after each end", func(n *node) {
			for i := range 10 {
				n.endUnder(i, suspects(Nothing, "beside")...)
				n.serve("beside")
			}
		}, nil, []string{"beside"}},
		{"three endpoints at the same moment", func(n *node) {
			n.now = n.now.Add(time.Second)
			for i := range 3 {
				n.endNow(i, suspects(Nothing, "beside")...)
			}
		}, nil, []string{"beside"}},
		{"the same end reported again", func(n *node) {
			for range 3 {
				n.endUnder(0, suspects(Nothing, "beside")...)
			}
		}, nil, []string{"beside"}},
		{"interrupted calls at running endpoints", func(n *node) {
			for i := range 5 {
				n.Interrupted(endpointOf(i, 1), suspects(Nothing, "beside"), n.now)
				n.now = n.now.Add(time.Second)
			}
		}, nil, []string{"beside"}},
		{"two always present together: the first is tried", func(n *node) {
			for i := range 3 {
				n.endUnder(i, suspects(Nothing, first, second)...)
			}
		}, []string{second}, []string{first}},
		{"two always present together, the first is harmful", func(n *node) {
			for i := range 3 {
				n.endUnder(i, suspects(Nothing, first, second)...)
			}
			n.endUnder(3, suspects(Nothing, first)...)
		}, []string{first}, []string{second}},
		{"two always present together, the first is not harmful", func(n *node) {
			for i := range 3 {
				n.endUnder(i, suspects(Nothing, first, second)...)
			}
			n.serve(first)
		}, []string{second}, []string{first}},
		{"ends that have expired", func(n *node) {
			alone(n, 2)
			n.now = n.now.Add(DefaultRule().Memory)
			n.endUnder(2, suspects(Nothing, "deadly")...)
		}, nil, []string{"deadly"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(Peer)
			c.do(n)
			for _, name := range c.held {
				assert.True(t, n.holds(name), name)
			}
			for _, name := range c.not {
				assert.False(t, n.holds(name), name)
			}
			assert.Len(t, n.List(n.now), len(c.held))
		})
	}
}

// Guards against missing an end. It is confirmed by a check of the endpoint, or by its entry,
// which is gone or shows a later time of birth.
func TestWhenAnEndpointHasEnded(t *testing.T) {
	n := newNode(Peer)
	deadly := suspects(Nothing, "deadly")[0]
	n.Interrupted(endpointOf(0, 1), []Suspect{deadly}, n.now)
	n.Interrupted(endpointOf(0, 1), []Suspect{deadly}, n.now)
	assert.Len(t, n.verified, 1, "one check for calls that were interrupted together")
	assert.Zero(t, n.endsObserved)
	n.Ended(endpointOf(0, 1).Incarnation(), n.now)
	assert.Equal(t, 1, n.endsObserved)
	n.now = n.now.Add(time.Second)
	n.Interrupted(endpointOf(1, 1), []Suspect{deadly}, n.now)
	n.Engines(append(endpointsOf(1, 1), endpointsOf(100, 1)[2:]...), n.now.Add(3*time.Second))
	assert.Equal(t, 2, n.endsObserved, "its entry is gone")
	n.Engines(endpointsOf(100, 1), n.now)
	n.now = n.now.Add(5 * time.Second)
	n.Interrupted(endpointOf(2, 1), []Suspect{deadly}, n.now)
	again := endpointsOf(100, 1)
	again[2].Born = 2
	n.Engines(again, n.now.Add(3*time.Second))
	assert.Equal(t, 3, n.endsObserved, "it has started again")
	assert.True(t, n.holds("deadly"))
	n.Interrupted(endpointOf(3, 1), suspects(Nothing, "beside"), n.now)
	n.Engines(nil, n.now.Add(DefaultRule().ConfirmTimeout+time.Second))
	assert.Equal(t, 3, n.endsObserved, "its entry disappeared long after the call was interrupted")
	n.Interrupted(endpointOf(4, 1), suspects(Nothing, "beside"), n.now)
	assert.Equal(t, 4, n.endsObserved, "its entry disappeared before the call was interrupted")
}

// Guards against a third end caused by the node's own retry of a request interrupted at two ends.
func TestNoRetryAfterTwoEnds(t *testing.T) {
	n := newNode(Peer)
	for i, noRetry := range []bool{false, true, true} {
		n.endUnder(i, suspects(Nothing, "deadly")...)
		assert.Equal(t, noRetry, n.ForbidsRetry(fingerprintOf("deadly"), n.now), "%d ends", i+1)
	}
	assert.False(t, n.ForbidsRetry(fingerprintOf("beside"), n.now))
}

// Guards against old ends that count after an operator released a request: it takes three new
// ends to quarantine it again.
func TestOperatorReleasesRequest(t *testing.T) {
	n := newNode(Peer)
	for i := range 3 {
		n.endUnder(i, suspects(Nothing, "deadly")...)
	}
	require.True(t, n.Release(fingerprintOf("deadly"), n.now))
	assert.False(t, n.holds("deadly"))
	assert.False(t, n.Release(fingerprintOf("deadly"), n.now), "it is not quarantined")
	for i, held := range []bool{false, false, true} {
		n.endUnder(3+i, suspects(Nothing, "deadly")...)
		assert.Equal(t, held, n.holds("deadly"), "%d ends since", i+1)
	}
	assert.Equal(t, []bool{false, true, false}, lo.Map(n.judged, func(h Held, _ int) bool { return h.Released }))
}

// A request is tried when its hold expires. One more end quarantines it for twice as long.
func TestRequestIsTriedWhenItsHoldExpires(t *testing.T) {
	n := newNode(Peer)
	for i := range 3 {
		n.endUnder(i, suspects(Nothing, "deadly")...)
	}
	hold := DefaultRule().Hold
	for round := 1; round < 4; round++ {
		n.now = n.now.Add(hold - time.Second)
		assert.True(t, n.holds("deadly"), "round %d", round)
		n.now = n.now.Add(time.Second)
		assert.False(t, n.holds("deadly"), "round %d", round)
		n.endUnder(50+round, suspects(Nothing, "beside")...)
		assert.False(t, n.holds("deadly"), "an end under another request")
		n.endUnder(2+round, suspects(Nothing, "deadly")...)
		assert.True(t, n.holds("deadly"), "an endpoint ended after round %d", round)
		hold = min(2*hold, DefaultRule().MaxHold)
	}
}

// A quarantined request is released when a node that did not know of the quarantine serves it.
func TestServedRequestIsReleased(t *testing.T) {
	n := newNode(Peer)
	for i := range 3 {
		n.endUnder(i, suspects(Nothing, "deadly")...)
	}
	n.serve("deadly")
	assert.False(t, n.holds("deadly"))
}

// Guards against unbounded memory or messages when bodies differ in one byte, many endpoints end
// at once, or many requests are quarantined.
func TestStateAndMessagesAreBounded(t *testing.T) {
	n := newNode(Judge)
	n.Engines(endpointsOf(10000, 1), n.now)
	for i := range 1000 {
		n.now = n.now.Add(10 * time.Millisecond)
		n.endNow(i, suspects(Nothing, lo.Times(40, func(j int) string { return fmt.Sprint(i/3, "-", j) })...)...)
		n.Interrupted(endpointOf(5000+i, 1), suspects(Nothing, "x"), n.now)
		if i%100 == 0 {
			judges, all := n.Updates(n.now)
			for _, r := range []Report{judges, all, n.Digest(n.now)} {
				data, err := json.Marshal(r)
				require.NoError(t, err)
				assert.LessOrEqual(t, len(data), 15<<10, "fits into a datagram")
			}
		}
	}
	assert.LessOrEqual(t, len(n.ends), maxEnds)
	assert.LessOrEqual(t, len(n.pending), maxPending)
	assert.LessOrEqual(t, len(n.held), maxHeld)
	assert.LessOrEqual(t, len(n.served), maxServed)
	assert.LessOrEqual(t, len(n.near), maxNear)
	assert.LessOrEqual(t, len(n.outbox.ends), maxEnds)
	for _, e := range n.ends {
		assert.LessOrEqual(t, len(e.suspects), maxSuspects)
	}
}

// FuzzReports feeds a node anything that decodes as a report. The node stays within its bounds and
// never quarantines a request that was not in a report.
func FuzzReports(f *testing.F) {
	n := newNode(Judge)
	for i := range 3 {
		n.endUnder(i, suspects(Nothing, "deadly")...)
	}
	judges, all := n.Updates(n.now)
	for _, r := range []Report{judges, all, n.Digest(n.now)} {
		data, _ := json.Marshal(r)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Report
		if json.Unmarshal(data, &r) != nil {
			return
		}
		n := newNode(Peer)
		n.Receive(r, n.now)
		n.Updates(n.now)
		n.Digest(n.now)
		assert.LessOrEqual(t, len(n.ends), maxEndReports)
		assert.LessOrEqual(t, len(n.held), maxHeldReports+maxEndReports*maxSuspects)
		assert.False(t, n.holds("never reported"))
	})
}

// BenchmarkEnd measures the decision after one more end, with the maximum number of ends and of
// suspects per end. Comparing all suspects took 12.9 ms; skipping those that were present at one
// end only takes 2.0 ms.
func BenchmarkEnd(b *testing.B) {
	n := newNode(Peer)
	n.Engines(endpointsOf(maxEnds, 1), n.now)
	for i := range maxEnds {
		n.now = n.now.Add(time.Millisecond)
		n.endNow(i, suspects(Nothing, lo.Times(maxSuspects, func(j int) string { return fmt.Sprint(i, "-", j) })...)...)
	}
	b.ResetTimer()
	for range b.N {
		n.judge(n.now)
	}
}

// Guards against a popular request that gets 502 on all nodes for minutes. An endpoint ended three
// times within two seconds under calls of it, and another node served it in between but before it
// received the report of the first end: it recorded answers of known suspects only (soak, seed 8002).
func TestRequestServedBeforeAnEndIsReportedIsCleared(t *testing.T) {
	n := newNode(Peer)
	n.endUnder(0, suspects(Nothing, "beside")...) // so that the customer is watched
	_, _ = n.Updates(n.now)
	n.serve("popular")
	served := n.now
	n.now = n.now.Add(50 * time.Millisecond)
	n.Receive(Report{Ends: []EndReport{{Endpoint: "e01", Born: 1, AgeMs: 300, Suspects: suspects(Nothing, "popular")}}}, n.now)
	judges, _ := n.Updates(n.now)
	want := []ServedReport{{Fingerprint: fingerprintOf("popular"), AgeMs: n.now.Sub(served).Milliseconds()}}
	assert.Equal(t, want, judges.Served, "nodes that received the end learn that the request was served since")
	n.endUnder(2, suspects(Nothing, "popular")...)
	n.endUnder(3, suspects(Nothing, "popular")...)
	assert.False(t, n.holds("popular"), "two ends since it was served")
	n.endUnder(4, suspects(Nothing, "popular")...)
	assert.True(t, n.holds("popular"), "three")
}

// Guards against counting the attempts of a caller that retries four times a second as one
// occasion: its request is quarantined at the third one. Endpoints lost together count once.
func TestQuickRetriesAreSeparateOccasions(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration
		held  bool
	}{
		{"four tries a second", 250 * time.Millisecond, true},
		{"lost together", 50 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(Peer)
			for i := range 3 {
				n.endNow(2*i, suspects(Nothing, "deadly")...)
				n.now = n.now.Add(10 * time.Millisecond)
				n.endNow(2*i+1, suspects(Nothing, "deadly")...) // the node's own retry
				n.now = n.now.Add(c.every - 10*time.Millisecond)
			}
			assert.Equal(t, c.held, n.holds("deadly"))
		})
	}
}

// Guards against a node that retries after two ends which count as one occasion: each attempt
// that it retries ends two endpoints.
func TestNoRetryAfterTwoEndsAtOnce(t *testing.T) {
	n := newNode(Peer)
	for i, noRetry := range []bool{false, true} {
		n.endNow(i, suspects(Nothing, "deadly")...)
		assert.Equal(t, noRetry, n.ForbidsRetry(fingerprintOf("deadly"), n.now), "%d ends", i+1)
	}
}
