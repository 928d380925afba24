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

// statusStore is a store of one order, whose status is written.
type statusStore struct {
	store.Store
	mu     sync.Mutex
	object store.Object
	calls  int
	fault  func() (done bool, err error) // of a write; nil: none
	gets   func() error
	tell   func(store.Change) // whoever watches
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
	if s.tell != nil {
		go s.tell(changed(s.object.Revision, s.object))
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

// fakeFleet is a node's part among the delegates.
type fakeFleet struct {
	delegate, first bool
	told            []rollout.Warn
}

func (f *fakeFleet) Writes() bool           { return f.delegate }
func (f *fakeFleet) FirstDelegate() bool    { return f.first }
func (f *fakeFleet) TellBad(w rollout.Warn) { f.told = append(f.told, w) }

// judging is a delegate before a store that holds an order of 12 s.
type judging struct {
	*Node
	store *statusStore
	fleet *fakeFleet
	bad   float64 // every so many-th answer of the target fails; 0 is none
	sent  int
}

func newJudging() *judging {
	j := &judging{Node: versionedNode(), store: &statusStore{object: order("s", "v2", 5, 5, rollout.Status{})}, fleet: &fakeFleet{delegate: true, first: true}}
	j.Node.store = store.NewSourced(j.store, func() []store.Source { return nil })
	j.trials.fleet = j.fleet
	j.store.tell = j.applyRollouts
	j.engineTable.apply(entries(2, "s/v1/a", "s/v1/b", "s/v1/c", "s/v1/d", "s/v2/e", "s/v2/f", "s/v2/g", "s/v2/h"))
	j.applyRollouts(listed(1))
	j.applyRollouts(changed(5, j.store.object))
	return j
}

// play lets time pass: of each 100 calls a second ten try the target, or all while the
// service moves.
func (j *judging) play(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		synctest.Wait()
		j.answers()
		j.trials.tick(ctx, clock.Now())
		synctest.Wait()
		time.Sleep(judgeInterval)
	}
}

func (j *judging) answers() {
	r, _ := j.rollouts.Load().Of("s")
	for i := range 20 {
		j.sent++
		target := r.State() == rollout.InProgress && (i%10 == 0 || r.Status.Stage == rollout.Moving)
		j.trials.Lasts("s", time.Second)
		j.trials.Sample(rollout.Sample{
			Service: "s", Route: "r", Target: target, Endpoint: uint64(j.sent), Slowness: 1,
			Failed: target && j.bad > 0 && j.sent%int(j.bad) == 0,
		})
	}
}

func (j *judging) state() rollout.State {
	r, _ := j.rollouts.Load().Of("s")
	return r.State()
}

// inJudging plays a test in a bubble of its own.
func inJudging(t *testing.T, play func(ctx context.Context, j *judging)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		play(ctx, newJudging())
		cancel()
		synctest.Wait()
	})
}

// mostStatusCalls bounds the calls to the store that one rollout may cost its writer.
const mostStatusCalls = 30

func TestAGoodVersionIsCompletedInTime(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		j.play(ctx, 3*time.Second)
		assert.Equal(t, rollout.InProgress, j.state())
		all, beside := j.may("s")
		assert.Equal(t, []string{"v1/a", "v1/b", "v1/c", "v1/d"}, all)
		assert.NotEmpty(t, beside)
		j.play(ctx, 9*time.Second)
		assert.Equal(t, rollout.Completed, j.state())
		all, beside = j.may("s")
		assert.Equal(t, []string{"v2/e", "v2/f", "v2/g", "v2/h"}, all)
		assert.Empty(t, beside)
		assert.Less(t, j.store.calls, mostStatusCalls)
		assert.Empty(t, j.fleet.told)
		assert.Empty(t, j.trials.services(), "nothing is told any more")
	})
}

func TestABadVersionIsTakenBack(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		j.play(ctx, time.Second)
		j.bad = 1
		j.play(ctx, 8*time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
		require.Len(t, j.fleet.told, 1)
		assert.NotEmpty(t, j.fleet.told[0].Why)
		all, _ := j.may("s")
		assert.Equal(t, []string{"v1/a", "v1/b", "v1/c", "v1/d"}, all)
		assert.Less(t, j.store.calls, mostStatusCalls)
	})
}

