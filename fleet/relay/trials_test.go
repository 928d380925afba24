package relay

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// statusStore is a store of one order whose status is written.
type statusStore struct {
	store.Store
	mu     sync.Mutex
	object store.Object
	calls  int
	fault  func() (done bool, err error) // result of a write; nil: success
	gets   func() error
	notify func(store.Change) // notifies the watchers; nil: none
}

func (s *statusStore) PutStatus(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	done, err := true, error(nil)
	if s.fault != nil {
		done, err = s.fault()
	}
	switch {
	case !done:
		return store.Object{}, err
	case o.Revision != s.object.Revision:
		return s.object, store.ErrConflict
	}
	s.object.Status = o.Status
	s.object.Revision++
	if s.notify != nil {
		go s.notify(changed(s.object.Revision, s.object))
	}
	return s.object, err
}

func (s *statusStore) Get(context.Context, string, string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.gets != nil {
		if err := s.gets(); err != nil {
			return store.Object{}, err
		}
	}
	return s.object, nil
}

// fakeDelegation is the role of a node among the delegates.
type fakeDelegation struct {
	delegate, first bool
	warnings        []rollout.AnnounceBad
}

func (f *fakeDelegation) Writes() bool                      { return f.delegate }
func (f *fakeDelegation) FirstDelegate() bool               { return f.first }
func (f *fakeDelegation) AnnounceBad(w rollout.AnnounceBad) { f.warnings = append(f.warnings, w) }

// judgingNode is a delegate on a store that holds an order of 12 s.
type judgingNode struct {
	*Node
	store *statusStore
	fleet *fakeDelegation
	bad   float64 // one answer of the target in so many fails; 0: none
	sent  int
}

func newJudgingNode() *judgingNode {
	j := &judgingNode{Node: versionedNode(), store: &statusStore{object: order("s", "v2", 5, 5, rollout.Status{})}, fleet: &fakeDelegation{delegate: true, first: true}}
	j.Node.store = store.NewSourced(j.store, func() []store.Source { return nil })
	j.trials.fleet = j.fleet
	j.store.notify = j.applyRollouts
	j.engineTable.apply(entries(2, "s/v1/a", "s/v1/b", "s/v1/c", "s/v1/d", "s/v2/e", "s/v2/f", "s/v2/g", "s/v2/h"))
	j.applyRollouts(listed(1))
	j.applyRollouts(changed(5, j.store.object))
	return j
}

// play advances time: of 100 calls a second ten try the target, or all while the service moves.
func (j *judgingNode) play(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		synctest.Wait()
		j.answers()
		j.trials.tick(ctx, clock.Now())
		synctest.Wait()
		time.Sleep(judgeInterval)
	}
}

func (j *judgingNode) answers() {
	r, _ := j.rollouts.Load().Of("s")
	for i := range 20 {
		j.sent++
		target := r.State() == rollout.InProgress && (i%10 == 0 || r.Status.Stage == rollout.Moving)
		j.trials.RecordExpected("s", time.Second)
		j.trials.Sample(rollout.Sample{
			Service: "s", Route: "r", Target: target, Endpoint: uint64(j.sent), Slowness: 1,
			Failed: target && j.bad > 0 && j.sent%int(j.bad) == 0,
		})
	}
}

func (j *judgingNode) state() rollout.State {
	r, _ := j.rollouts.Load().Of("s")
	return r.State()
}

// withJudgingNode runs a test in its own synctest bubble.
func withJudgingNode(t *testing.T, play func(ctx context.Context, j *judgingNode)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		play(ctx, newJudgingNode())
		cancel()
		synctest.Wait()
	})
}

// maxStatusCalls bounds the store calls that one rollout may cost its writer.
const maxStatusCalls = 30

