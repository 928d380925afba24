package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/evacuation"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// engineAdapter decodes entries that hold an engine.Engine.
type engineAdapter struct{ revisionAdapter }

func (engineAdapter) Engine(o store.Object, _ time.Time) (engine.Engine, error) {
	var e engine.Engine
	err := json.Unmarshal(o.Data, &e)
	e.ID, e.Seen = o.Name, o.Revision
	return e, err
}

// entry returns the entry of an endpoint born then, at a revision.
func entry(id string, born int64, revision store.Revision, with ...func(*engine.Engine)) store.Object {
	e := engine.Engine{Born: born, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 8}
	for _, w := range with {
		w(&e)
	}
	data, _ := json.Marshal(e)
	return store.Object{Name: id, Revision: revision, Data: data}
}

func written(objects ...store.Object) store.Change {
	return store.Update{Revision: objects[len(objects)-1].Revision, Events: lo.Map(objects, func(o store.Object, _ int) store.Event { return store.Event{Object: o} })}
}

// incarnationNode returns a node with a cold gate that may send at once.
func incarnationNode(objects ...store.Object) *Node {
	n := testNode()
	n.adapter = engineAdapter{}
	n.bounds = bound.NewGate("n")
	n.bounds.Nodes([]string{"n"}, time.Now().Add(-time.Minute))
	n.picker = choice.NewPicker("z", choice.DefaultTuning()).WithColdGate(n.bounds, cold.Rule{Overrun: 1.5, Tolerance: 5})
	n.engineTable.apply(store.Snapshot{Revision: objects[len(objects)-1].Revision, Objects: objects})
	return n
}

const (
	firstBorn = 1_764_723_600_123
	laterBorn = firstBorn + 60_000
	coldStart = 3 * time.Second
	perSecond = 4
)

var sharedParts = []call.Part{{ID: "system", Tokens: 5000}, {ID: "own", Tokens: 400}}

func (n *Node) pickFor(id string, coldPerSecond float64, parts ...call.Part) (*choice.Placement, bool) {
	return n.picker.Pick(n.requestOf(id, coldPerSecond, parts))
}

func (n *Node) requestOf(id string, coldPerSecond float64, parts []call.Part) choice.Request {
	return choice.Request{
		Call: call.Call{ID: id, PromptMax: 5400, OutputMax: 10, Parts: parts}, Engines: n.engines.Load().Of("s"), Cap: 50, Now: time.Now(),
		Profile: choice.Profile{Service: "s", Tokens: true, Capacity: 100_000, TokenBytes: 1000, LinkMbps: 100_000, ColdStart: coldStart, ColdPerSecond: coldPerSecond},
	}
}

// pickAfter places a call with shared parts that was already tried at an endpoint.
func (n *Node) pickAfter(tried, id string) (*choice.Placement, bool) {
	r := n.requestOf(id, 0, sharedParts)
	e, _ := n.engines.Load().Get(tried)
	r.Exclude = map[engine.Incarnation]bool{e.Incarnation(): true}
	return n.picker.Pick(r)
}

// placeCalls counts by endpoint where calls without shared parts go that end at once.
func (n *Node) placeCalls(calls int, coldPerSecond float64) map[string]int {
	went := map[string]int{}
	for i := range calls {
		if p, ok := n.pickFor(fmt.Sprint("c", i), coldPerSecond); ok {
			went[p.Engine.ID]++
			p.Close(choice.Neutral, time.Now())
		}
	}
	return went
}

// endCall makes a call at the only endpoint, which ends with the given result.
func (n *Node) endCall(r choice.Result) {
	p, ok := n.pickFor("before", 0, sharedParts...)
	if ok {
		p.First(time.Duration(p.FirstMs*float64(time.Millisecond)), time.Now())
		p.Close(r, time.Now())
	}
}

