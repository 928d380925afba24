package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
)

// Guards against decisions by old evidence: a node that finds a status under way first collects
// reports of others, and reports that it does not know the age of the status until it observes a
// write.
func TestANodeThatFindsAStatusCollectsReportsFirst(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		n := versionedNode()
		n.store, n.trials.fleet = j.Node.store, j.fleet
		n.engineTable.apply(entries(2, "s/v1/a", "s/v2/e"))
		begun := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: 11 * time.Second, Writes: 1}
		j.store.object = order("s", "v2", 5, 6, begun)
		n.applyRollouts(listed(6, j.store.object))
		j.Node = n
		assert.True(t, n.trials.AgeUnknown())
		j.play(ctx, startSettleTime-judgeInterval)
		assert.Zero(t, j.store.calls)
		j.play(ctx, 3*time.Second)
		assert.NotZero(t, j.store.calls)
		begun.Writes = 2
		n.applyRollouts(changed(9, order("s", "v2", 5, 9, begun)))
		assert.False(t, n.trials.AgeUnknown())
	})
}

// Once a write of the status is observed, the elapsed time is known, whatever was assumed for the
// status that was found.
func TestAnObservedStatusWriteSetsTheElapsedTime(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		n := versionedNode()
		n.store, n.trials.fleet = j.Node.store, j.fleet
		j.fleet.first = false
		n.engineTable.apply(entries(2, "s/v1/a", "s/v1/b", "s/v1/c", "s/v1/d", "s/v2/e", "s/v2/f", "s/v2/g", "s/v2/h"))
		begun := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1}
		j.store.object = order("s", "v2", 5, 6, begun)
		n.applyRollouts(listed(6, j.store.object))
		j.Node = n
		j.store.notify = n.applyRollouts
		j.play(ctx, time.Second)
		begun.Used, begun.Writes = 2*time.Second, 2
		j.store.object = order("s", "v2", 5, 7, begun)
		n.applyRollouts(changed(7, j.store.object))
		j.fleet.first = true
		began := time.Now()
		for j.state() != rollout.Completed && time.Since(began) < 12*time.Second {
			j.play(ctx, judgeInterval)
		}
		assert.InDelta(t, 9, time.Since(began).Seconds(), 1.5)
	})
}

// Guards against an order that loses its time when a node restarts: the node takes the elapsed
// time from others rather than assuming the longest possible.
func TestElapsedTimeIsTakenFromOtherNodes(t *testing.T) {
	cases := []struct {
		name  string
		at    int64 // revision that the other node knows
		used  time.Duration
		exact bool // exact, not a lower bound
		want  rollout.Stage
	}{
		{"for this status", 6, time.Second, true, rollout.Sampling}, {"for another status", 4, time.Second, true, rollout.Moving},
		{"at least", 6, time.Second, false, rollout.Moving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
				j.store.object = order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1})
				j.applyRollouts(listed(6, j.store.object))
				sent := peer.RolloutEvidence{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5}, At: c.at, UsedMs: c.used.Milliseconds(), AtLeast: !c.exact}
				j.trials.Receive(peer.Sender{Name: "b", Incarnation: "1"}, peer.RolloutReport{Evidence: []peer.RolloutEvidence{sent}}, time.Now())
				j.applyRollouts(listed(7, j.store.object))
				j.play(ctx, 5*time.Second)
				r, _ := j.rollouts.Load().Of("s")
				assert.Equal(t, c.want, r.Status.Stage)
			})
		})
	}
}

// Guards against decisions by evidence from before a stall: a stalled decider first collects
// reports of others.
func TestAStalledDeciderCollectsReportsFirst(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, 3*time.Second)
		require.Equal(t, rollout.InProgress, j.state())
		r, _ := j.rollouts.Load().Of("s")
		calls := j.store.calls
		time.Sleep(8 * time.Second) // the move is due, and its evidence is old
		j.trials.tick(ctx, clock.Now())
		synctest.Wait()
		assert.Equal(t, calls, j.store.calls, "it collects reports first")
		observed := rollout.RouteEvidence{Route: "r"}
		for c := range 8 {
			observed.Old[c], observed.Target[c] = rollout.Count{Answers: 300}, rollout.Count{Answers: 30, Bad: 20}
		}
		sent := peer.RolloutEvidence{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5, Routes: []rollout.RouteEvidence{observed}}, At: r.Revision.Number()}
		j.trials.Receive(peer.Sender{Name: "b", Incarnation: "1"}, peer.RolloutReport{Evidence: []peer.RolloutEvidence{sent}}, clock.Now())
		for range 5 {
			j.trials.tick(ctx, clock.Now())
			synctest.Wait()
			time.Sleep(judgeInterval)
		}
		assert.Equal(t, rollout.Reverted, j.state())
	})
}

// Guards against a delegate that counts as stalled because another one decided for a while.
func TestADelegateThatDidNotDecideHasNotStalled(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		for _, first := range []bool{true, false, true} {
			j.fleet.first = first
			j.play(ctx, 2*time.Second)
		}
		assert.Zero(t, j.trials.receivesUntil)
	})
}

