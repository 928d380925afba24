package quarantine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// quarantinedNode returns a node that has just quarantined a request, and that request.
func quarantinedNode(t *testing.T) (*node, Held) {
	n := newNode(Peer)
	n.Answered(fingerprintOf("popular"), n.now)
	for i := range DefaultRule().Ends {
		n.endUnder(i, suspects(Nothing, "popular")...)
	}
	require.True(t, n.holds("popular"))
	h, _ := n.Lookup(fingerprintOf("popular"))
	return n, h
}

func (n *node) takesProbe() bool {
	_, ok := n.Probe(fingerprintOf("popular"), n.now)
	return ok
}

func TestWhichRequestsMayBeProbed(t *testing.T) {
	cases := []struct {
		name string
		do   func(n *node, h Held)
		want bool
	}{
		{"nothing happened since", func(*node, Held) {}, true},
		{"an endpoint ended under an earlier call", func(n *node, _ Held) { n.endUnder(9, suspects(Nothing, "popular")...) }, true},
		{"an endpoint ended since its probe was due", func(n *node, h Held) {
			n.now = n.ProbeAt(h)
			n.endNow(9, suspects(Nothing, "popular")...)
		}, false},
		{"an endpoint ended under another request", func(n *node, h Held) {
			n.now = n.ProbeAt(h)
			n.endNow(9, suspects(Nothing, "another")...)
		}, true},
		{"it was released", func(n *node, h Held) { n.Release(h.Fingerprint, n.now) }, false},
		{"it is quarantined in a later round", func(n *node, h Held) {
			h.Round++
			n.Receive(Report{Held: []HeldReport{ReportOf(h, n.now)}}, n.now)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, h := quarantinedNode(t)
			c.do(n, h)
			n.now = n.ProbeAt(h).Add(time.Second)
			assert.Equal(t, c.want, n.Probes(h, n.now) > 0)
		})
	}
}

// Guards against a popular request that stays quarantined for the whole hold although endpoints
// ended by chance while it ran.
func TestServedProbeReleasesTheRequest(t *testing.T) {
	n, h := quarantinedNode(t)
	n.now = n.ProbeAt(h)
	assert.False(t, n.takesProbe(), "none was claimed")
	n.Arm(h)
	require.True(t, n.takesProbe())
	assert.False(t, n.takesProbe(), "only one call is the probe")
	n.serve("popular")
	assert.False(t, n.holds("popular"))
	assert.True(t, n.judged[len(n.judged)-1].Released)
}

func TestEndUnderAProbeKeepsTheRequestQuarantined(t *testing.T) {
	n, h := quarantinedNode(t)
	n.now = n.ProbeAt(h)
	n.Arm(h)
	require.True(t, n.takesProbe())
	n.endNow(9, suspects(Nothing, "popular")...)
	assert.False(t, n.Probes(h, n.now) > 0)
	n.now = h.Since.Add(DefaultRule().Hold - time.Second)
	assert.True(t, n.holds("popular"))
}

// Guards against risking one more endpoint for a request that was never answered.
func TestOnlyAnsweredRequestsAreProbed(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered string
		others   int // other requests answered since
		want     bool
	}{
		{"it was answered", "deadly", 0, true},
		{"another one was", "another", 0, false},
		{"others were since", "deadly", maxAnswered, true},
		{"too many others were since", "deadly", 2 * maxAnswered, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(Peer)
			n.Answered(fingerprintOf(c.answered), n.now)
			for i := range c.others {
				n.Answered(fingerprintOf(fmt.Sprint("other", i)), n.now)
			}
			for i := range DefaultRule().Ends {
				n.endUnder(i, suspects(Nothing, "deadly")...)
			}
			h, _ := n.Lookup(fingerprintOf("deadly"))
			assert.Equal(t, c.want, h.Answered)
			assert.Equal(t, c.want, n.Probes(h, n.ProbeAt(h)) > 0)
			assert.Equal(t, c.want, ReportOf(h, n.now).Answered, "reported to other nodes")
		})
	}
}

func TestUnsentProbeIsLeftToTheNextCall(t *testing.T) {
	n, h := quarantinedNode(t)
	n.Arm(h)
	n.ReturnProbe(h.Fingerprint, n.takeProbe(t))
	assert.True(t, n.takesProbe())
}

// Guards against more probes than were claimed. A claim is valid for one round, and only until an
// endpoint ends under another node's probe.
func TestOutdatedClaimSendsNoProbe(t *testing.T) {
	again := func(n *node, h Held) {
		h.Round++
		n.Receive(Report{Held: []HeldReport{ReportOf(h, n.now)}}, n.now)
	}
	ended := func(n *node, h Held) {
		n.now = n.ProbeAt(h)
		n.endNow(9, suspects(Nothing, "popular")...)
	}
	cases := []struct {
		name   string
		unsent bool // the probe is taken first and given back afterwards
		do     func(n *node, h Held)
		want   bool
	}{
		{"nothing happened since", false, func(*node, Held) {}, true},
		{"nothing happened since it was taken", true, func(*node, Held) {}, true},
		{"a later round", false, again, false},
		{"a later round since it was taken", true, again, false},
		{"an endpoint ended", false, ended, false},
		{"an endpoint ended since it was taken", true, ended, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, h := quarantinedNode(t)
			n.Arm(h)
			var round int
			if c.unsent {
				round = n.takeProbe(t)
			}
			c.do(n, h)
			if c.unsent {
				n.ReturnProbe(h.Fingerprint, round)
			}
			assert.Equal(t, c.want, n.Armed(h.Fingerprint, n.now))
			assert.Equal(t, c.want, n.takesProbe())
		})
	}
}