// Guards against state of an ended incarnation that is applied to the next one, also if it
// arrives late: the new one is neither avoided nor assumed to cache anything.
func TestANewIncarnationInheritsNothing(t *testing.T) {
	inZone := func(e *engine.Engine) { e.Zone = "z2" }
	was := func(born int64) map[string]choice.Digest {
		return map[string]choice.Digest{"a": {InFlight: 60, Waiting: 90_000, Paused: 1, Streams: 20, Gone: true, Born: born}}
	}
	read := func(born int64) []choice.Read {
		return []choice.Read{{Endpoint: "a", Born: born, Parts: []string{"system", "own"}, Tokens: []int64{5000, 400}}}
	}
	cases := []struct {
		name   string
		before func(n *Node) (late func()) // sets up the state of the first incarnation, and returns what arrives late of it
	}{
		{"nothing", func(*Node) func() { return nil }},
		{"it failed", func(n *Node) func() { n.endCall(choice.Bad); return nil }},
		{"it could not be reached", func(n *Node) func() { n.endCall(choice.Unreached); return nil }},
		{"another endpoint had its address", func(n *Node) func() { n.endCall(choice.Gone); return nil }},
		{"it cached parts of prompts", func(n *Node) func() { n.endCall(choice.Good); return nil }},
		{"a peer reported it", func(n *Node) func() {
			n.picker.ReceiveDigests("peer", was(firstBorn), time.Now())
			n.picker.ReceiveReads(read(firstBorn), true, time.Now())
			return nil
		}},
		{"a peer reports it late", func(n *Node) func() {
			return func() {
				n.picker.ReceiveDigests("peer", was(firstBorn), time.Now())
				n.picker.ReceiveReads(read(firstBorn), true, time.Now())
			}
		}},
		{"a peer of an earlier version reports it late", func(n *Node) func() {
			return func() {
				n.picker.ReceiveDigests("peer", was(0), time.Now())
				n.picker.ReceiveReads(read(0), true, time.Now())
			}
		}},
		{"a call there fails late", func(n *Node) func() {
			p, _ := n.pickFor("late", 0, sharedParts...)
			return func() { p.Close(choice.Bad, time.Now()) }
		}},
		{"a call there finds another endpoint late", func(n *Node) func() {
			p, _ := n.pickFor("late", 0, sharedParts...)
			return func() { p.Close(choice.Gone, time.Now()) }
		}},
		{"an answer of it comes late", func(n *Node) func() {
			p, _ := n.pickFor("late", 0, sharedParts...)
			return func() {
				p.Report(call.Load{Running: 900, Waiting: 900, Slots: 8}, time.Now())
				p.First(20*time.Second, time.Now())
				p.Events(5*time.Second, time.Now())
				p.Paused(time.Minute)
				p.Close(choice.Good, time.Now())
			}
		}},
		{"an entry of it comes late", func(n *Node) func() {
			return func() { n.engineTable.apply(written(entry("a", firstBorn, 1, inZone))) }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := incarnationNode(entry("a", firstBorn, 1))
				late := c.before(n)
				n.engineTable.apply(written(entry("a", laterBorn, 7)))
				if late != nil {
					late()
				}
				e, _ := n.engines.Load().Get("a")
				assert.Equal(t, engine.Incarnation{ID: "a", Born: laterBorn}, e.Incarnation())
				assert.Equal(t, "z", e.Zone)
				assert.Empty(t, n.picker.Digests(), "peers receive nothing of the last incarnation")
				assert.Empty(t, n.picker.Reads("", time.Now()))
				p, ok := n.pickFor("after", 0, sharedParts...)
				require.True(t, ok, "it gets work")
				fresh := incarnationNode(entry("a", laterBorn, 7))
				want, _ := fresh.pickFor("after", 0, sharedParts...)
				assert.Equal(t, want.Uncached, p.Uncached, "it caches what a new endpoint caches")
				assert.InDelta(t, want.FirstMs, p.FirstMs, 1, "it is as fast and as idle as a new endpoint")
				p.Close(choice.Neutral, time.Now())
				n.engineTable.apply(written(entry("b", laterBorn, 8)))
				assert.Positive(t, n.placeCalls(50, 0)["a"], "it is not avoided")
			})
		})
	}
}

