package quarantine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// holding returns a node that has just begun to hold a request back, and what it holds.
func holding(t *testing.T) (*node, Held) {
	n := newNode(Peer)
	n.Answered(printed("popular"), n.now)
	for i := range DefaultRule().Ends {
		n.endUnder(i, suspects(Nothing, "popular")...)
	}
	require.True(t, n.holds("popular"))
	h, _ := n.Of(printed("popular"))
	return n, h
}

func (n *node) probes() bool {
	_, ok := n.Probe(printed("popular"), n.now)
	return ok
}

func TestWhetherARequestMayBeProbed(t *testing.T) {
	cases := []struct {
		name string
		do   func(n *node, h Held)
		want bool
	}{
		{"nothing happened since", func(*node, Held) {}, true},
		{"an endpoint ended under a call of before", func(n *node, _ Held) { n.endUnder(9, suspects(Nothing, "popular")...) }, true},
		{"an endpoint ended since its probe was due", func(n *node, h Held) {
			n.now = n.ProbeAt(h)
			n.endNow(9, suspects(Nothing, "popular")...)
		}, false},
		{"one ended under another request", func(n *node, h Held) {
			n.now = n.ProbeAt(h)
			n.endNow(9, suspects(Nothing, "another")...)
		}, true},
		{"it was let go", func(n *node, h Held) { n.Release(h.Print, n.now) }, false},
		{"it is held back in a later round", func(n *node, h Held) {
			h.Round++
			n.Heard(Words{Held: []HeldWord{WordOf(h, n.now)}}, n.now)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, h := holding(t)
			c.do(n, h)
			n.now = n.ProbeAt(h).Add(time.Second)
			assert.Equal(t, c.want, n.MayProbe(h, n.now))
		})
	}
}

// Guards against a popular request that is held back for all of its time since endpoints
// ended beside it by chance.
func TestAProbeThatIsServedLetsTheRequestGo(t *testing.T) {
	n, h := holding(t)
	n.now = n.ProbeAt(h)
	assert.False(t, n.probes(), "none was claimed")
	n.Arm(h)
	require.True(t, n.probes())
	assert.False(t, n.probes(), "one call is the probe")
	n.serve("popular")
	assert.False(t, n.holds("popular"))
	assert.True(t, n.judged[len(n.judged)-1].Released)
}

func TestAProbeUnderWhichAnEndpointEndsLeavesTheRequestHeldBack(t *testing.T) {
	n, h := holding(t)
	n.now = n.ProbeAt(h)
	n.Arm(h)
	require.True(t, n.probes())
	n.endNow(9, suspects(Nothing, "popular")...)
	assert.False(t, n.MayProbe(h, n.now))
	n.now = h.Since.Add(DefaultRule().Hold - time.Second)
	assert.True(t, n.holds("popular"))
}

// A request that was never answered costs no endpoint more.
func TestOnlyARequestThatWasAnsweredIsProbed(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered string
		others   int // requests that were answered since
		want     bool
	}{
		{"it was answered", "deadly", 0, true},
		{"another one was", "another", 0, false},
		{"others were since", "deadly", mostAnswered, true},
		{"too many others were since", "deadly", 2 * mostAnswered, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(Peer)
			n.Answered(printed(c.answered), n.now)
			for i := range c.others {
				n.Answered(printed(fmt.Sprint("other", i)), n.now)
			}
			for i := range DefaultRule().Ends {
				n.endUnder(i, suspects(Nothing, "deadly")...)
			}
			h, _ := n.Of(printed("deadly"))
			assert.Equal(t, c.want, h.Answered)
			assert.Equal(t, c.want, n.MayProbe(h, n.ProbeAt(h)))
			assert.Equal(t, c.want, WordOf(h, n.now).Answered, "others are told")
		})
	}
}

