package choice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

func engines(n int) []engine.Engine {
	all := make([]engine.Engine, 0, n)
	for i := range n {
		all = append(all, engine.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%4), Slots: 8})
	}
	return engine.NewDirectory(1, withService(all)).Of("s")
}

func withService(all []engine.Engine) []engine.Engine {
	for i := range all {
		all[i].Service = "s"
	}
	return all
}

func prompt(id, session string) call.Call {
	return call.Call{ID: id, PromptMax: 9000, OutputMax: 50, Parts: []call.Part{{ID: "system", Tokens: 2500}, {ID: session, Tokens: 3500}, {ID: id, Tokens: 3000}}}
}

func ask(c call.Call, all []engine.Engine, now time.Time) choice.Request {
	return choice.Request{Call: c, Engines: all, Profile: choice.Profile{Service: "s", Tokens: true, Capacity: 400_000}, Cap: 40, Now: now}
}

// readTime is the time to the first event of an engine that reads 20 tokens per ms.
func readTime(p *choice.Placement) time.Duration {
	return 30*time.Millisecond + time.Duration(p.Uncached)*50*time.Microsecond
}

func TestSessionsStayWhereTheirPartsAre(t *testing.T) {
	now := time.Now()
	all := engines(9)
	// Two nodes that never communicated send a session to the same endpoint.
	one, two := choice.NewPicker("z0", choice.DefaultTuning()), choice.NewPicker("z3", choice.DefaultTuning())
	for i := range 20 {
		session := fmt.Sprint("session-", i)
		first, ok := one.Pick(ask(prompt(fmt.Sprint("a", i), session), all, now))
		require.True(t, ok)
		first.First(readTime(first), now)
		second, ok := two.Pick(ask(prompt(fmt.Sprint("b", i), session), all, now))
		require.True(t, ok)
		second.First(readTime(second), now)
		assert.Equal(t, first.Engine.ID, second.Engine.ID)
		first.Close(choice.Good, now)
		second.Close(choice.Good, now)
	}
}

func TestHotSessionSpreadsUnderLoad(t *testing.T) {
	now := time.Now()
	p := choice.NewPicker("z0", choice.DefaultTuning())
	used := map[string]int{}
	for i := range 40 {
		placement, ok := p.Pick(ask(prompt(fmt.Sprint("c", i), "hot"), engines(9), now))
		require.True(t, ok)
		used[placement.Engine.ID]++
	}
	assert.Greater(t, len(used), 3, "forty simultaneous prompts do not wait at one endpoint: %v", used)
}

func TestIneligibleEndpointsGetNoCalls(t *testing.T) {
	now := time.Now()
	all := engines(2)
	cases := []struct {
		name string
		ask  func(p *choice.Picker) choice.Request
		want string // "" is none
	}{
		{"draining endpoints", func(*choice.Picker) choice.Request {
			drained := engines(2)
			drained[0].State = engine.Draining
			return ask(prompt("a", "s"), drained, now)
		}, "e1"},
		{"endpoints already tried", func(*choice.Picker) choice.Request {
			a := ask(prompt("a", "s"), all, now)
			a.Exclude = map[engine.Incarnation]bool{{ID: "e1"}: true}
			return a
		}, "e0"},
		{"none left", func(*choice.Picker) choice.Request {
			a := ask(prompt("a", "s"), all, now)
			a.Exclude = map[engine.Incarnation]bool{{ID: "e0"}: true, {ID: "e1"}: true}
			return a
		}, ""},
		{"none at all", func(*choice.Picker) choice.Request { return ask(prompt("a", "s"), nil, now) }, ""},
		{"endpoints with this node's maximum of calls", func(p *choice.Picker) choice.Request {
			a := ask(prompt("a", "s"), all, now)
			a.Cap = 1
			for range 2 {
				_, ok := p.Pick(a)
				require.True(t, ok)
			}
			return a
		}, ""},
		{"an endpoint that failed", func(p *choice.Picker) choice.Request {
			a := ask(prompt("a", "s"), all, now)
			a.Exclude = map[engine.Incarnation]bool{{ID: "e1"}: true}
			placement, _ := p.Pick(a)
			placement.Close(choice.Bad, now)
			return ask(prompt("b", "s"), all, now)
		}, "e1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := choice.NewPicker("z0", choice.DefaultTuning())
			placement, ok := p.Pick(c.ask(p))
			assert.Equal(t, c.want != "", ok)
			if ok {
				assert.Equal(t, c.want, placement.Engine.ID)
			}
		})
	}
}

