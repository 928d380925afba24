package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// scripted is a store that answers calls with a sequence of steps.
type scripted struct {
	store.Store
	mu    sync.Mutex
	steps []answer
	calls []string
	done  context.CancelFunc
}

type answer struct {
	objects []store.Object
	events  []store.Event
	at      store.Revision
	err     error
	after   time.Duration // delay of the answer
}

func (s *scripted) next(call string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		s.done()
		return answer{err: context.Canceled}
	}
	s.calls = append(s.calls, call)
	a := s.steps[0]
	s.steps = s.steps[1:]
	time.Sleep(a.after)
	return a
}

func (s *scripted) List(context.Context, string) ([]store.Object, store.Revision, error) {
	a := s.next("list")
	return a.objects, a.at, a.err
}

func (s *scripted) Watch(_ context.Context, _ string, since store.Revision, _ time.Duration) ([]store.Event, store.Revision, error) {
	a := s.next("watch")
	return a.events, a.at, a.err
}

func TestFollow(t *testing.T) {
	lost := errors.New("lost")
	cases := []struct {
		name      string
		steps     []answer
		calls     []string
		delivered []string
	}{
		{"list, then watch", []answer{{at: 5}, {at: 6}, {at: 7}}, []string{"list", "watch", "watch"}, []string{"snapshot 5", "update 6", "update 7"}},
		{"history is compacted", []answer{{at: 5}, {err: store.ErrCompacted}, {at: 9}}, []string{"list", "watch", "list"}, []string{"snapshot 5", "snapshot 9"}},
		{"an older list is dropped", []answer{{at: 5}, {err: store.ErrCompacted}, {at: 4}, {at: 6}}, []string{"list", "watch", "list", "list"}, []string{"snapshot 5", "lost", "snapshot 6"}},
		{"a watch that goes back is dropped", []answer{{at: 5}, {at: 3}, {at: 6}}, []string{"list", "watch", "list"}, []string{"snapshot 5", "lost", "snapshot 6"}},
		{"lost is reported once", []answer{{err: lost}, {err: lost}, {at: 5}}, []string{"list", "list", "list"}, []string{"lost", "snapshot 5"}},
		{"after a lost watch the kind is listed again", []answer{{at: 5}, {err: lost}, {at: 6}, {at: 7}}, []string{"list", "watch", "list", "watch"}, []string{"snapshot 5", "lost", "snapshot 6", "update 7"}},
		{"a change without a name causes a list", []answer{{at: 5}, {at: 6, events: []store.Event{{Object: store.Object{Fault: "no JSON"}}}}, {at: 6}, {at: 7}}, []string{"list", "watch", "list", "watch"}, []string{"snapshot 5", "snapshot 6", "update 7"}},
		{"and another one if that fails", []answer{{at: 5}, {at: 6, events: []store.Event{{Object: store.Object{Name: "n"}}, {}}}, {err: lost}, {at: 7}}, []string{"list", "watch", "list", "list"}, []string{"snapshot 5", "lost", "snapshot 7"}},
		{"an older list after a lost watch is dropped", []answer{{at: 5}, {err: lost}, {at: 4}, {at: 6}}, []string{"list", "watch", "list", "list"}, []string{"snapshot 5", "lost", "snapshot 6"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &scripted{steps: c.steps, done: cancel}
			var delivered []string
			store.Follow(ctx, s, store.FollowOptions{Kind: "kind", Rest: store.FixedRest(time.Millisecond)}, func(change store.Change) { delivered = append(delivered, describe(change)) })
			assert.Equal(t, c.calls, s.calls)
			assert.Equal(t, c.delivered, delivered)
		})
	}
}

