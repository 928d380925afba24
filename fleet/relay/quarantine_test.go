package relay

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// keptStore keeps the objects of one kind, and counts its calls.
type quarantineStore struct {
	store.Store
	mu      sync.Mutex
	objects map[string]store.Object
	writes  int
	lost    bool // it refuses
}

func (s *quarantineStore) List(context.Context, string) ([]store.Object, store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil, 0, store.ErrRefused
	}
	all := []store.Object{}
	for _, o := range s.objects {
		all = append(all, o)
	}
	return all, 1, nil
}

func (s *quarantineStore) Put(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return store.Object{}, store.ErrRefused
	}
	there, known := s.objects[o.Name]
	if known && there.Revision != o.Revision {
		return there, store.ErrConflict
	}
	s.writes++
	o.Revision++
	s.objects[o.Name] = o
	return o, nil
}

func (s *quarantineStore) Delete(_ context.Context, _, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.objects[name]; !known {
		return store.ErrNotFound
	}
	delete(s.objects, name)
	return nil
}

// keeping is a node that judges, before a store.
func keeping(s store.Store) *quarantineManager {
	n := testNode()
	n.store = store.NewSourced(s, func() []store.Source { return nil })
	q := &quarantineManager{Node: n, slot: func(string) int { return 0 }}
	q.Book = quarantine.NewBook(quarantine.DefaultRule(), q, func() quarantine.Role { return quarantine.Peer })
	return q
}

var deadlyFingerprint = quarantine.PrintOf("customer", "POST", "h", "/", []byte("deadly"))

// heldBack has a node learn of a request that is held back.
func (q *quarantineManager) heldBack(t *testing.T, round int) quarantine.Held {
	t.Helper()
	w := quarantine.HeldWord{Print: deadlyFingerprint, Round: round, ForMs: time.Minute.Milliseconds(), Answered: true, Customer: "customer", Ends: []string{"e1"}}
	require.Len(t, q.Book.Heard(quarantine.Words{Held: []quarantine.HeldWord{w}}, clock.Now()), 1)
	h, _ := q.Of(deadlyFingerprint)
	return h
}

// A request that is held back is written once, whoever judged, and a later round over an
// earlier one; it is taken away as it is let go. A node that starts reads it.
func TestTheStoreKeepsWhatIsHeldBack(t *testing.T) {
	s := &quarantineStore{objects: map[string]store.Object{}}
	first, second := keeping(s), keeping(s)
	first.persist(first.heldBack(t, 1))
	second.persist(second.heldBack(t, 1))
	assert.Equal(t, 1, s.writes, "the second one finds it there")
	assert.Contains(t, s.objects, deadlyFingerprint.String())
	started := keeping(s)
	require.True(t, started.loadOnce(t.Context()))
	assert.True(t, started.Holds(deadlyFingerprint, clock.Now()))
	assert.True(t, started.Watches("customer"))
	later := keeping(s)
	later.persist(later.heldBack(t, 2))
	assert.Equal(t, 2, s.writes)
	require.True(t, started.Release(deadlyFingerprint, clock.Now()))
	assert.Eventually(t, func() bool { h, _ := started.Of(deadlyFingerprint); return h.Stored }, time.Second, time.Millisecond)
	assert.Empty(t, s.objects)
}

// What can't be read holds nothing back, and costs no other; a store that refuses is asked
// again.
func TestEntriesOfRequestsThatCantBeRead(t *testing.T) {
	s := &quarantineStore{objects: map[string]store.Object{}, lost: true}
	writer := keeping(s)
	h := writer.heldBack(t, 1)
	started := keeping(s)
	assert.False(t, started.loadOnce(t.Context()))
	s.lost = false
	writer.persist(h)
	other := quarantine.PrintOf("customer", "POST", "h", "/", []byte("other"))
	data, err := json.Marshal(quarantine.HeldWord{Print: other, Round: 1, ForMs: 60_000})
	require.NoError(t, err)
	for name, text := range map[string]string{"spoiled": "{", "of another name": string(data), other.String(): `{"p":"zz"}`} {
		s.objects[name] = store.Object{Kind: quarantineKind, Name: name, Data: json.RawMessage(text), Revision: 1}
	}
	s.objects["unreadable"] = store.Object{Kind: quarantineKind, Name: "unreadable", Fault: "no JSON"}
	require.True(t, started.loadOnce(t.Context()))
	assert.True(t, started.Holds(deadlyFingerprint, clock.Now()))
	assert.False(t, started.Holds(other, clock.Now()))
	assert.Len(t, started.List(clock.Now()), 1)
}

// When its time is over one node takes a request out of the store, unless it was held back
// anew, or let go.
func TestARequestWhoseTimeIsOverIsTakenAway(t *testing.T) {
	s := &quarantineStore{objects: map[string]store.Object{}}
	q := keeping(s)
	h := q.heldBack(t, 1)
	q.persist(h)
	q.slot = func(string) int { return 1 }
	q.expire(h)
	assert.Len(t, s.objects, 1, "another node does")
	q.slot = func(string) int { return 0 }
	old := h
	old.Round = 0
	q.expire(old)
	assert.Len(t, s.objects, 1, "it was held back anew since")
	q.expire(h)
	assert.Empty(t, s.objects)
	q.expire(h) // it is gone already
}

// An endpoint that takes connections has not ended, and one that refuses them has.
func TestAnEndpointIsAskedWhetherItHasEnded(t *testing.T) {
	q := keeping(&quarantineStore{})
	listening := freeListener(t)
	alive := engine.Engine{ID: "alive", Address: listening.Addr().String(), Service: "s"}
	gone := engine.Engine{ID: "gone", Address: closedAddress(t), Service: "s"}
	q.Engines([]engine.Engine{alive, gone}, clock.Now())
	for _, e := range []engine.Engine{alive, gone} {
		q.Cut(e, quarantine.Suspect{Print: deadlyFingerprint, Customer: e.ID}, clock.Now())
	}
	assert.Eventually(t, func() bool { return q.Watches("gone") }, time.Second, time.Millisecond)
	time.Sleep(firstEndCheck + secondEndCheck + 50*time.Millisecond)
	assert.False(t, q.Watches("alive"))
}

func freeListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// closedAddress is one that nobody listens at.
func closedAddress(t *testing.T) string {
	t.Helper()
	l := freeListener(t)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// Guards against requests that end endpoints again once all nodes were lost, where a copy of
// the store lacks them.
func TestWhatIsHeldBackIsWrittenBackToACopyOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		q := keeping(s)
		q.persist(q.heldBack(t, 1))
		s.objects = map[string]store.Object{}
		q.writeBack()
		time.Sleep(time.Second)
		started := keeping(s)
		require.True(t, started.loadOnce(t.Context()))
		assert.True(t, started.Holds(deadlyFingerprint, clock.Now()))
		others := &quarantineStore{objects: map[string]store.Object{}} // the nodes before probe it in theirs
		behind := keeping(others)
		behind.heldBack(t, 1)
		behind.slot = func(string) int { return 7 }
		behind.writeBack()
		time.Sleep(time.Minute)
		assert.Zero(t, others.writes, "others do so")
	})
}
