package peer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// listing is a store that lists some nodes and notes what else is asked of it.
type listing struct {
	store.Store
	mu      sync.Mutex
	objects []store.Object
	fails   int // lists that fail at first
	calls   []string
	written []store.Object
}

func (s *listing) note(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}

func (s *listing) List(context.Context, string) ([]store.Object, int64, error) {
	s.note("list")
	if s.fails > 0 {
		s.fails--
		return nil, 0, store.ErrRefused
	}
	return s.objects, 9, nil
}

func (s *listing) Watch(ctx context.Context, _ string, since int64, wait time.Duration) ([]store.Event, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, since, nil
	}
}

func (s *listing) Get(context.Context, string, string) (store.Object, error) {
	s.note("get")
	return store.Object{Revision: 5}, nil
}

func (s *listing) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.note("put")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = append(s.written, o)
	for _, before := range s.objects {
		if before.Name == o.Name && before.Revision != o.Revision {
			return store.Object{}, store.ErrConflict
		}
	}
	return o, nil
}

// A node registers with one write after the first list, also where an earlier life of
// it is listed; where nothing is listed for long it does without.
func TestANodeRegistersWithOneWrite(t *testing.T) {
	entry := store.Object{Kind: Kind, Name: "a", Revision: 5, Data: []byte(`{"name":"a","life":"before","address":"x"}`)}
	cases := []struct {
		name     string
		listed   []store.Object
		fails    int
		calls    []string
		revision int64 // of the write that took effect
	}{
		{"nothing was there", nil, 0, []string{"list", "put"}, 0},
		{"an earlier life", []store.Object{entry}, 0, []string{"list", "put"}, 5},
		{"not listed in time", []store.Object{entry}, 9, []string{"put", "get", "put"}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				s := &listing{objects: c.listed, fails: c.fails}
				quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
				r := NewRegistry(s, Member{Name: "a", Life: "now"}, store.NewHealth(), 0, quiet)
				go r.Run(ctx, func(store.Change) {})
				time.Sleep(listedWait + 100*time.Millisecond)
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, call := range c.calls {
					assert.Contains(t, s.calls, call)
				}
				assert.Equal(t, c.fails > 0, len(s.written) == 2, "writes")
				assert.Equal(t, c.revision, s.written[len(s.written)-1].Revision)
			})
		})
	}
}

// The list of a large fleet may lag behind for longer: every change of it wakes all
// who watch the store.
func TestTheListOfALargeFleetRestsLonger(t *testing.T) {
	assert.Equal(t, smallRest, gossipOf("n1", members(allWrite)).registry.rest())
	assert.Equal(t, largeRest, gossipOf("n1", members(allWrite+1)).registry.rest())
}

// In a fleet that starts as a whole a node registers at once, lists the others when these
// have registered, and finds them all in one call.
func TestAFleetThatStartsRegistersFirst(t *testing.T) {
	const takes = 1500 * time.Millisecond
	cases := []struct {
		name    string
		earlier bool // a life of it is registered already
		want    []string
	}{
		{"the first life", false, []string{"put", "list"}},
		{"an earlier one is listed", true, []string{"put", "get", "put", "list"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &listing{}
				if c.earlier {
					s.objects = []store.Object{{Kind: Kind, Name: "a", Revision: 5, Data: []byte(`{"name":"a","life":"before"}`)}}
				}
				quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
				r := NewRegistry(s, Member{Name: "a", Life: "now"}, store.NewHealth(), 0, quiet).Starting(takes)
				ctx, cancel := context.WithCancel(t.Context())
				go r.Run(ctx, func(store.Change) {})
				time.Sleep(takes - time.Millisecond)
				s.mu.Lock()
				assert.Equal(t, c.want[:len(c.want)-1], s.calls)
				s.mu.Unlock()
				time.Sleep(2 * time.Millisecond)
				s.mu.Lock()
				assert.Equal(t, c.want, s.calls)
				s.mu.Unlock()
				cancel()
				synctest.Wait()
			})
		})
	}
}
