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
type standing struct {
	who         who
	into, lasts time.Duration // of the move
	version     fault         // from shortly before it on; the zero value is a good one
	over        bool
	ticked      time.Duration // when the decider looked last
	hears       time.Duration // until then it hears others first
}

// who is whose processes stand still.
type who string

const (
	theDecider who = "the decider"
	theOthers  who = "all but the decider"
	everyone   who = "all, which go on apart"
)

const (
	modelHeldUp   = 500 * time.Millisecond // beyond a round, after which a decider stood still
	modelHearsFor = 400 * time.Millisecond
	goOnApart     = 400 * time.Millisecond // between the first process that goes on and the last
	modelPatience = 2 * step               // of a timer that was due in a standstill
)

// standStill lets the standstill begin once calls have moved for so long.
func (p *play) standStill() {
	s := p.standing
	if s == nil || s.over || p.out.moved == 0 || p.now < p.out.moved+s.into || p.status.State != InProgress {
		return
	}
	s.over, p.out.stood = true, true
	p.version = s.version
	p.version.since = p.now - turnsBefore
	p.out.drawn = p.drawn
	for k := range p.nodes {
		until := p.now + s.lasts
		switch {
		case s.who == theDecider && k > 0, s.who == theOthers && k == 0:
			continue
		case s.who == everyone:
			until += time.Duration(p.rand.Float64() * float64(goOnApart))
		}
		p.nodes[k].stands = span{p.now, until}
	}
}

func (p *play) stands(k int) bool { return p.nodes[k].stands.holds(p.now) }

// unheard is whether what a node says reaches the decider, by the first one of its zone.
func (p *play) unheard(k int) bool {
	zone := p.nodes[k].zone
	return p.stands(k) || zone < len(p.nodes) && p.stands(zone)
}

// wake has nodes that go on send the calls that lay in their sockets.
func (p *play) wake() {
	for k := range p.nodes {
		n := &p.nodes[k]
		if len(n.held) == 0 || p.stands(k) {
			continue
		}
		held := n.held
		n.held = nil
		for _, send := range held {
			send()
		}
	}
}

// unread puts off an answer that a node can't read while it stands still: how long it took
// is not known then.
func (p *play) unread(i int, a answer) bool {
	if !p.stands(a.node) {
		return false
	}
	wait := p.nodes[a.node].stands.until - p.now
	if a.timer {
		wait += modelPatience
	} else {
		a.sample.Slowness, a.sample.Took = 0, 0
	}
	p.put(i, wait, a)
	return true
}

// hearing is whether the decider hears others first, since it stood still.
func (p *play) hearing() bool {
	s := p.standing
	if s == nil {
		return false
	}
	if s.ticked > 0 && p.now-s.ticked-roundEvery*step >= modelHeldUp {
		s.hears = p.now + modelHearsFor
	}
	s.ticked = p.now
	return p.now < s.hears
}

// wrote tells the decider what the store took, once its process goes on.
func (p *play) wrote(m Learned) {
	if p.stands(0) {
		p.writing = append(p.writing, func() { p.wrote(m) })
		return
	}
	m.Now = p.time()
	p.handle(m)
}

// standsMoving has processes stand still while calls move, at a moment drawn by the seed.
func standsMoving(w who, version func(*rand.Rand) fault) func(*play) {
	return func(p *play) {
		r := rand.New(rand.NewPCG(p.seed, 39))
		p.drawn = drawn{
			seed: p.seed, service: p.service, tenth: p.tenth, duration: p.duration, nodes: len(p.nodes), targets: p.targets, form: "good",
		}
		p.standing = &standing{
			who: w, into: time.Duration(within(r, 0.3, 2.5) * float64(time.Second)),
			lasts: time.Duration(within(r, 0.3, 2.5) * float64(time.Second)), version: version(r),
		}
		if p.standing.version != (fault{}) {
			p.form = "later"
		}
		p.out.drawn = p.drawn
	}
}

// TestABadVersionIsNotCompletedWhereNodesStandStillWhileCallsMove guards against time that
// counts as a target's proof though nobody saw answers meanwhile.
func TestABadVersionIsNotCompletedWhereNodesStandStillWhileCallsMove(t *testing.T) {
	for _, w := range []who{theDecider, theOthers, everyone} {
		t.Run(string(w), func(t *testing.T) {
			stood := lo.Filter(playAll(rollouts(), sheetRule, standsMoving(w, illness)), func(o outcome, _ int) bool { return o.stood })
			a := accountOf(stood, sheetRule)
			t.Log(a)
			for _, o := range stood {
				if o.state != Reverted {
					t.Log(o)
				}
			}
			assert.LessOrEqual(t, float64(a.bad-a.reverted), most(0.01, a.bad), "bad ones that were not reverted")
		})
	}
}

// TestAGoodVersionIsCompletedWhereNodesStandStillWhileCallsMove guards against waiting for
// what comes too late, and against answers that lay unread and count as slow.
func TestAGoodVersionIsCompletedWhereNodesStandStillWhileCallsMove(t *testing.T) {
	sound := func(*rand.Rand) fault { return fault{} }
	stood := lo.Filter(playAll(rollouts(), sheetRule, standsMoving(everyone, sound)), func(o outcome, _ int) bool { return o.stood })
	a := accountOf(stood, sheetRule)
	t.Log(a)
	assert.LessOrEqual(t, float64(a.good-a.completed), most(0.02, a.good), "good ones that were not completed in time")
}
