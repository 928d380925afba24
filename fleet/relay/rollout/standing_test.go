package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// standing is a standstill of processes while calls move. Node 0 decides, and the first node
// of each zone tells the others' words on.
type stall struct {
	scope          stallScope
	into, duration time.Duration // of the move
	version        fault         // from shortly before it on; the zero value is a good one
	over           bool
	lastTick       time.Duration // when the decider looked last
	listenUntil    time.Duration // until then it hears others first
}

// who is whose processes stand still.
type stallScope string

const (
	onlyDecider   stallScope = "the decider"
	allButDecider stallScope = "all but the decider"
	everyone      stallScope = "all, which go on apart"
)

const (
	modelStallAfter = 500 * time.Millisecond // beyond a round, after which a decider stood still
	modelListenTime = 400 * time.Millisecond
	resumeSpread    = 400 * time.Millisecond // between the first process that goes on and the last
	modelTimerDelay = 2 * step               // of a timer that was due in a standstill
)

// standStill lets the standstill begin once calls have moved for so long.
func (p *play) applyStall() {
	s := p.stall
	if s == nil || s.over || p.out.moved == 0 || p.now < p.out.moved+s.into || p.status.State != InProgress {
		return
	}
	s.over, p.out.stalled = true, true
	p.version = s.version
	p.version.since = p.now - badBeforeLoss
	p.out.scenario = p.scenario
	for k := range p.nodes {
		until := p.now + s.duration
		switch {
		case s.scope == onlyDecider && k > 0, s.scope == allButDecider && k == 0:
			continue
		case s.scope == everyone:
			until += time.Duration(p.rand.Float64() * float64(resumeSpread))
		}
		p.nodes[k].stall = span{p.now, until}
	}
}

func (p *play) stalled(k int) bool { return p.nodes[k].stall.holds(p.now) }

// unheard is whether what a node says reaches the decider, by the first one of its zone.
func (p *play) unreachable(k int) bool {
	zone := p.nodes[k].zone
	return p.stalled(k) || zone < len(p.nodes) && p.stalled(zone)
}

// wake has nodes that go on send the calls that lay in their sockets.
func (p *play) resumeStalled() {
	for k := range p.nodes {
		n := &p.nodes[k]
		if len(n.queued) == 0 || p.stalled(k) {
			continue
		}
		held := n.queued
		n.queued = nil
		for _, send := range held {
			send()
		}
	}
}

// unread puts off an answer that a node can't read while it stands still: how long it took
// is not known then.
func (p *play) postpone(i int, a answer) bool {
	if !p.stalled(a.node) {
		return false
	}
	wait := p.nodes[a.node].stall.until - p.now
	if a.timer {
		wait += modelTimerDelay
	} else {
		a.sample.Slowness, a.sample.Took = 0, 0
	}
	p.enqueue(i, wait, a)
	return true
}

// hearing is whether the decider hears others first, since it stood still.
func (p *play) listening() bool {
	s := p.stall
	if s == nil {
		return false
	}
	if s.lastTick > 0 && p.now-s.lastTick-roundEvery*step >= modelStallAfter {
		s.listenUntil = p.now + modelListenTime
	}
	s.lastTick = p.now
	return p.now < s.listenUntil
}

// wrote tells the decider what the store took, once its process goes on.
func (p *play) statusWritten(m Learned) {
	if p.stalled(0) {
		p.pendingWrites = append(p.pendingWrites, func() { p.statusWritten(m) })
		return
	}
	m.Now = p.time()
	p.handle(m)
}

// standsMoving has processes stand still while calls move, at a moment drawn by the seed.
func stallWhileMoving(w stallScope, version func(*rand.Rand) fault) func(*play) {
	return func(p *play) {
		r := rand.New(rand.NewPCG(p.seed, 39))
		p.scenario = scenario{
			seed: p.seed, service: p.service, tenth: p.tenth, duration: p.duration, nodes: len(p.nodes), targets: p.targets, form: "good",
		}
		p.stall = &stall{
			scope: w, into: time.Duration(within(r, 0.3, 2.5) * float64(time.Second)),
			duration: time.Duration(within(r, 0.3, 2.5) * float64(time.Second)), version: version(r),
		}
		if p.stall.version != (fault{}) {
			p.form = "later"
		}
		p.out.scenario = p.scenario
	}
}

// TestABadVersionIsNotCompletedWhereNodesStandStillWhileCallsMove guards against time that
// counts as a target's proof though nobody saw answers meanwhile.
func TestABadVersionIsNotCompletedWhereNodesStandStillWhileCallsMove(t *testing.T) {
	for _, w := range []stallScope{onlyDecider, allButDecider, everyone} {
		t.Run(string(w), func(t *testing.T) {
			stood := lo.Filter(playAll(rollouts(), modelRule, stallWhileMoving(w, drawFault)), func(o outcome, _ int) bool { return o.stalled })
			a := summarize(stood, modelRule)
			t.Log(a)
			for _, o := range stood {
				if o.state != Reverted {
					t.Log(o)
				}
			}
			assert.LessOrEqual(t, float64(a.bad-a.reverted), allowed(0.01, a.bad), "bad ones that were not reverted")
		})
	}
}

// TestAGoodVersionIsCompletedWhereNodesStandStillWhileCallsMove guards against waiting for
// what comes too late, and against answers that lay unread and count as slow.
func TestAGoodVersionIsCompletedWhereNodesStandStillWhileCallsMove(t *testing.T) {
	sound := func(*rand.Rand) fault { return fault{} }
	stood := lo.Filter(playAll(rollouts(), modelRule, stallWhileMoving(everyone, sound)), func(o outcome, _ int) bool { return o.stalled })
	a := summarize(stood, modelRule)
	t.Log(a)
	assert.LessOrEqual(t, float64(a.good-a.completed), allowed(0.02, a.good), "good ones that were not completed in time")
}
