package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// loseAllNodes has all nodes end while calls move, at a moment drawn by the seed.
func loseAllNodes(version func(*rand.Rand) fault) func(*play) {
	return func(p *play) {
		r := rand.New(rand.NewPCG(p.seed, 37))
		p.scenario = scenario{
			seed: p.seed, service: p.service, tenth: p.tenth, duration: p.duration, nodes: len(p.nodes), targets: p.targets, form: "good",
		}
		p.loss = &loss{into: time.Duration(within(r, 0.3, 2.5) * float64(time.Second)), version: version(r)}
		if p.loss.version != (fault{}) {
			p.form = "later"
		}
		p.out.scenario = p.scenario
	}
}

// TestABadVersionIsNotCompletedWhereAllNodesEndWhileCallsMove guards against nodes that take the
// answers of a bad version for the baseline, as no node is left that knew the old one.
func TestABadVersionIsNotCompletedWhereAllNodesEndWhileCallsMove(t *testing.T) {
	all := playAll(rollouts(), modelRule, loseAllNodes(drawFault))
	lost := lo.Filter(all, func(o outcome, _ int) bool { return o.lost })
	a := summarize(lost, modelRule)
	t.Logf("%d met the loss: %s", len(lost), a)
	for _, o := range lost {
		if o.state != Reverted {
			t.Log(o)
		}
	}
	assert.LessOrEqual(t, float64(a.bad-a.reverted), allowed(0.01, a.bad), "bad ones that were not reverted")
}

// TestAGoodVersionWhereAllNodesEndWhileCallsMove guards against reverting every healthy version
// after a loss of all nodes.
func TestAGoodVersionWhereAllNodesEndWhileCallsMove(t *testing.T) {
	all := playAll(rollouts(), modelRule, loseAllNodes(func(*rand.Rand) fault { return fault{} }))
	lost := lo.Filter(all, func(o outcome, _ int) bool { return o.lost })
	a := summarize(lost, modelRule)
	t.Logf("%d met the loss: %s", len(lost), a)
	assert.Positive(t, a.completed, "a loss is no reason to revert whatever was ordered")
}

// underLoad draws a fault that shows only at endpoints with about the load of old ones.
func underLoad(r *rand.Rand) fault {
	f := drawFault(r)
	f.load = within(r, 0.5, 0.9)
	return f
}

// TestABadVersionGetsNoMoreThanItsShareWhereAllNodesEndWhileCallsMove guards against nodes that send
// all calls to a version because they found a move in progress.
func TestABadVersionGetsNoMoreThanItsShareWhereAllNodesEndWhileCallsMove(t *testing.T) {
	fromStart := func(p *play) {
		loseAllNodes(func(*rand.Rand) fault { return fault{} })(p)
		p.version, p.form = underLoad(rand.New(rand.NewPCG(p.seed, 38))), "under load"
		p.out.scenario = p.scenario
	}
	for _, c := range []struct {
		name string
		vary func(*play)
	}{
		{"it turns bad shortly before", loseAllNodes(drawFault)},
		{"it turns bad under load shortly before", loseAllNodes(underLoad)},
		{"it is bad under load from its start", fromStart},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := playAll(rollouts(), modelRule, c.vary)
			lost := lo.Filter(all, func(o outcome, _ int) bool { return o.lost })
			a := summarize(lost, modelRule)
			t.Logf("%d met the loss: %s", len(lost), a)
			assert.Zero(t, a.sent, "bad versions over the share")
		})
	}
}

// TestAVersionThatIsBadUnderLoadIsNotCompletedWhereAllNodesEndWhileCallsMove guards against a
// decider that starts during the move and completes it before slow or few answers show the effect of
// load.
func TestAVersionThatIsBadUnderLoadIsNotCompletedWhereAllNodesEndWhileCallsMove(t *testing.T) {
	all := playAll(rollouts(), modelRule, loseAllNodes(underLoad))
	lost := lo.Filter(all, func(o outcome, _ int) bool { return o.lost })
	completed := lo.Filter(lost, func(o outcome, _ int) bool { return o.state == Completed })
	for _, o := range completed {
		t.Log(o)
	}
	t.Logf("%d met the loss, %d were completed", len(lost), len(completed))
	assert.LessOrEqual(t, float64(len(completed)), allowed(0.01, len(lost)), "bad ones that were completed")
}