func TestAGoodVersionIsCompletedInTime(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, 3*time.Second)
		assert.Equal(t, rollout.InProgress, j.state())
		all, beside := j.allowed("s")
		assert.Equal(t, []string{"v1/a", "v1/b", "v1/c", "v1/d"}, all)
		assert.NotEmpty(t, beside)
		j.play(ctx, 9*time.Second)
		assert.Equal(t, rollout.Completed, j.state())
		all, beside = j.allowed("s")
		assert.Equal(t, []string{"v2/e", "v2/f", "v2/g", "v2/h"}, all)
		assert.Empty(t, beside)
		assert.Less(t, j.store.calls, maxStatusCalls)
		assert.Empty(t, j.fleet.warnings)
		assert.Empty(t, j.trials.services(), "nothing is sent any more")
	})
}

func TestABadVersionIsReverted(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, time.Second)
		j.bad = 1
		j.play(ctx, 8*time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
		require.Len(t, j.fleet.warnings, 1)
		assert.NotEmpty(t, j.fleet.warnings[0].Why)
		all, _ := j.allowed("s")
		assert.Equal(t, []string{"v1/a", "v1/b", "v1/c", "v1/d"}, all)
		assert.Less(t, j.store.calls, maxStatusCalls)
	})
}

// Only the first delegate writes, and the next one continues from the status.
func TestAnotherDelegateTakesOver(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.fleet.first = false
		j.play(ctx, 2*time.Second)
		assert.Zero(t, j.store.calls)
		begun := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1}
		j.store.object = order("s", "v2", 5, 6, begun)
		j.applyRollouts(changed(6, j.store.object))
		j.play(ctx, 2*time.Second)
		assert.Zero(t, j.store.calls)
		j.fleet.first = true
		j.play(ctx, 9*time.Second)
		assert.Equal(t, rollout.Completed, j.state())
		r, _ := j.rollouts.Load().Of("s")
		assert.Less(t, r.Status.Used, 12*time.Second, "the time used before counts")
	})
}

// A node that is no delegate judges nothing.
func TestOnlyDelegatesJudge(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.fleet.delegate, j.bad = false, 1
		j.store.object = order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second})
		j.applyRollouts(changed(6, j.store.object))
		j.play(ctx, 4*time.Second)
		assert.Zero(t, j.store.calls)
		assert.Empty(t, j.fleet.warnings)
	})
}

// Guards against rollouts that stop, or flood the store, when answers to status writes are lost or
// writes are refused.
func TestFailedStatusWrites(t *testing.T) {
	lost := errors.New("no answer")
	cases := []struct {
		name  string
		fault func(n int) (done bool, err error) // of the n-th write
		gets  func(n int) error
		out   bool // the node reports meanwhile that it does not reach the store
		calls int  // maximum in three seconds
	}{
		{"the answer is lost, and it is done", func(n int) (bool, error) { return true, lost }, nil, false, 6},
		{"the answer is lost, and it isn't", func(n int) (bool, error) { return n > 1, lost }, nil, false, 8},
		{"it is refused at first", func(n int) (bool, error) { return n > 2, store.ErrRefused }, nil, true, 8},
		{"neither the write nor a read is answered at first", func(n int) (bool, error) { return n > 1, lost }, func(n int) error {
			if n < 2 {
				return lost
			}
			return nil
		}, true, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
				writes, reads := 0, 0
				j.store.fault = func() (bool, error) {
					writes++
					done, err := c.fault(writes)
					if done && errors.Is(err, store.ErrRefused) {
						err = nil
					}
					return done, err
				}
				if c.gets != nil {
					j.store.gets = func() error { reads++; return c.gets(reads) }
				}
				j.play(ctx, judgeInterval)
				assert.Equal(t, c.out, j.trials.WriteFailed(time.Now()))
				j.play(ctx, 3*time.Second)
				assert.Equal(t, rollout.InProgress, j.state())
				assert.LessOrEqual(t, j.store.calls, c.calls)
			})
		})
	}
}

// After a conflict the later writer continues from what the first one wrote.
func TestALaterWriterContinuesFromTheFirst(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		first := rollout.Status{State: rollout.Reverted, Target: "v2", Made: 5}
		j.store.object = order("s", "v2", 5, 6, first) // nobody observed it yet
		j.play(ctx, time.Second)
		assert.Equal(t, 1, j.store.calls)
		r, _ := j.trials.open["s"].decider.Rollout()
		assert.Equal(t, rollout.Reverted, r.State())
	})
}

