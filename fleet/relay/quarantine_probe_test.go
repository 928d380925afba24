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

// Guards against more sends of a deadly request than allowed, also by nodes that are partitioned
// or restart.
func TestProbesOfARequestAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		sent := 0
		for range 5 {
			q := quarantineNode(s) // each one believes that it is the first
			h := q.learnHeld(t, 1)
			q.persist(h)
			q.probe(h)
			for q.probes() {
				sent++
			}
		}
		assert.Equal(t, quarantine.MaxProbes, sent)
		later := quarantineNode(s)
		h := later.learnHeld(t, 2)
		later.persist(h)
		later.probe(h)
		assert.True(t, later.probes(), "each round has its own")
	})
}

func TestANodeThatFindsARequestInTheStoreProbesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		q := quarantineNode(s)
		q.persist(q.learnHeld(t, 1))
		started := quarantineNode(s)
		require.True(t, started.loadOnce(t.Context()))
		assert.False(t, started.probes())
		time.Sleep(quarantine.DefaultRule().Probe)
		synctest.Wait()
		assert.True(t, started.probes())
	})
}

func TestNodesProbeInTheirSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			slot  int
			after time.Duration
			want  bool
		}{{1, probeSlot - time.Second, false}, {1, probeSlot, true}, {2, time.Minute / 2, false}} {
			q := quarantineNode(&quarantineStore{objects: map[string]store.Object{}}) // none was claimed by others
			q.slot = func(string) int { return c.slot }
			h := q.learnHeld(t, 1)
			require.NoError(t, q.write(h))
			q.scheduleProbe(h)
			time.Sleep(quarantine.DefaultRule().Probe + c.after)
			synctest.Wait()
			assert.Equal(t, c.want, q.probes(), "slot %d after %s", c.slot, c.after)
		}
	})
}

func TestNoProbeIsSentThatTheStoreDidNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}, lost: true}
		q := quarantineNode(s)
		h := q.learnHeld(t, 1)
		go q.persist(h)
		go q.probe(h)
		time.Sleep(2 * time.Second)
		assert.False(t, q.probes())
		s.mu.Lock()
		s.lost = false
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.True(t, q.probes(), "the store is available again")
	})
}

// Guards against a request that nodes quarantine again at their start, since a probe was claimed
// while it was released.
func TestAProbeDoesNotStoreAReleasedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		q := quarantineNode(s)
		q.probe(q.learnHeld(t, 1))
		assert.Empty(t, s.objects)
		assert.False(t, q.probes())
	})
}

// Guards against probes that are sent once more because a restored store lost their claims.
func TestProbesStayCountedAfterARestore(t *testing.T) {
	cases := []struct {
		name string
		then func(t *testing.T, s *quarantineStore, q *quarantineManager) *quarantineManager // the node that probes next
	}{
		{"it is written back, and a node starts", func(t *testing.T, s *quarantineStore, q *quarantineManager) *quarantineManager {
			q.writeBack()
			synctest.Wait()
			started := quarantineNode(s)
			require.True(t, started.loadOnce(t.Context()))
			return started
		}},
		{"another node received a report of them", func(t *testing.T, s *quarantineStore, q *quarantineManager) *quarantineManager {
			other := quarantineNode(s)
			other.learnHeld(t, 1)
			other.Tracker.Receive(q.Digest(clock.Now()), clock.Now())
			return other
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &quarantineStore{objects: map[string]store.Object{}}
				q := quarantineNode(s)
				h := q.learnHeld(t, 1)
				q.persist(h)
				older := maps.Clone(s.objects)
				for range quarantine.MaxProbes {
					q.probe(h)
					require.True(t, q.probes())
				}
				s.mu.Lock()
				s.objects = older
				s.mu.Unlock()
				next := c.then(t, s, q)
				h, _ = next.Lookup(deadlyFingerprint)
				next.probe(h)
				assert.False(t, next.probes())
			})
		})
	}
}

