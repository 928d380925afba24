package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testFleet is a group of nodes that exchange all their reports.
type testFleet []*node

// exchange sends the current reports of each node to all others, except the messages that are lost.
func (f testFleet) exchange(lost func(from, to int) bool) {
	for i, from := range f {
		judges, all := from.Updates(from.now)
		digest := from.Digest(from.now)
		for j, to := range f {
			if i == j || lost(i, j) {
				continue
			}
			if to.role() != Witness {
				to.Receive(judges, to.now)
			}
			to.Receive(all, to.now)
			to.Receive(digest, to.now)
		}
	}
}

func noneLost(int, int) bool { return false }

func (f testFleet) advance(d time.Duration) {
	for _, n := range f {
		n.now = n.now.Add(d)
	}
}

// Guards against a node that still sends a request on after three nodes observed one end each,
// even if two in three messages of each node are lost.
func TestAllNodesQuarantineARequest(t *testing.T) {
	for _, c := range []struct {
		name string
		lost func(from, to, round int) bool
	}{
		{"nothing is lost", func(int, int, int) bool { return false }},
		{"two thirds are lost", func(from, to, round int) bool { return (from+to+round)%3 != 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := testFleet{newNode(Judge), newNode(Judge), newNode(Witness), newNode(Witness), newNode(Witness)}
			for i, at := range []int{2, 3, 4} {
				f.advance(time.Second)
				f[at].endNow(i, suspects(Nothing, "deadly", fmt.Sprint("beside", i))...)
				for round := range 3 {
					f.advance(200 * time.Millisecond)
					f.exchange(func(from, to int) bool { return c.lost(from, to, round) })
				}
			}
			for round := range 3 {
				f.advance(200 * time.Millisecond)
				f.exchange(func(from, to int) bool { return c.lost(from, to, round) })
			}
			for i, n := range f {
				assert.True(t, n.holds("deadly"), "node %d", i)
				assert.Len(t, n.List(n.now), 1, "node %d", i)
				assert.True(t, n.Watches("customer"))
				assert.False(t, n.Watches("another"))
			}
		})
	}
}

// Guards against judges that quarantine a request which a witness has served: the witness only
// reports that because judges announce suspects one end short of quarantine.
func TestWitnessReportsServedSuspects(t *testing.T) {
	f := testFleet{newNode(Judge), newNode(Witness), newNode(Witness)}
	for i := range 2 {
		f.advance(time.Second)
		f[1].endNow(i, suspects(Nothing, "beside")...)
		f.exchange(noneLost)
	}
	f.advance(time.Second)
	f.exchange(noneLost)
	f[2].serve("beside")
	f.exchange(noneLost)
	f.advance(time.Second)
	f[1].endNow(2, suspects(Nothing, "beside")...)
	f.exchange(noneLost)
	f.exchange(noneLost)
	for i, n := range f {
		assert.False(t, n.holds("beside"), "node %d", i)
	}
}

// A node that joins learns of quarantined requests from the digests. An operator's release
// reaches all nodes, and an older report on the same request does not undo it.
func TestJoiningNodeLearnsQuarantine(t *testing.T) {
	f := testFleet{newNode(Peer), newNode(Peer)}
	for i := range 3 {
		f[0].endUnder(i, suspects(Nothing, "deadly")...)
	}
	f[1].now = f[0].now
	old, _ := f[0].Lookup(fingerprintOf("deadly"))
	f.exchange(noneLost)
	joined := newNode(Peer)
	joined.now = f[0].now
	f = append(f, joined)
	for range olderInterval {
		f.advance(freshPeriod)
		f.exchange(noneLost)
	}
	assert.True(t, joined.holds("deadly"))
	require.True(t, joined.Release(fingerprintOf("deadly"), joined.now))
	f.exchange(noneLost)
	f[0].Receive(Report{Held: []HeldReport{ReportOf(old, f[0].now)}}, f[0].now)
	late := newNode(Peer) // it missed the release
	late.now = f[0].now
	late.Receive(Report{Held: []HeldReport{ReportOf(old, late.now)}}, late.now)
	f = append(f, late)
	assert.True(t, late.holds("deadly"))
	for range 2 {
		f.advance(200 * time.Millisecond)
		f.exchange(noneLost)
	}
	for i, n := range f {
		assert.False(t, n.holds("deadly"), "node %d", i)
	}
}