// An answer older than one already delivered shows that its source lags, not that the store
// is lost: an entry removed then did not expire because of an outage, and must not be kept.
func TestLaggingSourceIsNotAnOutage(t *testing.T) {
	cases := []struct {
		name      string
		steps     []answer
		suspected bool
	}{
		{"an older list", []answer{{at: 5}, {err: store.ErrCompacted}, {at: 4}}, false},
		{"a watch that goes back", []answer{{at: 5}, {at: 3}}, false},
		{"no answer", []answer{{at: 5}, {err: errors.New("lost")}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			health := store.NewHealth()
			store.Follow(ctx, &scripted{steps: c.steps, done: cancel}, store.FollowOptions{Kind: "kind", Rest: store.FixedRest(time.Millisecond), Health: health}, func(store.Change) {})
			assert.Equal(t, c.suspected, health.Suspected())
		})
	}
}

// An answer that waited in its socket while the process stalled is followed by a watch at once:
// another rest would delay the changes since for longer than is promised.
func TestNoRestAfterAStall(t *testing.T) {
	const rest, stall = 600 * time.Millisecond, 3 * time.Second
	events := []store.Event{{Object: store.Object{Name: "n"}}}
	for _, c := range []struct {
		name    string
		stalled bool
		takes   time.Duration
	}{
		{"running", false, stall + rest},
		{"stalled", true, stall},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &scripted{steps: []answer{{at: 5}, {at: 6, events: events, after: stall}, {at: 7}}, done: cancel}
				began := time.Now()
				stalled := func(since time.Time) bool { return c.stalled && !since.After(began) }
				var at time.Duration
				w := store.FollowOptions{Kind: "kind", Rest: store.FixedRest(rest), Health: store.NewHealth().WithStalls(stalled)}
				store.Follow(ctx, s, w, func(change store.Change) {
					if describe(change) == "update 7" {
						at = time.Since(began)
					}
				})
				assert.Equal(t, c.takes, at)
			})
		})
	}
}

// A call that timed out while this process stalled is no evidence of an outage. If it
// counted as an outage, an endpoint removed meanwhile would stay in use.
func TestStallIsNotAnOutage(t *testing.T) {
	lost := errors.New("lost")
	for _, c := range []struct {
		name      string
		stalls    []bool // during each of the calls
		steps     []answer
		calls     []string
		suspected bool
	}{
		{"a watch without a stall", nil, []answer{{at: 5}, {err: lost}, {at: 6}}, []string{"list", "watch", "list"}, true},
		{"a watch", []bool{false, true}, []answer{{at: 5}, {err: lost}, {at: 6}}, []string{"list", "watch", "list"}, false},
		{"a list", []bool{true}, []answer{{err: lost}, {at: 5}, {at: 6}}, []string{"list", "list", "watch"}, false},
		{"the store is lost as well", []bool{true}, []answer{{err: lost}, {err: lost}, {at: 6}}, []string{"list", "list", "list"}, true},
		{"the store is lost during repeated stalls", []bool{true, true, true, true}, []answer{{err: lost}, {err: lost}, {err: lost}, {at: 6}}, []string{"list", "list", "list", "list"}, true},
		{"a second stall after an answer", []bool{true, false, true}, []answer{{err: lost}, {at: 5}, {err: lost}, {at: 6}}, []string{"list", "list", "watch", "list"}, false},
		{"the history is compacted as well", []bool{false, true}, []answer{{at: 5}, {err: store.ErrCompacted}, {at: 6}}, []string{"list", "watch", "list"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &scripted{steps: c.steps, done: cancel}
			health := store.NewHealth().WithStalls(func(time.Time) bool {
				done := len(s.calls) - 1
				return done < len(c.stalls) && c.stalls[done]
			})
			store.Follow(ctx, s, store.FollowOptions{Kind: "kind", Rest: store.FixedRest(time.Millisecond), Health: health}, func(store.Change) {})
			assert.Equal(t, c.calls, s.calls)
			assert.Equal(t, c.suspected, health.Suspected())
		})
	}
}

func describe(c store.Change) string {
	switch c := c.(type) {
	case store.Snapshot:
		return "snapshot " + string(rune('0'+c.Revision))
	case store.Update:
		return "update " + string(rune('0'+c.Revision))
	default:
		return "lost"
	}
}
