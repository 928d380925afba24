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
	"github.com/lynxshed/lynxshed/fleet/relay/dial/dialtest"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// quarantineStore keeps the objects of one kind and counts writes.
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

// quarantineNode returns a judging node on a store.
func quarantineNode(s store.Store) *quarantineManager {
	n := testNode()
	n.store = store.NewSourced(s, func() []store.Source { return nil })
	q := &quarantineManager{Node: n, slot: func(string) int { return 0 }}
	q.Tracker = quarantine.NewTracker(quarantine.DefaultRule(), q, func() quarantine.Role { return quarantine.Peer })
	return q
}

var deadlyFingerprint = quarantine.FingerprintOf("customer", "POST", "h", "/", []byte("deadly"))

// learnHeld has a node learn of a quarantined request.
func (q *quarantineManager) learnHeld(t *testing.T, round int) quarantine.Held {
	t.Helper()
	w := quarantine.HeldReport{Fingerprint: deadlyFingerprint, Round: round, ForMs: time.Minute.Milliseconds(), Answered: true, Customer: "customer", Ends: []string{"e1"}}
	require.Len(t, q.Tracker.Receive(quarantine.Report{Held: []quarantine.HeldReport{w}}, clock.Now()), 1)
	h, _ := q.Lookup(deadlyFingerprint)
	return h
}

// A quarantined request is written once, whichever node judged it, and a later round replaces an
// earlier one. It is deleted when released, and read by nodes that start.
func TestTheStoreKeepsQuarantinedRequests(t *testing.T) {
	s := &quarantineStore{objects: map[string]store.Object{}}
	first, second := quarantineNode(s), quarantineNode(s)
	first.persist(first.learnHeld(t, 1))
	second.persist(second.learnHeld(t, 1))
	assert.Equal(t, 1, s.writes, "the second one finds it there")
	assert.Contains(t, s.objects, deadlyFingerprint.String())
	started := quarantineNode(s)
	require.True(t, started.loadOnce(t.Context()))
	assert.True(t, started.IsQuarantined(deadlyFingerprint, clock.Now()))
	assert.True(t, started.Watches("customer"))
	later := quarantineNode(s)
	later.persist(later.learnHeld(t, 2))
	assert.Equal(t, 2, s.writes)
	require.True(t, started.Release(deadlyFingerprint, clock.Now()))
	assert.Eventually(t, func() bool { h, _ := started.Lookup(deadlyFingerprint); return h.Stored }, time.Second, time.Millisecond)
	assert.Empty(t, s.objects)
}

// Guards against stored requests that are lost because one entry is unreadable or the store
// refused at first.
func TestUnreadableQuarantineEntriesAreIgnored(t *testing.T) {
	s := &quarantineStore{objects: map[string]store.Object{}, lost: true}
	writer := quarantineNode(s)
	h := writer.learnHeld(t, 1)
	started := quarantineNode(s)
	assert.False(t, started.loadOnce(t.Context()))
	s.lost = false
	writer.persist(h)
	other := quarantine.FingerprintOf("customer", "POST", "h", "/", []byte("other"))
	data, err := json.Marshal(quarantine.HeldReport{Fingerprint: other, Round: 1, ForMs: 60_000})
	require.NoError(t, err)
	for name, text := range map[string]string{"malformed": "{", "of another name": string(data), other.String(): `{"p":"zz"}`} {
		s.objects[name] = store.Object{Kind: quarantineKind, Name: name, Data: json.RawMessage(text), Revision: 1}
	}
	s.objects["unreadable"] = store.Object{Kind: quarantineKind, Name: "unreadable", Fault: "no JSON"}
	require.True(t, started.loadOnce(t.Context()))
	assert.True(t, started.IsQuarantined(deadlyFingerprint, clock.Now()))
	assert.False(t, started.IsQuarantined(other, clock.Now()))
	assert.Len(t, started.List(clock.Now()), 1)
}