// Guards against calls to a bad version during an outage of the store: it is dropped at once, and
// the status follows.
func TestABadVersionIsDroppedWhileTheStoreIsUnavailable(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, time.Second)
		unavailable := true
		j.store.fault = func() (bool, error) { return !unavailable, refusedIf(unavailable) }
		j.bad = 1
		before := j.store.calls
		j.play(ctx, 5*time.Second)
		assert.Equal(t, rollout.InProgress, j.state())
		require.NotEmpty(t, j.fleet.warnings)
		assert.True(t, j.trials.open["s"].bad)
		assert.Less(t, j.store.calls-before, maxStatusCalls)
		assert.Len(t, j.trials.Bad(), 1, "it is sent again")
		unavailable = false
		j.play(ctx, 3*time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
		assert.Empty(t, j.trials.Bad())
	})
}

func refusedIf(unavailable bool) error {
	if unavailable {
		return store.ErrRefused
	}
	return nil
}

// A version that a peer found bad gets no calls at once, also if the order arrives later, and the
// writing delegate reverts it.
func TestAVersionThatAPeerFoundBad(t *testing.T) {
	w := rollout.AnnounceBad{Service: "s", Target: "v2", Made: 5, Why: "fails"}
	receive := func(n *Node, w rollout.AnnounceBad) {
		n.trials.Receive(peer.Sender{Name: "o", Incarnation: "o/1"}, peer.RolloutReport{Bad: []rollout.AnnounceBad{w}}, time.Now())
	}
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, time.Second)
		receive(j.Node, rollout.AnnounceBad{Service: "s", Target: "v3", Made: 5})
		receive(j.Node, rollout.AnnounceBad{Service: "s", Target: "v2", Made: 4})
		assert.False(t, j.trials.open["s"].bad, "that is another order")
		receive(j.Node, w)
		receive(j.Node, w)
		assert.True(t, j.trials.open["s"].bad)
		assert.Equal(t, []rollout.AnnounceBad{w}, j.trials.Bad())
		j.play(ctx, time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
	})
	n := versionedNode()
	n.applyRollouts(listed(1))
	receive(n, w)
	n.applyRollouts(changed(5, order("s", "v2", 5, 5, rollout.Status{})))
	assert.True(t, n.trials.open["s"].bad)
}

// Guards against evidence that counts twice: reports of nodes of the zone and of other zones may
// arrive twice, late or never.
func TestReportsOfOthersCountOnce(t *testing.T) {
	n := versionedNode()
	n.settings.Zone = "near"
	n.applyRollouts(listed(9, order("s", "v2", 5, 5, rollout.Status{})))
	observed := func(zone string, answers, old int) peer.RolloutEvidence {
		e := rollout.Evidence{Service: "s", Made: 5, Routes: []rollout.RouteEvidence{{Route: "r", Old: rollout.Counts{{Answers: answers}}}}}
		return peer.RolloutEvidence{Zone: zone, Target: "v2", Evidence: e, Old: old, LastsMs: int64(answers)}
	}
	now := time.Now()
	send := func(name, incarnation string, s peer.RolloutEvidence) {
		n.trials.Receive(peer.Sender{Name: name, Incarnation: incarnation}, peer.RolloutReport{Evidence: []peer.RolloutEvidence{s}}, now)
	}
	send("a", "a/1", observed("", 5, 2))
	send("a", "a/1", observed("", 5, 2))
	send("a", "a/1", observed("", 3, 1)) // out of date
	send("a", "a/2", observed("", 10, 3))
	send("b", "b/1", observed("", 100, 4))
	send("c", "c/1", observed("far", 1000, 10))
	send("d", "d/1", observed("far", 990, 11))
	send("e", "e/1", observed("near", 50, 7)) // the other delegate of the zone knows less
	other := observed("", 7, 7)
	other.Target = "v3"
	send("f", "f/1", other)
	own := n.trials.Zone(now)
	require.Len(t, own, 1)
	all, _ := own[0].Evidence.Answers()
	assert.Equal(t, 115, all.Answers)
	assert.Equal(t, "near", own[0].Zone)
	assert.Equal(t, 7, own[0].Old)
	assert.Equal(t, int64(100), own[0].LastsMs)
	n.trials.fleet = &fakeDelegation{delegate: true}
	n.trials.tick(t.Context(), now)
	o := n.trials.open["s"]
	all, _ = o.fleetEvidence.Sum().Answers()
	assert.Equal(t, 1115, all.Answers)
	assert.Equal(t, 18, o.sum(report{}, now, func(string) bool { return true }).old)
	assert.Zero(t, o.sum(report{}, now.Add(reportTTL), func(string) bool { return true }).old, "a sender that is silent for so long has ended")
}