// Guards against calls that wait for parts nobody caches: they may fetch from an endpoint that
// read them, not from its next incarnation.
func TestNobodyFetchesFromAnEndedIncarnation(t *testing.T) {
	keeps := map[string]func(n *Node, id string){
		"own call": func(n *Node, id string) {
			p, ok := n.pickFor("first", 0, sharedParts...)
			require.True(t, ok)
			require.Equal(t, id, p.Engine.ID)
			p.First(time.Duration(p.FirstMs*float64(time.Millisecond)), time.Now())
			p.Close(choice.Good, time.Now())
		},
		"a peer's report": func(n *Node, id string) {
			n.picker.ReceiveReads([]choice.Read{{Endpoint: id, Born: firstBorn, Parts: []string{"system"}, Tokens: []int64{5000}}}, false, time.Now())
		},
	}
	for name, known := range keeps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := incarnationNode(entry("a", firstBorn, 1))
				n.placeCalls(1, 0) // the size of the service is known
				known(n, "a")
				other := func(e *engine.Engine) { e.Address = "127.0.0.1:2" }
				n.engineTable.apply(written(entry("b", firstBorn, 2, other)))
				p, ok := n.pickAfter("a", "second")
				require.True(t, ok)
				assert.Equal(t, "127.0.0.1:1", p.Source)
				p.Close(choice.Neutral, time.Now())
				n.engineTable.apply(written(entry("a", laterBorn, 3)))
				p, ok = n.pickAfter("a", "third")
				require.True(t, ok)
				assert.Empty(t, p.Source)
			})
		})
	}
}

// Guards against overload of an endpoint that is cold after a restart: until a cold start has
// passed it gets what a cold one bears, also if calls for the last incarnation had just gone
// there.
func TestANewIncarnationIsColdFromItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := incarnationNode(entry("a", firstBorn, 1))
		assert.Equal(t, 30, n.placeCalls(30, perSecond)["a"], "it is warm")
		n.engineTable.apply(written(entry("a", laterBorn, 2)))
		assert.Zero(t, n.placeCalls(30, perSecond)["a"], "those 30 may have reached the new incarnation")
		time.Sleep(1300 * time.Millisecond)
		assert.Equal(t, perSecond, n.placeCalls(30, perSecond)["a"])
		n.engineTable.apply(written(entry("a", laterBorn, 3, func(e *engine.Engine) { e.Slots = 9 })))
		time.Sleep(500 * time.Millisecond)
		assert.Zero(t, n.placeCalls(30, perSecond)["a"], "the same incarnation")
		time.Sleep(1300 * time.Millisecond)
		assert.Equal(t, 30, n.placeCalls(30, perSecond)["a"], "a cold start has passed")
	})
}

// Guards against a new incarnation without work at a node that sent the endpoint nothing recently:
// it gets its share at once.
func TestANewIncarnationGetsItsShareAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := incarnationNode(entry("a", firstBorn, 1))
		assert.Equal(t, 30, n.placeCalls(30, perSecond)["a"])
		time.Sleep(1300 * time.Millisecond)
		n.engineTable.apply(written(entry("a", laterBorn, 2)))
		assert.Equal(t, perSecond, n.placeCalls(30, perSecond)["a"])
	})
}

// Guards against an entry without a birth, from another writer under the same id, that ends the
// incarnation of an endpoint: its state stays, and its next entry starts no new one.
func TestAnEntryWithoutABirthEndsNoIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := incarnationNode(entry("a", firstBorn, 1), entry("b", firstBorn, 1), entry("c", firstBorn, 1))
		under, ok := n.pickFor("under way", 0, sharedParts...)
		require.True(t, ok)
		under.First(100*time.Millisecond, time.Now())
		id := under.Engine.ID
		n.engineTable.apply(written(entry(id, 0, 2)))
		assert.Zero(t, n.placeCalls(50, 0)[id], "the entry names no endpoint")
		n.engineTable.apply(written(entry(id, firstBorn, 3)))
		again, ok := n.pickFor("again", 0, sharedParts...)
		require.True(t, ok)
		assert.Equal(t, id, again.Engine.ID)
		assert.Zero(t, again.Uncached, "it still caches the parts")
		assert.Equal(t, 2, n.picker.InFlight(func(yield func(string) bool) { yield(id) }))
	})
}