// An expired request is deleted by one node, unless it was quarantined again.
func TestAnExpiredRequestIsDeleted(t *testing.T) {
	s := &quarantineStore{objects: map[string]store.Object{}}
	q := quarantineNode(s)
	h := q.learnHeld(t, 1)
	q.persist(h)
	q.slot = func(string) int { return 1 }
	q.expire(h)
	assert.Len(t, s.objects, 1, "another node deletes it")
	q.slot = func(string) int { return 0 }
	old := h
	old.Round = 0
	q.expire(old)
	assert.Len(t, s.objects, 1, "it was quarantined again since")
	q.expire(h)
	assert.Empty(t, s.objects)
	q.expire(h) // already deleted
}

// An endpoint that accepts connections has not ended; one that refuses them has.
func TestTheEndOfAnEndpointIsVerified(t *testing.T) {
	q := quarantineNode(&quarantineStore{})
	listening := freeListener(t)
	alive := engine.Engine{ID: "alive", Address: listening.Addr().String(), Service: "s"}
	gone := engine.Engine{ID: "gone", Address: dialtest.DownAddress(t), Service: "s"}
	q.Engines([]engine.Engine{alive, gone}, clock.Now())
	for _, e := range []engine.Engine{alive, gone} {
		q.Interrupted(e, []quarantine.Suspect{{Fingerprint: deadlyFingerprint, Customer: e.ID}}, clock.Now())
	}
	assert.Eventually(t, func() bool { return q.Watches("gone") }, time.Second, time.Millisecond)
	time.Sleep(firstEndCheck + (endChecks-1)*laterEndCheck + endChecks*(endCheckTimeout+endCheckKept))
	assert.False(t, q.Watches("alive"))
}

// Guards against an endpoint whose end is noticed only by its entry, since what is left of it resets
// connections; and against taking a cut of this node's own path for the end of an endpoint.
func TestAnEndpointThatLosesConnectionsHasEnded(t *testing.T) {
	cases := []struct {
		name     string
		answered bool // another endpoint of the service has answered this node
		ended    bool
	}{{"others answer", true, true}, {"none answers", false, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := quarantineNode(&quarantineStore{})
			resetting := freeListener(t)
			go func() {
				for {
					conn, err := resetting.Accept()
					if err != nil {
						return
					}
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			}()
			e := engine.Engine{ID: "e", Address: resetting.Addr().String(), Service: "s"}
			other := engine.Engine{ID: "other", Address: "127.0.0.1:1", Service: "s"}
			q.Engines([]engine.Engine{e, other}, clock.Now())
			q.reachability.Engines([]engine.Engine{e, other}, clock.Now())
			if c.answered {
				q.reachability.Answered(other, clock.Now(), clock.Now())
			}
			q.Interrupted(e, []quarantine.Suspect{{Fingerprint: deadlyFingerprint, Customer: e.ID}}, clock.Now())
			time.Sleep(firstEndCheck + endChecks*(laterEndCheck+endCheckKept))
			assert.Equal(t, c.ended, q.Watches("e"))
		})
	}
}

func freeListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against deadly requests that run again after the loss of all nodes, if a backup of
// the store lacks them.
func TestQuarantinedRequestsAreWrittenBackAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		q := quarantineNode(s)
		q.persist(q.learnHeld(t, 1))
		s.objects = map[string]store.Object{}
		q.writeBack()
		time.Sleep(time.Second)
		started := quarantineNode(s)
		require.True(t, started.loadOnce(t.Context()))
		assert.True(t, started.IsQuarantined(deadlyFingerprint, clock.Now()))
		others := &quarantineStore{objects: map[string]store.Object{}} // earlier nodes write in their slots
		behind := quarantineNode(others)
		behind.learnHeld(t, 1)
		behind.slot = func(string) int { return 7 }
		behind.writeBack()
		time.Sleep(time.Minute)
		assert.Zero(t, others.writes, "other nodes write it")
	})
}
