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

// scripted is a store that answers lists and watches in turn.
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
	after   time.Duration // that it comes
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
		name  string
		steps []answer
		calls []string
		seen  []string
	}{
		{"list, then watch", []answer{{at: 5}, {at: 6}, {at: 7}}, []string{"list", "watch", "watch"}, []string{"snapshot 5", "update 6", "update 7"}},
		{"history is gone", []answer{{at: 5}, {err: store.ErrCompacted}, {at: 9}}, []string{"list", "watch", "list"}, []string{"snapshot 5", "snapshot 9"}},
		{"an older list is dropped", []answer{{at: 5}, {err: store.ErrCompacted}, {at: 4}, {at: 6}}, []string{"list", "watch", "list", "list"}, []string{"snapshot 5", "lost", "snapshot 6"}},
		{"a watch that goes back is dropped", []answer{{at: 5}, {at: 3}, {at: 6}}, []string{"list", "watch", "list"}, []string{"snapshot 5", "lost", "snapshot 6"}},
		{"lost is told once", []answer{{err: lost}, {err: lost}, {at: 5}}, []string{"list", "list", "list"}, []string{"lost", "snapshot 5"}},
		{"after a lost watch all is listed anew", []answer{{at: 5}, {err: lost}, {at: 6}, {at: 7}}, []string{"list", "watch", "list", "watch"}, []string{"snapshot 5", "lost", "snapshot 6", "update 7"}},
		{"a change without a name is listed", []answer{{at: 5}, {at: 6, events: []store.Event{{Object: store.Object{Fault: "no JSON"}}}}, {at: 6}, {at: 7}}, []string{"list", "watch", "list", "watch"}, []string{"snapshot 5", "snapshot 6", "update 7"}},
		{"and again where that fails", []answer{{at: 5}, {at: 6, events: []store.Event{{Object: store.Object{Name: "n"}}, {}}}, {err: lost}, {at: 7}}, []string{"list", "watch", "list", "list"}, []string{"snapshot 5", "lost", "snapshot 7"}},
		{"an older list after a lost watch is dropped", []answer{{at: 5}, {err: lost}, {at: 4}, {at: 6}}, []string{"list", "watch", "list", "list"}, []string{"snapshot 5", "lost", "snapshot 6"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &scripted{steps: c.steps, done: cancel}
			var seen []string
			store.Follow(ctx, s, store.Watching{Kind: "kind", Rest: store.Always(time.Millisecond)}, func(change store.Change) { seen = append(seen, describe(change)) })
			assert.Equal(t, c.calls, s.calls)
			assert.Equal(t, c.seen, seen)
		})
	}
}

// An answer that is older than what was seen says that its source is behind, and nothing of
// the store: an entry that goes then did not lapse for want of it, and is not kept.
func TestASourceThatIsBehindIsNoLostStore(t *testing.T) {
	cases := []struct {
		name    string
		steps   []answer
		doubted bool
	}{
		{"a list that is older", []answer{{at: 5}, {err: store.ErrCompacted}, {at: 4}}, false},
		{"a watch that goes back", []answer{{at: 5}, {at: 3}}, false},
		{"no answer", []answer{{at: 5}, {err: errors.New("lost")}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			health := store.NewHealth()
			store.Follow(ctx, &scripted{steps: c.steps, done: cancel}, store.Watching{Kind: "kind", Rest: store.Always(time.Millisecond), Health: health}, func(store.Change) {})
			assert.Equal(t, c.doubted, health.Doubted())
		})
	}
}

// An answer that lay unread while the process stood still is followed by a watch at once:
// another rest would keep what changed meanwhile out of force for longer than is promised.
func TestNoRestAfterAStandstill(t *testing.T) {
	const rest, standsFor = 600 * time.Millisecond, 3 * time.Second
	events := []store.Event{{Object: store.Object{Name: "n"}}}
	for _, c := range []struct {
		name  string
		stood bool
		takes time.Duration
	}{
		{"it ran", false, standsFor + rest},
		{"it stood still", true, standsFor},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &scripted{steps: []answer{{at: 5}, {at: 6, events: events, after: standsFor}, {at: 7}}, done: cancel}
				began := time.Now()
				stood := func(since time.Time) bool { return c.stood && !since.After(began) }
				var at time.Duration
				w := store.Watching{Kind: "kind", Rest: store.Always(rest), Health: store.NewHealth().WithStandstills(stood)}
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

// A call whose time was over while this process stood still says nothing of the store: it
// would be doubted, and an endpoint that went meanwhile be kept in use.
func TestAStandstillIsNoLostStore(t *testing.T) {
	lost := errors.New("lost")
	for _, c := range []struct {
		name    string
		stands  []bool // while each of the calls is under way
		steps   []answer
		calls   []string
		doubted bool
	}{
		{"a watch, and it ran", nil, []answer{{at: 5}, {err: lost}, {at: 6}}, []string{"list", "watch", "list"}, true},
		{"a watch", []bool{false, true}, []answer{{at: 5}, {err: lost}, {at: 6}}, []string{"list", "watch", "list"}, false},
		{"a list", []bool{true}, []answer{{err: lost}, {at: 5}, {at: 6}}, []string{"list", "list", "watch"}, false},
		{"the store is lost beside it", []bool{true}, []answer{{err: lost}, {err: lost}, {at: 6}}, []string{"list", "list", "list"}, true},
		{"the store is lost while it stands still again and again", []bool{true, true, true, true}, []answer{{err: lost}, {err: lost}, {err: lost}, {at: 6}}, []string{"list", "list", "list", "list"}, true},
		{"it stands still again once the store answered", []bool{true, false, true}, []answer{{err: lost}, {at: 5}, {err: lost}, {at: 6}}, []string{"list", "list", "watch", "list"}, false},
		{"the history is gone beside it", []bool{false, true}, []answer{{at: 5}, {err: store.ErrCompacted}, {at: 6}}, []string{"list", "watch", "list"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &scripted{steps: c.steps, done: cancel}
			health := store.NewHealth().WithStandstills(func(time.Time) bool {
				done := len(s.calls) - 1
				return done < len(c.stands) && c.stands[done]
			})
			store.Follow(ctx, s, store.Watching{Kind: "kind", Rest: store.Always(time.Millisecond), Health: health}, func(store.Change) {})
			assert.Equal(t, c.calls, s.calls)
			assert.Equal(t, c.doubted, health.Doubted())
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
