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

// not know how old the status is until it sees one written.
func TestWhoFindsAStatusHearsOthersFirst(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		n := versionedNode()
		n.store, n.trials.fleet = j.Node.store, j.fleet
		n.engineTable.apply(entries(2, "s/v1/a", "s/v2/e"))
		begun := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: 11 * time.Second, Writes: 1}
		j.store.object = order("s", "v2", 5, 6, begun)
		n.applyRollouts(listed(6, j.store.object))
		j.Node = n
		assert.True(t, n.trials.Blind())
		j.play(ctx, startSettleTime-judgeInterval)
		assert.Zero(t, j.store.calls)
		j.play(ctx, 3*time.Second)
		assert.NotZero(t, j.store.calls)
		begun.Writes = 2
		n.applyRollouts(changed(9, order("s", "v2", 5, 9, begun)))
		assert.False(t, n.trials.Blind())
	})
}

// whatever had to be assumed of the one that was found.
func TestAStatusThatIsSeenWrittenTellsTheTime(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		n := versionedNode()
		n.store, n.trials.fleet = j.Node.store, j.fleet
		j.fleet.first = false
		n.engineTable.apply(entries(2, "s/v1/a", "s/v1/b", "s/v1/c", "s/v1/d", "s/v2/e", "s/v2/f", "s/v2/g", "s/v2/h"))
		begun := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1}
		j.store.object = order("s", "v2", 5, 6, begun)
		n.applyRollouts(listed(6, j.store.object))
		j.Node = n
		j.store.tell = n.applyRollouts
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

// used, and doesn't take for lost what may be.
func TestHowOldAnOrderIsIsHeard(t *testing.T) {
	cases := []struct {
		name string
		at   int64 // revision that the other node knows
		used time.Duration
		most bool // no more than that
		want rollout.Stage
	}{
		{"of this status", 6, time.Second, true, rollout.Sampling}, {"of another one", 4, time.Second, true, rollout.Moving},
		{"at least", 6, time.Second, false, rollout.Moving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inJudging(t, func(ctx context.Context, j *judging) {
				j.store.object = order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1})
				j.applyRollouts(listed(6, j.store.object))
				told := peer.RolloutSeen{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5}, At: c.at, UsedMs: c.used.Milliseconds(), AtLeast: !c.most}
				j.trials.Heard(peer.Teller{Name: "b", Life: "1"}, peer.RolloutWord{Seen: []peer.RolloutSeen{told}}, time.Now())
				j.applyRollouts(listed(7, j.store.object))
				j.play(ctx, 5*time.Second)
				r, _ := j.rollouts.Load().Of("s")
				assert.Equal(t, c.want, r.Status.Stage)
			})
		})
	}
}

// A decider whose process stood still goes by nothing that it knew before: what others saw
// meanwhile is heard first.
func TestADeciderThatStoodStillHearsOthersFirst(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		j.play(ctx, 3*time.Second)
		require.Equal(t, rollout.InProgress, j.state())
		r, _ := j.rollouts.Load().Of("s")
		calls := j.store.calls
		time.Sleep(8 * time.Second) // the move's time has come, and its evidence is of before
		j.trials.tick(ctx, clock.Now())
		synctest.Wait()
		assert.Equal(t, calls, j.store.calls, "it hears others first")
		seen := rollout.RouteEvidence{Route: "r"}
		for c := range 8 {
			seen.Old[c], seen.Target[c] = rollout.Count{Answers: 300}, rollout.Count{Answers: 30, Bad: 20}
		}
		told := peer.RolloutSeen{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5, Routes: []rollout.RouteEvidence{seen}}, At: r.Revision.Number()}
		j.trials.Heard(peer.Teller{Name: "b", Life: "1"}, peer.RolloutWord{Seen: []peer.RolloutSeen{told}}, clock.Now())
		for range 5 {
			j.trials.tick(ctx, clock.Now())
			synctest.Wait()
			time.Sleep(judgeInterval)
		}
		assert.Equal(t, rollout.Reverted, j.state())
	})
}

// A delegate that did not decide for a while, as another one did, has not stood still.
func TestADelegateThatDidNotDecideHasNotStoodStill(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		for _, first := range []bool{true, false, true} {
			j.fleet.first = first
			j.play(ctx, 2*time.Second)
		}
		assert.Zero(t, j.trials.receivesUntil)
	})
}

