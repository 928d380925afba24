package relay

import (
	"context"
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

func (s *quarantineStore) Get(_ context.Context, _, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return store.Object{}, store.ErrRefused
	}
	o, known := s.objects[name]
	if !known {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

func (q *quarantineManager) probes() bool {
	_, ok := q.Probe(deadlyFingerprint, clock.Now())
	return ok
}

// Guards against more sends of a deadly request than are allowed: whoever probes, nodes that
// are cut off from each other and those that start anew among them.
func TestProbesOfARequestAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		sent := 0
		for range 5 {
			q := keeping(s) // each one believes that it is the first
			h := q.heldBack(t, 1)
			q.persist(h)
			q.probe(h)
			for q.probes() {
				sent++
			}
		}
		assert.Equal(t, quarantine.MostProbes, sent)
		later := keeping(s)
		h := later.heldBack(t, 2)
		later.persist(h)
		later.probe(h)
		assert.True(t, later.probes(), "each round has its own")
	})
}

func TestANodeThatFindsARequestInTheStoreProbesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		q := keeping(s)
		q.persist(q.heldBack(t, 1))
		started := keeping(s)
		require.True(t, started.loadOnce(t.Context()))
		assert.False(t, started.probes())
		time.Sleep(quarantine.DefaultRule().Probe)
		synctest.Wait()
		assert.True(t, started.probes())
	})
}

func TestNodesProbeInTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			turn  int
			after time.Duration
			want  bool
		}{{1, probeSlot - time.Second, false}, {1, probeSlot, true}, {2, time.Minute / 2, false}} {
			q := keeping(&quarantineStore{objects: map[string]store.Object{}}) // none was claimed by others
			q.slot = func(string) int { return c.turn }
			h := q.heldBack(t, 1)
			require.NoError(t, q.write(h))
			q.scheduleProbe(h)
			time.Sleep(quarantine.DefaultRule().Probe + c.after)
			synctest.Wait()
			assert.Equal(t, c.want, q.probes(), "turn %d after %s", c.turn, c.after)
		}
	})
}

func TestNoProbeIsSentThatTheStoreDidNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}, lost: true}
		q := keeping(s)
		h := q.heldBack(t, 1)
		go q.persist(h)
		go q.probe(h)
		time.Sleep(2 * time.Second)
		assert.False(t, q.probes())
		s.mu.Lock()
		s.lost = false
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.True(t, q.probes(), "the store is back")
	})
}

// Guards against a request that is held back again by nodes that start, since a probe of it
// was claimed while it was let go.
func TestAProbeKeepsNoRequestThatWasLetGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		q := keeping(s)
		q.probe(q.heldBack(t, 1))
		assert.Empty(t, s.objects)
		assert.False(t, q.probes())
	})
}

// Guards against probes that are sent once more since the store forgot that they were claimed.
func TestProbesStayCountedWhereTheStoreIsAnOlderCopy(t *testing.T) {
	cases := []struct {
		name string
		then func(t *testing.T, s *quarantineStore, q *quarantineManager) *quarantineManager // who probes next
	}{
		{"it is written back, and a node starts", func(t *testing.T, s *quarantineStore, q *quarantineManager) *quarantineManager {
			q.writeBack()
			synctest.Wait()
			started := keeping(s)
			require.True(t, started.loadOnce(t.Context()))
			return started
		}},
		{"another node was told of them", func(t *testing.T, s *quarantineStore, q *quarantineManager) *quarantineManager {
			other := keeping(s)
			other.heldBack(t, 1)
			other.Book.Heard(q.Digest(clock.Now()), clock.Now())
			return other
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &quarantineStore{objects: map[string]store.Object{}}
				q := keeping(s)
				h := q.heldBack(t, 1)
				q.persist(h)
				older := maps.Clone(s.objects)
				for range quarantine.MostProbes {
					q.probe(h)
					require.True(t, q.probes())
				}
				s.mu.Lock()
				s.objects = older
				s.mu.Unlock()
				next := c.then(t, s, q)
				h, _ = next.Of(deadlyFingerprint)
				next.probe(h)
				assert.False(t, next.probes())
			})
		})
	}
}