// Guards against entries of an earlier state in force: the state in a new entry holds for its
// incarnation, revisions alone order entries, and evacuated zones stay evacuated.
func TestEntriesOfNewIncarnations(t *testing.T) {
	with := func(s engine.State, zone string) func(*engine.Engine) {
		return func(e *engine.Engine) { e.State, e.Zone = s, zone }
	}
	gone := store.Update{Revision: 8, Events: []store.Event{{Gone: true, Object: store.Object{Name: "a"}}}}
	cases := []struct {
		name    string
		changes []store.Change
		want    engine.Engine
		reborn  bool
	}{
		{"ready after it drained", []store.Change{written(entry("a", firstBorn, 2, with(engine.Draining, "z"))), written(entry("a", laterBorn, 3))}, engine.Engine{Born: laterBorn, Seen: 3, Zone: "z"}, true},
		{"ready in an evacuated zone", []store.Change{written(entry("a", laterBorn, 3, with(engine.Ready, "away")))}, engine.Engine{Born: laterBorn, Seen: 3, Zone: "away", State: engine.Evacuated}, true},
		{"an earlier entry late", []store.Change{written(entry("a", laterBorn, 3)), written(entry("a", firstBorn, 2))}, engine.Engine{Born: laterBorn, Seen: 3, Zone: "z"}, true},
		{"an earlier birth: cold only if its entry says so", []store.Change{written(entry("a", firstBorn-5, 3))}, engine.Engine{Born: firstBorn - 5, Seen: 3, Zone: "z"}, false},
		{"no birth, and then the same", []store.Change{written(entry("a", 0, 2)), written(entry("a", firstBorn, 3))}, engine.Engine{Born: firstBorn, Seen: 3, Zone: "z"}, false},
		{"no birth, and then a later one", []store.Change{written(entry("a", 0, 2)), written(entry("a", laterBorn, 3))}, engine.Engine{Born: laterBorn, Seen: 3, Zone: "z"}, true},
		{"a birth that is no longer reported", []store.Change{written(entry("a", 0, 2))}, engine.Engine{Seen: 2, Zone: "z"}, false},
		{"a birth that is now reported", []store.Change{written(entry("b", 0, 2)), written(entry("b", laterBorn, 3))}, engine.Engine{ID: "b", Born: laterBorn, Seen: 3, Zone: "z"}, true},
		{"the same incarnation", []store.Change{written(entry("a", firstBorn, 3))}, engine.Engine{Born: firstBorn, Seen: 3, Zone: "z"}, false},
		{"the same incarnation twice, listed", []store.Change{store.Snapshot{Revision: 4, Objects: []store.Object{entry("a", firstBorn, 1)}}}, engine.Engine{Born: firstBorn, Seen: 1, Zone: "z"}, false},
		{"a new one, listed", []store.Change{store.Snapshot{Revision: 4, Objects: []store.Object{entry("a", laterBorn, 3)}}}, engine.Engine{Born: laterBorn, Seen: 3, Zone: "z"}, true},
		{"its entry was gone", []store.Change{gone, written(entry("a", laterBorn, 9))}, engine.Engine{Born: laterBorn, Seen: 9, Zone: "z"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := incarnationNode(entry("a", firstBorn, 1))
			n.evacuations.Store(lo.ToPtr(evacuation.Zones{}.WithBegun("away", 1)))
			for _, change := range c.changes {
				n.engineTable.apply(change)
			}
			id := lo.CoalesceOrEmpty(c.want.ID, "a")
			e, ok := n.engines.Load().Get(id)
			require.True(t, ok)
			assert.Equal(t, c.reborn, !e.RestartedAt.IsZero())
			assert.Equal(t, c.want, engine.Engine{ID: c.want.ID, Born: e.Born, Seen: e.Seen, Zone: e.Zone, State: e.State})
		})
	}
}

// Guards against dropping a restarted endpoint when its lapsed entry is due to be dropped, after
// an outage of the store.
func TestANewIncarnationOfALapsedEntryStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := incarnationNode(entry("a", firstBorn, 1))
		n.health.Lost("endpoints")
		n.engineTable.apply(store.Update{Revision: 2, Events: []store.Event{{Gone: true, Object: store.Object{Name: "a"}}}})
		time.Sleep(time.Second)
		n.engineTable.apply(written(entry("a", laterBorn, 3)))
		time.Sleep(5 * time.Second)
		e, ok := n.engines.Load().Get("a")
		assert.True(t, ok)
		assert.Equal(t, int64(laterBorn), e.Born)
	})
}

