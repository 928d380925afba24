package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(node ident.Node, serial string, beat int64) membership.Member {
	return membership.Member{Node: node, Zone: "z", Incarnation: ident.NewIncarnation(node, serial), Beat: beat, Phase: membership.Live}
}

func handle(s membership.State, messages ...membership.Message) membership.State {
	for _, m := range messages {
		s, _ = s.Handle(m)
	}
	return s
}

func received(after time.Duration, members ...membership.Member) membership.Received {
	return membership.Received{At: start.Add(after), Members: members}
}

func listed(after time.Duration, revision int64, names ...ident.Node) membership.Listed {
	var vms []platform.VM
	for _, n := range names {
		vms = append(vms, platform.VM{Name: n, Zone: "z", State: platform.VMLive})
	}
	return membership.Listed{At: start.Add(after), List: platform.VMList{Revision: revision, VMs: vms}}
}

func TestGoneNeedsEvidence(t *testing.T) {
	first := ident.NewIncarnation("b", "1")
	cases := []struct {
		name     string
		messages []membership.Message
		want     bool
	}{
		{"silence alone", []membership.Message{received(0, member("b", "1", 1))}, false},
		{"never listed yet", []membership.Message{received(0, member("b", "1", 1)), listed(0, 1, "c")}, false},
		{"off the list and silent", []membership.Message{received(0, member("b", "1", 1)), listed(0, 1, "b"), listed(3*time.Second, 2, "c")}, true},
		{"off a lagging list but not silent", []membership.Message{received(0, member("b", "1", 1)), listed(0, 1, "b"), listed(time.Second, 2, "c")}, false},
		{"older list", []membership.Message{received(0, member("b", "1", 1)), listed(0, 2, "b"), listed(0, 1, "c")}, false},
		{"replaced", []membership.Message{received(0, member("b", "1", 9)), received(0, member("b", "2", 1))}, true},
		{"late heartbeat of an old incarnation", []membership.Message{received(0, member("b", "2", 1)), received(0, member("b", "1", 9))}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := handle(membership.New(member("a", "1", 0), membership.Options{}), c.messages...)
			assert.Equal(t, c.want, s.Gone(first))
		})
	}
}

func TestSuspicionAndReturn(t *testing.T) {
	s := handle(membership.New(member("a", "1", 0), membership.Options{}), received(0, member("b", "1", 1)))
	assert.Equal(t, membership.StatusLive, s.StatusOf("b", start.Add(time.Second)))
	assert.Equal(t, membership.StatusSuspect, s.StatusOf("b", start.Add(3*time.Second)))
	s = handle(s, received(3*time.Second, member("b", "1", 1)))
	assert.Equal(t, membership.StatusSuspect, s.StatusOf("b", start.Add(3*time.Second)), "a repeated heartbeat does not end the suspicion")
	s = handle(s, received(4*time.Second, member("b", "1", 2)))
	assert.Equal(t, membership.StatusLive, s.StatusOf("b", start.Add(4*time.Second)))
}

// A node that stalls receives no heartbeats meanwhile; that must not make it suspect its peers.
func TestAStalledNodeSuspectsNoPeer(t *testing.T) {
	random := func(int) int { return 0 }
	s := handle(membership.New(member("a", "1", 0), membership.Options{}),
		received(0, member("b", "1", 1)),
		membership.Ticked{At: start, Random: random},
		membership.Ticked{At: start.Add(time.Minute), Random: random})
	assert.Equal(t, membership.StatusLive, s.StatusOf("b", start.Add(time.Minute)))
}

func TestRankMovesOnlyTheLostNodesSlots(t *testing.T) {
	s := membership.New(member("a", "1", 0), membership.Options{})
	for _, n := range []ident.Node{"b", "c", "d"} {
		s = handle(s, received(0, member(n, "1", 1)))
	}
	without := handle(s, listed(0, 1, "b", "c", "d"), listed(3*time.Second, 2, "b", "c"))
	counts := map[ident.Node]int{}
	for slot := range ident.Slot(256) {
		before, after := s.Rank("z", slot, start), without.Rank("z", slot, start)
		counts[before[0].Node]++
		if before[0].Node != "d" {
			assert.Equal(t, before[0].Node, after[0].Node)
		} else {
			assert.Equal(t, before[1].Node, after[0].Node, "the runner-up takes over")
		}
	}
	for n, count := range counts {
		assert.InDelta(t, 64, count, 24, "node %s", n)
	}
}

func TestAnswerContainsOnlyNewerMembers(t *testing.T) {
	s := handle(membership.New(member("a", "1", 0), membership.Options{}), received(0, member("b", "1", 5), member("c", "1", 5)))
	answer := s.Answer([]membership.Member{member("b", "1", 3), member("c", "1", 9)})
	names := map[ident.Node]int64{}
	for _, m := range answer {
		names[m.Node] = m.Beat
	}
	assert.Equal(t, map[ident.Node]int64{"a": 0, "b": 5}, names)
}

func TestDigestIsBounded(t *testing.T) {
	s := membership.New(member("a", "1", 0), membership.Options{DigestSize: 5})
	for i := range 50 {
		s = handle(s, received(0, member(ident.Node(rune('b'+i)), "1", 1)))
	}
	_, beats := s.Handle(membership.Ticked{At: start, Random: func(int) int { return 0 }})
	assert.Len(t, beats, 2, "the fan-out does not grow with the fleet")
	assert.Len(t, beats[0].Digest, 6)
}