// Guards against evidence on an earlier order: one that is changed or made again is another order.
func TestAnotherOrderBeginsAnew(t *testing.T) {
	cases := []struct {
		name string
		next store.Object
		same bool
	}{
		{"a new status", order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5}), true},
		{"another target", order("s", "v3", 5, 6, rollout.Status{}), false},
		{"made again", order("s", "v2", 6, 6, rollout.Status{}), false},
	}
	for _, c := range cases {
		n := versionedNode()
		n.applyRollouts(listed(5, order("s", "v2", 5, 5, rollout.Status{})))
		n.trials.Sample(rollout.Sample{Service: "s", Route: "r", Endpoint: 1})
		n.applyRollouts(changed(6, c.next))
		all, _ := n.trials.Own(time.Now())[0].Evidence.Answers()
		assert.Equal(t, c.same, all.Answers == 1, c.name)
	}
}

// Guards against elapsed time that is lost when nodes restart one after the other: the node that
// found the status first knows a lower bound, which is passed on.
func TestElapsedTimeSurvivesRestartsOfAllNodes(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.store.object = order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1})
		j.applyRollouts(listed(6, j.store.object))
		sent := peer.RolloutEvidence{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5}, At: 6, UsedMs: 20_000, AtLeast: true}
		j.trials.Receive(peer.Sender{Name: "b", Incarnation: "1"}, peer.RolloutReport{Evidence: []peer.RolloutEvidence{sent}}, time.Now())
		own := j.trials.Own(time.Now())
		require.Len(t, own, 1)
		assert.Equal(t, int64(20_000), own[0].UsedMs, "and is passed on")
		assert.True(t, own[0].AtLeast)
		j.play(ctx, 3*time.Second)
		assert.Equal(t, rollout.Reverted, j.state(), "its time ran out long ago")
	})
}

// Guards against a write that lets calls go to a target that another node found bad after the
// decision; the next write reverts it.
func TestAWriteSupersededByAWarning(t *testing.T) {
	withJudgingNode(t, func(ctx context.Context, j *judgingNode) {
		j.play(ctx, time.Second)
		before := j.store.calls
		o := j.trials.open["s"]
		o.bad, o.writing = true, true
		w := rollout.Write{Status: rollout.Status{State: rollout.Completed, Target: "v2", Made: 5}, Revision: j.store.object.Revision}
		j.trials.write(ctx, o, w, nil, time.Now())
		assert.Equal(t, before, j.store.calls)
		j.play(ctx, 2*time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
	})
}

// Endpoints that take new work are counted: of the old version without barred ones, and of the
// target with its cohorts.
func TestEndpointsAreCountedByVersion(t *testing.T) {
	n := versionedNode()
	barred := rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Barred: []string{"v0"}}
	n.applyRollouts(listed(9, order("s", "v2", 5, 6, barred)))
	n.engineTable.apply(entries(2, "s/v0/a", "s/v1/b", "s/v1/c", "s/v2/d"))
	o := n.trials.open["s"]
	assert.Equal(t, 2, o.counts.old)
	assert.Equal(t, 1, o.counts.target)
	assert.Equal(t, 1, o.counts.cohorts)
	assert.Zero(t, o.counts.cold(time.Now()))
	assert.Len(t, o.ids, 3, "calls run at all of them")
	var many []string
	for i := range 200 {
		many = append(many, "s/v2/"+strconv.Itoa(i))
	}
	n.engineTable.apply(entries(2, many...))
	assert.Equal(t, rollout.Cohorts, o.counts.cohorts)
}