// Guards against entries of another writer if endpoints report their births, and against taking
// endpoints whose software does not report it for such.
func TestEntriesWithoutABirth(t *testing.T) {
	all := func(revision store.Revision, born int64, ids ...string) []store.Object {
		return lo.Map(ids, func(id string, _ int) store.Object { return entry(id, born, revision) })
	}
	cases := []struct {
		name    string
		listed  []store.Object
		changes []store.Change
		want    []string
	}{
		{"none reports it", all(1, 0, "a", "b"), nil, []string{"a", "b"}},
		{"all do but one", append(all(1, 5, "a", "b", "c"), all(1, 0, "x")...), nil, []string{"a", "b", "c"}},
		{"one comes later", all(1, 5, "a", "b"), []store.Change{written(all(2, 0, "x")...)}, []string{"a", "b"}},
		{"and reports it then", all(1, 5, "a", "b"), []store.Change{written(all(2, 0, "x")...), written(all(3, 5, "x")...)}, []string{"a", "b", "x"}},
		{"over one that reported it", all(1, 5, "a", "b", "c"), []store.Change{written(all(2, 0, "c")...)}, []string{"a", "b"}},
		{"one of two reports it", append(all(1, 5, "a"), all(1, 0, "b")...), nil, []string{"a", "b"}},
		{"half of them report it", append(all(1, 5, "a", "b"), all(1, 0, "c", "d")...), nil, []string{"a", "b", "c", "d"}},
		{"the last one in use that does not", all(1, 0, "a", "b", "c"), []store.Change{written(all(2, 5, "a", "b")...)}, []string{"a", "b", "c"}},
		{"those that reported it have left", append(all(1, 5, "a", "b"), all(1, 0, "x")...), []store.Change{store.Snapshot{Revision: 2, Objects: all(1, 0, "x")}}, []string{"x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := incarnationNode(c.listed...)
			for _, change := range c.changes {
				n.engineTable.apply(change)
			}
			assert.Equal(t, c.want, lo.Map(n.engines.Load().Of("s"), func(e engine.Engine, _ int) string { return e.ID }))
			for _, id := range lo.Without([]string{"a", "b", "c", "d", "x"}, c.want...) {
				_, found := n.engines.Load().Get(id)
				assert.False(t, found, "%s names no endpoint, not even a source of parts", id)
			}
		})
	}
}

// Guards against calls on connections that died with the last incarnation: idle ones to its
// address are closed when the new one is known.
func TestConnectionsOfTheLastIncarnationAreDropped(t *testing.T) {
	n := incarnationNode(entry("a", firstBorn, 1))
	var dropped []string
	n.dropIdle = func(address string) int { dropped = append(dropped, address); return 1 }
	n.engineTable.apply(written(entry("a", firstBorn, 2)))
	assert.Empty(t, dropped, "the same incarnation keeps them")
	n.engineTable.apply(written(entry("a", laterBorn, 3, func(e *engine.Engine) { e.Address = "127.0.0.1:2" }), entry("b", laterBorn, 3)))
	assert.Equal(t, []string{"127.0.0.1:1"}, dropped)
}

// Guards against an endpoint that has restarted and is used as of the version in its outdated entry, and against one that stays unknown once its entry is.
func TestAnEndpointThatToldAnotherBirth(t *testing.T) {
	n := testNode()
	entry := func(born int64, version string) engine.Engine {
		return engine.Engine{ID: "e", Service: "s", Born: born, Version: version, Seen: 5}
	}
	list := func(e engine.Engine) {
		n.engineTable.byName["e"] = n.engineTable.trackIncarnation(n.engineTable.byName["e"], len(n.engineTable.byName) > 0, e)
		n.engineTable.publish()
	}
	version := func() string {
		e, _ := n.engines.Load().Get("e")
		return e.StreamVersion()
	}
	list(entry(7, "1"))
	n.engineTable.identified(entry(7, "1"), 8)
	assert.Equal(t, "unread version of e started at 8", version())
	n.engineTable.identified(entry(7, "1"), 9)
	assert.Equal(t, "unread version of e started at 8", version(), "a call that was placed before learns late")
	n.engineTable.identified(entry(8, "1"), 9)
	assert.Equal(t, "unread version of e started at 9", version(), "it has restarted once more")
	assert.False(t, n.engineTable.byName["e"].RestartedAt.IsZero(), "it is cold")
	n.engineTable.put(store.Object{Name: "e", Revision: 5}, false)
	assert.Equal(t, "unread version of e started at 9", version(), "the entry is listed again")
	list(entry(9, "2"))
	assert.Equal(t, "2", version())
	n.engineTable.identified(entry(7, "1"), 8)
	n.engineTable.identified(entry(9, "2"), 9)
	assert.Equal(t, "2", version(), "calls placed before learn late")
	n.engineTable.identified(entry(9, "2"), 10)
	n.engineTable.drop("e")
	list(entry(9, "2"))
	assert.Equal(t, "2", version(), "its entry is of an incarnation that started since")
}