// An incarnation that has ended gets no more calls from this node and from the nodes that received
// its digest, even if no other endpoint is left.
func TestEndedIncarnationGetsNoCalls(t *testing.T) {
	now := time.Now()
	one, two := choice.NewPicker("z0", choice.DefaultTuning()), choice.NewPicker("z1", choice.DefaultTuning())
	r := ask(prompt("a", "s"), engines(1), now)
	placement, ok := one.Pick(r)
	require.True(t, ok)
	placement.Close(choice.Gone, now)
	later := r
	later.Now = now.Add(time.Minute)
	_, ok = one.Pick(later)
	assert.False(t, ok)
	_, ok = two.Pick(r)
	assert.True(t, ok, "a node that did not receive the digest")
	two.ReceiveDigests("one", one.Digests(), now)
	_, ok = two.Pick(later)
	assert.False(t, ok)
}

func TestSuspectsServeWhereNothingElseIsLeft(t *testing.T) {
	now := time.Now()
	p := choice.NewPicker("z0", choice.DefaultTuning())
	a := ask(prompt("a", "s"), engines(1), now)
	placement, _ := p.Pick(a)
	placement.Close(choice.Bad, now)
	_, ok := p.Pick(a)
	assert.True(t, ok)
}

func TestPeerDigestsExpire(t *testing.T) {
	now := time.Now()
	all := engines(2)
	p := choice.NewPicker("z", choice.DefaultTuning())
	affinity, _ := p.Pick(ask(prompt("a", "s"), all, now))
	affinity.First(readTime(affinity), now)
	affinity.Close(choice.Good, now)
	p.ReceiveDigests("peer", map[string]choice.Digest{affinity.Engine.ID: {InFlight: 5, Waiting: 40_000}}, now)
	other, _ := p.Pick(ask(prompt("b", "s"), all, now))
	assert.NotEqual(t, affinity.Engine.ID, other.Engine.ID)
	old := choice.NewPicker("z", choice.DefaultTuning())
	old.ReceiveDigests("peer", map[string]choice.Digest{affinity.Engine.ID: {InFlight: 5, Waiting: 40_000}}, now.Add(-3*time.Second))
	back, _ := old.Pick(ask(prompt("c", "s"), all, now))
	assert.Equal(t, affinity.Engine.ID, back.Engine.ID, "an old digest has no effect")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n, "-engines"), func(b *testing.B) {
			p := choice.NewPicker("z0", choice.DefaultTuning())
			all := engines(n)
			now := time.Now()
			b.ReportAllocs()
			for i := range b.N {
				placement, _ := p.Pick(ask(prompt(fmt.Sprint(i%500), fmt.Sprint("s", i%50)), all, now))
				placement.First(readTime(placement), now)
				placement.Close(choice.Good, now)
			}
		})
	}
}

// Only a sample of many endpoints is compared; the only one that may take a call must still be found.
func TestOnlyEligibleEndpointOfManyIsFound(t *testing.T) {
	now := time.Now()
	for i := range 50 {
		all := engines(60)
		for at := range all {
			if at != i {
				all[at].State = engine.Draining
			}
		}
		p := choice.NewPicker("z0", choice.DefaultTuning())
		plain := ask(prompt(fmt.Sprint("call-", i), "session"), all, now)
		plain.Profile.Tokens = false // otherwise the only eligible one is the affinity target of the parts
		placement, ok := p.Pick(plain)
		require.True(t, ok)
		assert.Equal(t, all[i].ID, placement.Engine.ID)
	}
}

// coldGate returns the gate of the only node of a fleet.
func coldGate(now time.Time) *bound.Gate {
	g := bound.NewGate("n")
	g.Nodes([]string{"n"}, now.Add(-time.Minute))
	return g
}

func TestColdEndpointsStayWithinTheirBound(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		cold  []int // of three endpoints
		gate  *bound.Gate
		calls int
		want  map[string]int // maximum calls
		sent  int            // to all endpoints
	}{
		{"one of three", []int{0}, coldGate(now), 60, map[string]int{"e0": 7, "e1": 60, "e2": 60}, 60},
		{"all of them", []int{0, 1, 2}, coldGate(now), 60, map[string]int{"e0": 7, "e1": 7, "e2": 7}, 21},
		{"a node that knows no other yet", []int{0}, bound.NewGate("n"), 60, map[string]int{"e1": 60, "e2": 60}, 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := engines(3)
			for _, i := range c.cold {
				all[i].ColdUntil = now.Add(time.Second)
			}
			p := choice.NewPicker("z0", choice.DefaultTuning()).WithColdGate(c.gate, cold.Rule{Overrun: 1.5, Tolerance: 5})
			used, sent := map[string]int{}, 0
			for i := range c.calls {
				r := ask(prompt(fmt.Sprint("c", i), "hot"), all, now)
				r.Profile.ColdPerSecond, r.Profile.ColdStart, r.Cap = 7.7, 3*time.Second, 100
				if placement, ok := p.Pick(r); ok {
					used[placement.Engine.ID]++
					sent++
				}
			}
			assert.Equal(t, c.sent, sent)
			for id, calls := range used {
				assert.LessOrEqual(t, calls, c.want[id], id)
			}
		})
	}
}