// Guards against decisions after a suspension: the state of the order is old, and only others know
// how old.
func TestASuspendedDeciderCollectsReportsFirst(t *testing.T) {
	const suspended = time.Minute
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, 3*time.Second)
		require.Equal(t, rollout.InProgress, j.state())
		calls := j.store.calls
		clock.Suspend(suspended)
		defer clock.Suspend(-suspended) // later tests run without the suspension
		j.trials.afterSuspension(clock.Now())
		j.play(ctx, startSettleTime-judgeInterval)
		assert.Equal(t, calls, j.store.calls)
		r, _ := j.rollouts.Load().Of("s")
		sent := peer.RolloutEvidence{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5}, At: r.Revision.Number(), UsedMs: 4000}
		j.trials.Receive(peer.Sender{Name: "b", Incarnation: "1"}, peer.RolloutReport{Evidence: []peer.RolloutEvidence{sent}}, clock.Now())
		j.play(ctx, 2*time.Second)
		assert.Equal(t, rollout.InProgress, j.state(), "6 s of 12 are over")
	})
}

// Guards against answers that count as slow because they waited in a socket during a stall: a slow
// old version would excuse the target.
func TestAnAnswerThatWaitedDuringAStallIsNotSlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		ticked bool          // a tick ran since the stall
		after  time.Duration // time since the stall
		failed bool
		bad    bool
	}{
		{"before the next look", false, 0, false, false},
		{"after the next look", true, 100 * time.Millisecond, false, false},
		{"a failure is one", false, 0, true, true},
		{"a slow answer to a call that was sent later", true, 4 * time.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
				j.play(ctx, 3*time.Second)
				time.Sleep(2 * time.Second)
				if c.ticked {
					j.trials.tick(ctx, clock.Now())
				}
				for end := time.Now().Add(c.after); time.Now().Before(end); {
					time.Sleep(min(judgeInterval, time.Until(end)))
					j.trials.tick(ctx, clock.Now())
				}
				late := rollout.Sample{Service: "s", Route: "r", Endpoint: 1, Slowness: 20, Took: 2 * time.Second, Failed: c.failed, Now: clock.Now()}
				assert.Equal(t, c.bad, j.trials.Sample(late))
				synctest.Wait()
			})
		})
	}
}

// Guards against a write that was decided before a stall: what others observed meanwhile has not
// arrived.
func TestAWriteDelayedByAStall(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   rollout.State
		stalled time.Duration // between the decision and the write
		made    bool
	}{
		{"at once", rollout.Completed, 0, true},
		{"a little later", rollout.Completed, 200 * time.Millisecond, true},
		{"completed", rollout.Completed, 2 * time.Second, false},
		{"calls move on", rollout.InProgress, 2 * time.Second, false},
		{"reverted", rollout.Reverted, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
				j.play(ctx, time.Second)
				before := j.store.calls
				o := j.trials.open["s"]
				o.writing = true
				w := rollout.Write{Status: rollout.Status{State: c.state, Target: "v2", Made: 5}, Revision: j.store.object.Revision}
				decided := clock.Now()
				time.Sleep(c.stalled)
				j.trials.write(ctx, o, w, nil, decided)
				assert.Equal(t, c.made, j.store.calls > before)
				assert.False(t, o.writing, "the decider asks again")
				synctest.Wait()
			})
		})
	}
}

// Guards against a stream that counts as slow at its end because its first event waited in a
// socket during a stall.
func TestAStreamThatWaitedDuringAStallIsNotSlow(t *testing.T) {
	for _, c := range []struct {
		name  string
		began time.Duration // of the stream, before the stall ended
		first time.Duration // until its first event
		bad   bool
	}{
		{"it began before the standstill", 2200 * time.Millisecond, 2200 * time.Millisecond, false},
		{"it began after the standstill", -time.Second, 2200 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
				j.play(ctx, 3*time.Second)
				time.Sleep(2 * time.Second)
				over := clock.Now()
				j.trials.tick(ctx, over)
				j.play(ctx, 3*time.Second)
				ended := rollout.Sample{Service: "s", Route: "r", Endpoint: 1, Slowness: 20, Took: c.first, Since: over.Add(-c.began), Now: clock.Now()}
				assert.Equal(t, c.bad, j.trials.Sample(ended))
				synctest.Wait()
			})
		})
	}
}

// Guards against stalls that excuse more than their own time: an answer that took longer than it
// may have waited is slow.
func TestASlowAnswerDespiteStallsIsSlow(t *testing.T) {
	for _, c := range []struct {
		name string
		took time.Duration
		bad  bool
	}{
		{"it may have waited", 2 * time.Second, false},
		{"it took longer than that", 6 * time.Second, true},
	} {
		for _, target := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, target %t", c.name, target), func(t *testing.T) {
				withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
					j.play(ctx, 2*time.Second)
					for range 3 {
						time.Sleep(time.Second)
						j.trials.tick(ctx, clock.Now())
						j.play(ctx, time.Second)
					}
					late := rollout.Sample{Service: "s", Route: "r", Target: target, Endpoint: 1, Slowness: 5 * c.took.Seconds(), Took: c.took, Since: clock.Now().Add(-c.took), Now: clock.Now()}
					if !c.bad {
						late.Slowness = 6
					}
					assert.Equal(t, c.bad, j.trials.Sample(late))
					synctest.Wait()
				})
			})
		}
	}
}