// takeProbe takes the armed probe and returns the round of its claim.
func (n *node) takeProbe(t *testing.T) int {
	t.Helper()
	round, ok := n.Probe(fingerprintOf("popular"), n.now)
	require.True(t, ok)
	return round
}

// Guards against probing a request under which endpoints end now and then too often.
func TestProbeDelayDoublesWithEachRound(t *testing.T) {
	rule := DefaultRule()
	assert.Equal(t, 2*rule.Probe, rule.probeAfter(2))
	assert.Equal(t, 4*rule.Probe, rule.probeAfter(3))
	assert.LessOrEqual(t, rule.probeAfter(100), rule.MaxHold)
}

// Guards against a node that stalls over a report with an absurdly high round.
func TestDelaysOfAnyRoundAreComputedAtOnce(t *testing.T) {
	for name, after := range map[string]func(Rule, int) time.Duration{"probe": Rule.probeAfter, "hold": Rule.holdFor} {
		t.Run(name, func(t *testing.T) {
			done := make(chan time.Duration, 1)
			go func() { done <- after(DefaultRule(), math.MaxInt) }()
			select {
			case d := <-done:
				assert.Equal(t, DefaultRule().MaxHold, d)
			case <-time.After(time.Second):
				t.Fatal("the loop over rounds did not end")
			}
		})
	}
}

// Guards against a harmless request that a single end quarantines again since it was served only
// after its hold had expired.
func TestRequestServedAfterItsHoldNeedsThreeEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		served bool
		want   bool
	}{{"it was served", true, false}, {"it was not", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			n, h := quarantinedNode(t)
			n.now = h.Since.Add(h.For)
			if c.served {
				n.serve("popular")
			}
			n.endUnder(9, suspects(Nothing, "popular")...)
			assert.Equal(t, c.want, n.holds("popular"))
		})
	}
}

// Guards against too many sends of a deadly request that was answered once. The call that
// quarantines it again after its hold expired counts as well.
func TestDeadlyRequestAnsweredOnceIsSentAtMostThreeTimes(t *testing.T) {
	n, h := quarantinedNode(t)
	sent := 0
	const step = 700 * time.Millisecond // so that no call comes exactly when a hold expires
	due := 0                            // last round with a claimed probe
	for at := 10; n.now.Sub(h.Since) < time.Hour; n.now = n.now.Add(step) {
		if now, _ := n.Lookup(h.Fingerprint); now.Round > due && n.now.After(n.ProbeAt(now)) && n.Probes(now, n.now) > 0 {
			n.Arm(now)
			due = now.Round
		}
		if !n.holds("popular") || n.takesProbe() {
			sent++
			n.endNow(at, suspects(Nothing, "popular")...)
			at++
		}
	}
	assert.LessOrEqual(t, sent, 3)
}

// Guards against a request that is held back without a probe because the nodes whose calls were
// interrupted had just started, though others have had answers to it.
func TestAnyNodeThatHadAnAnswerLetsARequestBeProbed(t *testing.T) {
	for _, answered := range []bool{true, false} {
		n := newNode(Peer)
		if answered {
			n.Answered(fingerprintOf("popular"), n.now)
		}
		reports := lo.Times(3, func(i int) EndReport {
			e := endpointOf(i, 1)
			return EndReport{Endpoint: e.ID, Born: e.Born, AgeMs: int64(1000 * (3 - i)), Suspects: suspects(Nothing, "popular")}
		})
		n.Receive(Report{Ends: reports}, n.now)
		h, _ := n.Lookup(fingerprintOf("popular"))
		assert.True(t, h.inForce(n.now))
		assert.Equal(t, answered, h.Answered)
		assert.Equal(t, answered, n.Probes(h, n.ProbeAt(h)) > 0)
	}
}

// Guards against an answer that is forgotten where several calls of a request are interrupted together.
func TestAnswersOfCallsInterruptedTogetherCount(t *testing.T) {
	n := newNode(Peer)
	e := endpointOf(0, 1)
	n.Interrupted(e, suspects(Nothing, "popular"), n.now)
	n.Answered(fingerprintOf("popular"), n.now)
	n.Interrupted(e, suspects(Nothing, "popular"), n.now)
	n.Ended(e.Incarnation(), n.now)
	judges, _ := n.Updates(n.now)
	assert.True(t, judges.Ends[0].Suspects[0].Answered)
}

// Guards against a request that all callers send and that stays quarantined for minutes, since the nodes
// that had answered it ended before its endpoints did.
func TestARequestThatMayHaveBeenAnsweredIsProbedOnce(t *testing.T) {
	cases := []struct {
		name     string
		ended    time.Duration // when a node ended, before the quarantine
		answered bool
		want     int
	}{
		{"a node ended just before", 2 * time.Second, false, 1},
		{"a node ended long before", 20 * time.Second, false, 0},
		{"a node ended later", -time.Second, false, 0},
		{"it was answered", 2 * time.Second, true, MaxProbes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			ended := now.Add(-c.ended)
			tracker := NewTracker(DefaultRule(), &notifications{}, func() Role { return Peer }).WithForgetting(func(from, to time.Time) bool {
				return !ended.Before(from) && !ended.After(to)
			})
			p := FingerprintOf("c", "POST", "h", "/", nil)
			tracker.Receive(Report{Held: []HeldReport{{Fingerprint: p, Round: 1, ForMs: time.Hour.Milliseconds(), Answered: c.answered, Customer: "c"}}}, now)
			h, _ := tracker.Lookup(p)
			assert.Equal(t, c.want, tracker.Probes(h, tracker.ProbeAt(h)))
		})
	}
}