// Only the first of the delegates writes, and the next one goes on from the status.
func TestAnotherDelegateTakesOver(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
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
	inJudging(t, func(ctx context.Context, j *judging) {
		j.fleet.delegate, j.bad = false, 1
		j.store.object = order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second})
		j.applyRollouts(changed(6, j.store.object))
		j.play(ctx, 4*time.Second)
		assert.Zero(t, j.store.calls)
		assert.Empty(t, j.fleet.told)
	})
}

// What becomes of writes whose answers are lost, that are refused, or that others were
// sooner with.
func TestWritesThatDoNotGoWell(t *testing.T) {
	lost := errors.New("no answer")
	cases := []struct {
		name  string
		fault func(n int) (done bool, err error) // of the n-th write
		gets  func(n int) error
		out   bool // the node says meanwhile that it does not reach the store
		calls int  // in three seconds at most
	}{
		{"the answer is lost, and it is done", func(n int) (bool, error) { return true, lost }, nil, false, 6},
		{"the answer is lost, and it isn't", func(n int) (bool, error) { return n > 1, lost }, nil, false, 8},
		{"it is refused at first", func(n int) (bool, error) { return n > 2, store.ErrRefused }, nil, true, 8},
		{"neither it nor what is there is told at first", func(n int) (bool, error) { return n > 1, lost }, func(n int) error {
			if n < 2 {
				return lost
			}
			return nil
		}, true, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inJudging(t, func(ctx context.Context, j *judging) {
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
				assert.Equal(t, c.out, j.trials.Out(time.Now()))
				j.play(ctx, 3*time.Second)
				assert.Equal(t, rollout.InProgress, j.state())
				assert.LessOrEqual(t, j.store.calls, c.calls)
			})
		})
	}
}

// A conflict brings the object as it is: who was later goes on from what the first wrote.
func TestWhoWasLaterGoesOnFromTheFirst(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		first := rollout.Status{State: rollout.Reverted, Target: "v2", Made: 5}
		j.store.object = order("s", "v2", 5, 6, first) // nobody saw it yet
		j.play(ctx, time.Second)
		assert.Equal(t, 1, j.store.calls)
		r, _ := j.trials.open["s"].decider.Rollout()
		assert.Equal(t, rollout.Reverted, r.State())
	})
}

// While the store is away a bad version is dropped all the same, and the status follows.
func TestABadVersionIsDroppedWhileTheStoreIsAway(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		j.play(ctx, time.Second)
		away := true
		j.store.fault = func() (bool, error) { return !away, refusedIf(away) }
		j.bad = 1
		before := j.store.calls
		j.play(ctx, 5*time.Second)
		assert.Equal(t, rollout.InProgress, j.state())
		require.NotEmpty(t, j.fleet.told)
		assert.True(t, j.trials.open["s"].bad)
		assert.Less(t, j.store.calls-before, mostStatusCalls)
		assert.Len(t, j.trials.Bad(), 1, "it is told again")
		away = false
		j.play(ctx, 3*time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
		assert.Empty(t, j.trials.Bad())
	})
}

func refusedIf(away bool) error {
	if away {
		return store.ErrRefused
	}
	return nil
}

// A version that a peer found bad gets nothing at once, also where the order is heard of
// only later, and the delegate that writes writes so.
func TestAVersionThatAPeerFoundBad(t *testing.T) {
	w := rollout.Warn{Service: "s", Target: "v2", Made: 5, Why: "fails"}
	heard := func(n *Node, w rollout.Warn) {
		n.trials.Heard(peer.Teller{Name: "o", Life: "o/1"}, peer.RolloutWord{Bad: []rollout.Warn{w}}, time.Now())
	}
	inJudging(t, func(ctx context.Context, j *judging) {
		j.play(ctx, time.Second)
		heard(j.Node, rollout.Warn{Service: "s", Target: "v3", Made: 5})
		heard(j.Node, rollout.Warn{Service: "s", Target: "v2", Made: 4})
		assert.False(t, j.trials.open["s"].bad, "that is another order")
		heard(j.Node, w)
		heard(j.Node, w)
		assert.True(t, j.trials.open["s"].bad)
		assert.Equal(t, []rollout.Warn{w}, j.trials.Bad())
		j.play(ctx, time.Second)
		assert.Equal(t, rollout.Reverted, j.state())
	})
	n := versionedNode()
	n.applyRollouts(listed(1))
	heard(n, w)
	n.applyRollouts(changed(5, order("s", "v2", 5, 5, rollout.Status{})))
	assert.True(t, n.trials.open["s"].bad)
}