// Guards against unlimited probes after a report with a negative count.
func TestANegativeProbeCountIsZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quarantineStore{objects: map[string]store.Object{}}
		data, err := json.Marshal(quarantine.HeldReport{Fingerprint: deadlyFingerprint, Round: 1, ForMs: time.Minute.Milliseconds(), Answered: true, Probes: -9, Customer: "customer"})
		require.NoError(t, err)
		s.objects[deadlyFingerprint.String()] = store.Object{Kind: quarantineKind, Name: deadlyFingerprint.String(), Data: data, Revision: 1}
		q := quarantineNode(s)
		require.True(t, q.loadOnce(t.Context()))
		h, _ := q.Lookup(deadlyFingerprint)
		sent := 0
		for range 2 * quarantine.MaxProbes {
			q.probe(h)
			if q.probes() {
				sent++
			}
		}
		assert.Equal(t, quarantine.MaxProbes, sent)
	})
}

// Guards against a request that is never probed because the first node to report it did not know
// that it was answered, since it started recently or runs an earlier build.
func TestARequestKnownToBeAnsweredIsProbed(t *testing.T) {
	cases := []struct {
		name string
		then func(q *quarantineManager, reported quarantine.HeldReport)
		want bool
	}{
		{"nobody", func(*quarantineManager, quarantine.HeldReport) {}, false},
		{"a node that reports it later", func(q *quarantineManager, reported quarantine.HeldReport) {
			reported.Answered = true
			q.Receive("another", quarantine.Report{Held: []quarantine.HeldReport{reported}}, clock.Now())
		}, true},
		{"this node, when an endpoint ends", func(q *quarantineManager, reported quarantine.HeldReport) {
			s := quarantine.Suspect{Fingerprint: reported.Fingerprint, Customer: reported.Customer, Answered: true}
			q.Receive("another", quarantine.Report{Ends: []quarantine.EndReport{{Endpoint: "e1", Suspects: []quarantine.Suspect{s}}}}, clock.Now())
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &quarantineStore{objects: map[string]store.Object{}}
				q := quarantineNode(s)
				reported := quarantine.HeldReport{Fingerprint: deadlyFingerprint, Round: 1, ForMs: time.Minute.Milliseconds(), Customer: "customer"}
				q.Receive("first", quarantine.Report{Held: []quarantine.HeldReport{reported}}, clock.Now())
				h, _ := q.Lookup(deadlyFingerprint)
				q.persist(h)
				c.then(q, reported)
				time.Sleep(quarantine.DefaultRule().Probe)
				synctest.Wait()
				assert.Equal(t, c.want, q.probes())
				started := quarantineNode(s)
				require.True(t, started.loadOnce(t.Context()))
				h, _ = started.Lookup(deadlyFingerprint)
				assert.Equal(t, c.want, h.Answered, "nodes that start know it")
			})
		})
	}
}

// Guards against a request that is never probed because the store was unreachable when its probes
// were due.
func TestAProbeWaitsForTheStore(t *testing.T) {
	for _, out := range []time.Duration{2 * time.Second, time.Minute, 5 * time.Minute} {
		t.Run(out.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &quarantineStore{objects: map[string]store.Object{}, lost: true}
				q := quarantineNode(s)
				w := quarantine.HeldReport{Fingerprint: deadlyFingerprint, Round: 1, ForMs: (10 * time.Minute).Milliseconds(), Answered: true, Customer: "customer"}
				q.Receive("another", quarantine.Report{Held: []quarantine.HeldReport{w}}, clock.Now())
				h, _ := q.Lookup(deadlyFingerprint)
				go q.persist(h)
				time.Sleep(out)
				s.mu.Lock()
				s.lost = false
				s.mu.Unlock()
				time.Sleep(4 * laterWriteRetry)
				synctest.Wait()
				assert.True(t, q.probes())
				time.Sleep(10 * time.Minute) // pending attempts end with the quarantine
			})
		})
	}
}