// A decider whose VM was suspended decides nothing before it has heard others: what it
// believes of the order is old, and how old it is they know.
func TestADeciderThatWakesHearsOthersFirst(t *testing.T) {
	const slept = time.Minute
	inJudging(t, func(ctx context.Context, j *judging) {
		j.play(ctx, 3*time.Second)
		require.Equal(t, rollout.InProgress, j.state())
		calls := j.store.calls
		clock.Suspend(slept)
		defer clock.Suspend(-slept) // tests after it are of another process
		j.trials.afterSuspension(clock.Now())
		j.play(ctx, startSettleTime-judgeInterval)
		assert.Equal(t, calls, j.store.calls)
		r, _ := j.rollouts.Load().Of("s")
		told := peer.RolloutSeen{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5}, At: r.Revision.Number(), UsedMs: 4000}
		j.trials.Heard(peer.Teller{Name: "b", Life: "1"}, peer.RolloutWord{Seen: []peer.RolloutSeen{told}}, clock.Now())
		j.play(ctx, 2*time.Second)
		assert.Equal(t, rollout.InProgress, j.state(), "6 s of 12 are over")
	})
}

// An answer that lay in a socket while the process stood still is no slow one: what the old
// version shows must not excuse the target.
func TestAnAnswerThatLayUnreadIsNotSlow(t *testing.T) {
	for _, c := range []struct {
		name   string
		looked bool          // at the orders, since the standstill
		after  time.Duration // the standstill
		failed bool
		bad    bool
	}{
		{"before the next look", false, 0, false, false},
		{"after the next look", true, 100 * time.Millisecond, false, false},
		{"a failure is one", false, 0, true, true},
		{"a slow answer to a call that was sent later", true, 4 * time.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inJudging(t, func(ctx context.Context, j *judging) {
				j.play(ctx, 3*time.Second)
				time.Sleep(2 * time.Second)
				if c.looked {
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

// A status that was decided on before the process stood still is not written after it: what
// others saw meanwhile was not heard.
func TestAWriteThatAStandstillHeldUp(t *testing.T) {
	for _, c := range []struct {
		name  string
		state rollout.State
		stood time.Duration // between the decision and the write
		made  bool
	}{
		{"at once", rollout.Completed, 0, true},
		{"a little later", rollout.Completed, 200 * time.Millisecond, true},
		{"completed", rollout.Completed, 2 * time.Second, false},
		{"calls move on", rollout.InProgress, 2 * time.Second, false},
		{"taken back", rollout.Reverted, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inJudging(t, func(ctx context.Context, j *judging) {
				j.play(ctx, time.Second)
				before := j.store.calls
				o := j.trials.open["s"]
				o.writing = true
				w := rollout.Write{Status: rollout.Status{State: c.state, Target: "v2", Made: 5}, Revision: j.store.object.Revision}
				decided := clock.Now()
				time.Sleep(c.stood)
				j.trials.write(ctx, o, w, nil, decided)
				assert.Equal(t, c.made, j.store.calls > before)
				assert.False(t, o.writing, "the decider asks again")
				synctest.Wait()
			})
		})
	}
}

// The end of a stream tells how long its first event took, long after a standstill that the
// event lay unread in: it is no slow one by then either.
func TestAStreamWhoseFirstEventLayUnreadIsNotSlow(t *testing.T) {
	for _, c := range []struct {
		name  string
		began time.Duration // of the stream, before the standstill was over
		first time.Duration // until its first event
		bad   bool
	}{
		{"it began before the standstill", 2200 * time.Millisecond, 2200 * time.Millisecond, false},
		{"it began after the standstill", -time.Second, 2200 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inJudging(t, func(ctx context.Context, j *judging) {
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

// A process that stands still again and again excuses its own time, and no more: an answer
// that is slow whatever lay unread is a slow one.
func TestAnAnswerThatIsSlowBesideStandstillsIsSlow(t *testing.T) {
	for _, c := range []struct {
		name string
		took time.Duration
		bad  bool
	}{
		{"it may have lain unread", 2 * time.Second, false},
		{"it took longer than that", 6 * time.Second, true},
	} {
		for _, target := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, target %t", c.name, target), func(t *testing.T) {
				inJudging(t, func(ctx context.Context, j *judging) {
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