// Guards against probes without end by a word of fewer than none.
func TestAWordOfFewerProbesThanNoneIsOfNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		data, err := json.Marshal(quarantine.HeldWord{Print: deadlyFingerprint, Round: 1, ForMs: time.Minute.Milliseconds(), Answered: true, Probes: -9, Customer: "customer"})
		require.NoError(t, err)
		s.objects[deadlyFingerprint.String()] = store.Object{Kind: quarantineKind, Name: deadlyFingerprint.String(), Data: data, Revision: 1}
		q := keeping(s)
		require.True(t, q.loadOnce(t.Context()))
		h, _ := q.Of(deadlyFingerprint)
		sent := 0
		for range 2 * quarantine.MostProbes {
			q.probe(h)
			if q.probes() {
				sent++
			}
		}
		assert.Equal(t, quarantine.MostProbes, sent)
	})
}

// Guards against a request that is held back for all of its time since the first node to tell of
// it did not know that it was answered: one that started of late, or of an earlier build.
func TestWhoeverKnowsThatARequestWasAnsweredItIsProbed(t *testing.T) {
	cases := []struct {
		name string
		then func(q *quarantineManager, told quarantine.HeldWord)
		want bool
	}{
		{"nobody", func(*quarantineManager, quarantine.HeldWord) {}, false},
		{"a node that tells of it later", func(q *quarantineManager, told quarantine.HeldWord) {
			told.Answered = true
			q.Heard("another", quarantine.Words{Held: []quarantine.HeldWord{told}}, clock.Now())
		}, true},
		{"this node, by an end", func(q *quarantineManager, told quarantine.HeldWord) {
			s := quarantine.Suspect{Print: told.Print, Customer: told.Customer, Answered: true}
			q.Heard("another", quarantine.Words{Ends: []quarantine.EndWord{{Endpoint: "e1", Suspects: []quarantine.Suspect{s}}}}, clock.Now())
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &quarantineStore{objects: map[string]store.Object{}}
				q := keeping(s)
				told := quarantine.HeldWord{Print: deadlyFingerprint, Round: 1, ForMs: time.Minute.Milliseconds(), Customer: "customer"}
				q.Heard("first", quarantine.Words{Held: []quarantine.HeldWord{told}}, clock.Now())
				h, _ := q.Of(deadlyFingerprint)
				q.persist(h)
				c.then(q, told)
				time.Sleep(quarantine.DefaultRule().Probe)
				synctest.Wait()
				assert.Equal(t, c.want, q.probes())
				started := keeping(s)
				require.True(t, started.loadOnce(t.Context()))
				h, _ = started.Of(deadlyFingerprint)
				assert.Equal(t, c.want, h.Answered, "nodes that start know it")
			})
		})
	}
}

// Guards against a request that is held back for all of its time since the store was out of reach
// as its probes were due.
func TestAProbeWaitsForTheStore(t *testing.T) {
	for _, out := range []time.Duration{2 * time.Second, time.Minute, 5 * time.Minute} {
		t.Run(out.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &quarantineStore{objects: map[string]store.Object{}, lost: true}
				q := keeping(s)
				w := quarantine.HeldWord{Print: deadlyFingerprint, Round: 1, ForMs: (10 * time.Minute).Milliseconds(), Answered: true, Customer: "customer"}
				q.Heard("another", quarantine.Words{Held: []quarantine.HeldWord{w}}, clock.Now())
				h, _ := q.Of(deadlyFingerprint)
				go q.persist(h)
				time.Sleep(out)
				s.mu.Lock()
				s.lost = false
				s.mu.Unlock()
				time.Sleep(4 * laterWriteRetry)
				synctest.Wait()
				assert.True(t, q.probes())
				time.Sleep(10 * time.Minute) // what waits ends with the hold
			})
		})
	}
}