func TestAProbeThatReachedNoEndpointIsLeftToTheNextCall(t *testing.T) {
	n, h := holding(t)
	n.Arm(h)
	n.Unsent(h.Print, n.take(t))
	assert.True(t, n.probes())
}

// Guards against a probe more than was counted: a claim holds for one round, and while no
// endpoint has ended under another node's probe.
func TestAClaimThatNoLongerHoldsSendsNothing(t *testing.T) {
	again := func(n *node, h Held) {
		h.Round++
		n.Heard(Words{Held: []HeldWord{WordOf(h, n.now)}}, n.now)
	}
	ended := func(n *node, h Held) {
		n.now = n.ProbeAt(h)
		n.endNow(9, suspects(Nothing, "popular")...)
	}
	cases := []struct {
		name   string
		unsent bool // the probe was taken, and is given back after that
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
			n, h := holding(t)
			n.Arm(h)
			var round int
			if c.unsent {
				round = n.take(t)
			}
			c.do(n, h)
			if c.unsent {
				n.Unsent(h.Print, round)
			}
			assert.Equal(t, c.want, n.Armed(h.Print, n.now))
			assert.Equal(t, c.want, n.probes())
		})
	}
}

// take has the next call be the probe; it returns the round of the claim.
func (n *node) take(t *testing.T) int {
	t.Helper()
	round, ok := n.Probe(printed("popular"), n.now)
	require.True(t, ok)
	return round
}

// A request under which endpoints end now and then is probed later in each round.
func TestProbesComeLaterInEachRound(t *testing.T) {
	rule := DefaultRule()
	assert.Equal(t, 2*rule.Probe, rule.probeAfter(2))
	assert.Equal(t, 4*rule.Probe, rule.probeAfter(3))
	assert.LessOrEqual(t, rule.probeAfter(100), rule.MostHold)
}

// Guards against a node that stands still over a word of a round that no request reaches.
func TestARoundOfAnySizeIsTimedAtOnce(t *testing.T) {
	for name, after := range map[string]func(Rule, int) time.Duration{"probe": Rule.probeAfter, "hold": Rule.holdFor} {
		t.Run(name, func(t *testing.T) {
			done := make(chan time.Duration, 1)
			go func() { done <- after(DefaultRule(), math.MaxInt) }()
			select {
			case d := <-done:
				assert.Equal(t, DefaultRule().MostHold, d)
			case <-time.After(time.Second):
				t.Fatal("still counting rounds")
			}
		})
	}
}

// Guards against a request that endpoints bear and that one end is enough to hold back, since it
// was served only after its time was over.
func TestARequestThatIsServedAfterItsTimeStartsAnew(t *testing.T) {
	for _, c := range []struct {
		name   string
		served bool
		want   bool
	}{{"it was served", true, false}, {"it was not", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			n, h := holding(t)
			n.now = h.Since.Add(h.For)
			if c.served {
				n.serve("popular")
			}
			n.endUnder(9, suspects(Nothing, "popular")...)
			assert.Equal(t, c.want, n.holds("popular"))
		})
	}
}

// Guards against more sends of a deadly request than are allowed where it was answered once: the
// call that holds it back again when its time is over is one, too.
func TestADeadlyRequestThatWasAnsweredOnceIsSentNoMoreThanAllowed(t *testing.T) {
	n, h := holding(t)
	sent := 0
	const step = 700 * time.Millisecond // no call comes as the time is over to the moment
	due := 0                            // the round whose probe was claimed
	for at := 10; n.now.Sub(h.Since) < time.Hour; n.now = n.now.Add(step) {
		if now, _ := n.Of(h.Print); now.Round > due && n.now.After(n.ProbeAt(now)) && n.MayProbe(now, n.now) {
			n.Arm(now)
			due = now.Round
		}
		if !n.holds("popular") || n.probes() {
			sent++
			n.endNow(at, suspects(Nothing, "popular")...)
			at++
		}
	}
	assert.LessOrEqual(t, sent, 3)
}