// What nodes of the zone tell, and what other zones do, is counted once each, whatever
// comes twice, late or not at all.
func TestWhatOthersTellCountsOnce(t *testing.T) {
	n := versionedNode()
	n.settings.Zone = "near"
	n.applyRollouts(listed(9, order("s", "v2", 5, 5, rollout.Status{})))
	seen := func(zone string, answers, old int) peer.RolloutSeen {
		e := rollout.Evidence{Service: "s", Made: 5, Routes: []rollout.RouteEvidence{{Route: "r", Old: rollout.Counts{{Answers: answers}}}}}
		return peer.RolloutSeen{Zone: zone, Target: "v2", Evidence: e, Old: old, LastsMs: int64(answers)}
	}
	now := time.Now()
	tell := func(name, incarnation string, s peer.RolloutSeen) {
		n.trials.Heard(peer.Teller{Name: name, Life: incarnation}, peer.RolloutWord{Seen: []peer.RolloutSeen{s}}, now)
	}
	tell("a", "a/1", seen("", 5, 2))
	tell("a", "a/1", seen("", 5, 2))
	tell("a", "a/1", seen("", 3, 1)) // overtaken
	tell("a", "a/2", seen("", 10, 3))
	tell("b", "b/1", seen("", 100, 4))
	tell("c", "c/1", seen("far", 1000, 10))
	tell("d", "d/1", seen("far", 990, 11))
	tell("e", "e/1", seen("near", 50, 7)) // the other delegate of the zone knows less
	other := seen("", 7, 7)
	other.Target = "v3"
	tell("f", "f/1", other)
	mine := n.trials.Zone(now)
	require.Len(t, mine, 1)
	all, _ := mine[0].Evidence.Answers()
	assert.Equal(t, 115, all.Answers)
	assert.Equal(t, "near", mine[0].Zone)
	assert.Equal(t, 7, mine[0].Old)
	assert.Equal(t, int64(100), mine[0].LastsMs)
	n.trials.fleet = &fakeFleet{delegate: true}
	n.trials.tick(t.Context(), now)
	o := n.trials.open["s"]
	all, _ = o.fleetEvidence.Sum().Answers()
	assert.Equal(t, 1115, all.Answers)
	assert.Equal(t, 18, o.sum(report{}, now, func(string) bool { return true }).old)
	assert.Zero(t, o.sum(report{}, now.Add(reportTTL), func(string) bool { return true }).old, "who says nothing for so long has ended")
}

// An order that is changed on the way, or made again, is another one: nothing that was
// seen before counts.
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

// A node that finds a status under way hears first what others saw, and says that it does
// Once a status is seen to be written, how much of the duration is over is known again,
// A node that starts anew in the midst of an order hears from others how much time is
// Where all nodes found the status, the one that found it first knows how much time is
// over at least: it isn't forgotten when the others end one after the other.
func TestTimeGoesOnThroughLivesThatAllFoundTheStatus(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
		j.store.object = order("s", "v2", 5, 6, rollout.Status{State: rollout.InProgress, Target: "v2", Made: 5, Share: 0.1, Used: time.Second, Writes: 1})
		j.applyRollouts(listed(6, j.store.object))
		told := peer.RolloutSeen{Target: "v2", Evidence: rollout.Evidence{Service: "s", Made: 5}, At: 6, UsedMs: 20_000, AtLeast: true}
		j.trials.Heard(peer.Teller{Name: "b", Life: "1"}, peer.RolloutWord{Seen: []peer.RolloutSeen{told}}, time.Now())
		own := j.trials.Own(time.Now())
		require.Len(t, own, 1)
		assert.Equal(t, int64(20_000), own[0].UsedMs, "and is told on")
		assert.True(t, own[0].AtLeast)
		j.play(ctx, 3*time.Second)
		assert.Equal(t, rollout.Reverted, j.state(), "its time was over long ago")
	})
}

// A target that another node found bad between the decision and its write is not let go
// on, and the next write takes it back.
func TestAWriteThatIsOvertakenByAWarning(t *testing.T) {
	inJudging(t, func(ctx context.Context, j *judging) {
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

// What is counted of endpoints are those that take new work: of the old version without
// what is barred, and of the target with the groups that it counts in.
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
