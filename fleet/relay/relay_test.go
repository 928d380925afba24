package relay

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/evacuation"
	"github.com/lynxshed/lynxshed/fleet/relay/overload"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
	"github.com/lynxshed/lynxshed/fleet/telemetry"
)

// revisionAdapter distinguishes objects by their revision alone.
type revisionAdapter struct{ draining map[string]bool }

func (revisionAdapter) Store() store.Store            { return nil }
func (revisionAdapter) Eras() *store.Eras             { return store.NewEras() }
func (revisionAdapter) Wire() call.Wire               { return nil }
func (revisionAdapter) PolicyAt() (kind, name string) { return "policy", "main" }
func (revisionAdapter) EngineKind() string            { return "engine" }
func (revisionAdapter) Policy(o store.Object) (policy.Policy, error) {
	if o.Revision == 0 {
		return policy.Policy{}, errors.New("unreadable")
	}
	return policy.Policy{Version: o.Revision.Number()}, nil
}

func (revisionAdapter) EvacuationKind() string           { return "evacuation" }
func (revisionAdapter) Evacuation(o store.Object) string { return o.Name }
func (revisionAdapter) RolloutKind() string              { return "rollout" }
func (revisionAdapter) Rollout(o store.Object, _ time.Time) (rollout.Rollout, error) {
	return rollout.Rollout{}, errors.New("unreadable")
}
func (revisionAdapter) DropIdle() {}

func (revisionAdapter) RolloutStatus(rollout.Status) (json.RawMessage, error) {
	return nil, errors.New("not written")
}

func (a revisionAdapter) Engine(o store.Object, _ time.Time) (engine.Engine, error) {
	if o.Revision == 0 {
		return engine.Engine{}, errors.New("unreadable")
	}
	return engine.Engine{ID: o.Name, Service: "s", Address: "a", State: lo.Ternary(a.draining[o.Name], engine.Draining, engine.Ready)}, nil
}

func testNode() *Node {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	n := &Node{
		adapter: revisionAdapter{}, log: quiet, settings: DefaultSettings(), health: store.NewHealth(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning()),
		picker: choice.NewPicker("z", choice.DefaultTuning()), intake: overload.NewIntake(overload.DefaultIntakeRule()),
		store: store.NewSourced(nil, func() []store.Source { return nil }), reachability: reachability.NewTracker(reachability.DefaultRule(), func(reachability.Change) {}),
	}
	n.bounds, n.dropIdle = bound.NewGate("n"), func(string) int { return 0 }
	n.metrics, _ = NewMetrics(noop.Meter{})
	n.faults = store.NewFaults(quiet, n.metrics)
	n.engineTable, n.trials = newEngineTable(n), newTrials(n, "n/1")
	n.evacuations.Store(&evacuation.Zones{})
	n.rollouts.Store(&rollout.Set{})
	return n
}

func TestPolicyNeverGoesBack(t *testing.T) {
	n := testNode()
	main := func(revision store.Revision) store.Object { return store.Object{Name: "main", Revision: revision} }
	cases := []struct {
		name   string
		change store.Change
		want   int64
	}{
		{"the first", store.Snapshot{Objects: []store.Object{{Name: "other", Revision: 9}, main(3)}}, 3},
		{"a newer one", store.Update{Events: []store.Event{{Object: main(5)}}}, 5},
		{"an older list", store.Snapshot{Objects: []store.Object{main(4)}}, 5},
		{"an older event", store.Update{Events: []store.Event{{Object: main(4)}}}, 5},
		{"removed", store.Update{Events: []store.Event{{Object: main(6), Gone: true}}}, 5},
		{"unreadable", store.Update{Events: []store.Event{{Object: main(0)}}}, 5},
		{"the store is lost", store.Lost{Err: errors.New("lost")}, 5},
	}
	assert.Nil(t, n.policy.Load())
	for _, c := range cases {
		n.applyPolicy("main", c.change)
		require.NotNil(t, n.policy.Load(), c.name)
		assert.Equal(t, c.want, n.policy.Load().Version, c.name)
	}
}

func TestEnginesFollowTheStore(t *testing.T) {
	n := testNode()
	table := newEngineTable(n)
	object := func(name string, revision store.Revision) store.Object {
		return store.Object{Name: name, Revision: revision}
	}
	cases := []struct {
		name   string
		change store.Change
		want   []string
	}{
		{"listed", store.Snapshot{Objects: []store.Object{object("a", 1), object("b", 1)}}, []string{"a", "b"}},
		{"added and gone at once", store.Update{Events: []store.Event{{Object: object("c", 2)}, {Object: object("a", 1), Gone: true}}}, []string{"b", "c"}},
		{"an unreadable one", store.Update{Events: []store.Event{{Object: object("d", 0)}}}, []string{"b", "c"}},
		{"the store is lost", store.Lost{Err: errors.New("lost")}, []string{"b", "c"}},
		{"listed anew", store.Snapshot{Objects: []store.Object{object("e", 9)}}, []string{"e"}},
	}
	for _, c := range cases {
		table.apply(c.change)
		var got []string
		for _, e := range n.engines.Load().Of("s") {
			got = append(got, e.ID)
		}
		assert.Equal(t, c.want, got, c.name)
	}
}

// Guards against dropping endpoints whose entries lapsed while the store was unavailable.
// Otherwise, and if the endpoint had announced that it leaves, its entry is dropped at once.
func TestEntriesThatLapsedAreKeptForAWhile(t *testing.T) {
	list := func(names ...string) store.Change {
		return store.Snapshot{Objects: lo.Map(names, func(name string, _ int) store.Object { return store.Object{Name: name, Revision: 1} })}
	}
	gone := func(name string) store.Change {
		return store.Update{Events: []store.Event{{Object: store.Object{Name: name}, Gone: true}}}
	}
	lost := func(h *store.Health) { h.Lost("endpoints") }
	back := func(h *store.Health) { h.Lost("endpoints"); h.Reconnected("endpoints") }
	cases := []struct {
		name     string
		before   func(*store.Health)
		wait     time.Duration // from then until the entry goes
		draining bool
		change   store.Change
		again    bool // the entry returns a second later
		kept     bool
		later    bool // the entry is in use three seconds later
	}{
		{"the store is available", func(*store.Health) {}, 0, false, list("b"), false, false, false},
		{"the store is unavailable", lost, time.Minute, false, list("b"), false, true, false},
		{"an event while it is unavailable", lost, time.Second, false, gone("a"), false, true, false},
		{"the store is available again", back, time.Second, false, gone("a"), false, true, false},
		{"and the entry too", back, time.Second, false, list("b"), true, true, true},
		{"available for long", back, 3 * time.Second, false, gone("a"), false, false, false},
		{"it was leaving", back, time.Second, true, gone("a"), false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := testNode()
				n.adapter = revisionAdapter{draining: map[string]bool{"a": c.draining}}
				table := newEngineTable(n)
				there := func() bool { _, ok := n.engines.Load().Get("a"); return ok }
				table.apply(list("a", "b"))
				c.before(n.health)
				time.Sleep(c.wait)
				table.apply(c.change)
				assert.Equal(t, c.kept, there())
				time.Sleep(time.Second)
				if c.again {
					table.apply(list("a", "b"))
				}
				assert.Equal(t, c.kept, there())
				time.Sleep(3 * time.Second)
				assert.Equal(t, c.later, there())
			})
		})
	}
}

// Guards against calls to an endpoint that left while the store was suspected: entries lapse
// together, so one that goes alone has left; if most go, they are kept.
func TestASingleEntryThatGoesHasLeft(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	gone := func(name string) store.Change {
		return store.Update{Events: []store.Event{{Object: store.Object{Name: name}, Gone: true}}}
	}
	cases := []struct {
		name    string
		changes []store.Change
		want    []string
	}{
		{"one of four, by an event", []store.Change{gone("a")}, []string{"b", "c", "d"}},
		{"one of four, by a list", []store.Change{store.Snapshot{Objects: named("b", "c", "d")}}, []string{"b", "c", "d"}},
		{"two of four", []store.Change{gone("a"), gone("b")}, names},
		{"all of them, one after another", []store.Change{gone("a"), gone("b"), gone("c"), gone("d")}, names},
		{"all of them, and one comes back", []store.Change{store.Snapshot{}, store.Snapshot{Objects: named("c")}}, names},
		{"most come back", []store.Change{store.Snapshot{}, store.Snapshot{Objects: named("b", "c", "d")}}, []string{"b", "c", "d"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := testNode()
			table := newEngineTable(n)
			table.apply(store.Snapshot{Objects: named(names...)})
			n.health.Lost("endpoints")
			for _, change := range c.changes {
				table.apply(change)
			}
			got := lo.Map(n.engines.Load().Of("s"), func(e engine.Engine, _ int) string { return e.ID })
			assert.Equal(t, c.want, got)
		})
	}
}

func TestSettingsNameWhatIsMissing(t *testing.T) {
	valid := `{"node":"n","zone":"z","listen":"a:1","ready":{"address":"a:2"},"peer":"127.0.0.1:3","store":"a:4", // comment
		"budget":{"exposure":0.5},"drainS":7.5,"of tomorrow":1}`
	s, err := ParseSettings([]byte(valid))
	require.NoError(t, err)
	assert.Equal(t, 7500*time.Millisecond, s.Drain())
	assert.Equal(t, 0.5, s.Budget.Tuning().Exposure)
	assert.Equal(t, account.DefaultTuning().Horizon, s.Budget.Tuning().Horizon)
	cases := []struct{ name, text, fault string }{
		{"no JSON", "{", "line 1, column 2: expected JSON with comments"},
		{"nothing", "{}", "line 1, column 1, field node: expected the field to be there"},
		{"peers at a host name", `{"node":"n","zone":"z","listen":"a:1","ready":{"address":"a:2"},"peer":"a:3","store":"a:4"}`, "line 1, column 72, field peer: expected an IPv4 address with a port, such as 127.0.0.1:8080"},
		{"no store", `{"node":"n","zone":"z","listen":"a:1","ready":{"address":"a:2"},"peer":"127.0.0.1:3"}`, "line 1, column 1, field store: expected the field to be there"},
		{"a string for a number", `{"memoryMB":"x"}`, "line 1, column 13, field memoryMB: expected a number from 0 to 1048576"},
		{"more calls of a bad version than there are", `{"rollout":{"share":1.1}}`, "line 1, column 21, field rollout.share: expected a number from 0 to 1"},
		{"a rollback at once", `{"rollout":{"share":0.1,"rollbackMs":0}}`, "line 1, column 38, field rollout.rollbackMs: expected a number from 100 to 3600000"},
		{"a share above one", `{"budget":{"exposure":1.5}}`, "line 1, column 23, field budget.exposure: expected a number from 0 to 1"},
	}
	for _, c := range cases {
		_, err := ParseSettings([]byte(c.text))
		assert.ErrorContains(t, err, c.fault, c.name)
	}
}

// Each mechanism that the settings name disables something, and unknown names are rejected.
func TestMechanismsAreSwitchedOff(t *testing.T) {
	const rest = `"node":"n","zone":"z","listen":"a:1","ready":{"address":"a:2"},"peer":"127.0.0.1:3","store":"a:4"`
	for _, name := range mechanismNames() {
		s, err := ParseSettings([]byte(`{"disable":["` + name + `"],` + rest + `}`))
		require.NoError(t, err)
		assert.False(t, s.Enabled(name))
		inChoice := name != delegatesMechanism && name != redirectMechanism && name != steerMechanism && name != failureReportsMechanism && name != quarantineMechanism && name != limitsMechanism && name != noticesMechanism && name != tunnelsMechanism && name != fragileMechanism && name != originsMechanism && name != confirmationMechanism
		assert.Equal(t, !inChoice, s.Choice() == choice.DefaultTuning(), name)
	}
	_, err := ParseSettings([]byte(`{"disable":["luck"],` + rest + `}`))
	assert.ErrorContains(t, err, "disable[0]")
	s, err := ParseSettings([]byte(`{` + rest + `}`))
	require.NoError(t, err)
	assert.Equal(t, choice.DefaultTuning(), s.Choice())
}

func TestSinkNeverBlocksAWriter(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	s := NewSink(writerFunc(func(p []byte) (int, error) { <-blocked; return len(p), nil }))
	for range 2 * logLines {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	assert.Greater(t, s.Dropped(), int64(0))
}

// Guards against lines with long values of callers that fill the memory while the log is read slowly.
func TestLinesThatWaitAreBounded(t *testing.T) {
	release, written := make(chan struct{}), make(chan int, 2*logLines)
	s := NewSink(writerFunc(func(p []byte) (int, error) { <-release; written <- len(p); return len(p), nil }))
	long := make([]byte, 60<<10)
	for range logLines {
		_, err := s.Write(long)
		require.NoError(t, err)
	}
	taken := logLines - int(s.Dropped())
	assert.LessOrEqual(t, taken*len(long), logBytes)
	assert.Positive(t, taken)
	close(release)
	for range taken {
		<-written
	}
	assert.Eventually(t, func() bool { return s.waiting.Load() == 0 }, time.Second, time.Millisecond)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// The metrics have the names that the page for operators lists.
func TestMetricsHaveTheNamesOfTheOperatorsPage(t *testing.T) {
	instruments, err := telemetry.New(t.Context(), telemetry.Options{Node: "n", Zone: "z"})
	require.NoError(t, err)
	m, err := NewMetrics(instruments.Meter)
	require.NoError(t, err)
	m.Finished("route", "answered", 30*time.Millisecond)
	m.FirstEvent("route", 20*time.Millisecond)
	m.StoreCall("kind", "put", "conflict")
	m.Evacuated(1)
	m.ContentAge("kind", time.Second)
	m.Partitioned("s", true)
	m.BadEntry("kind")
	m.Restarted("later")
	m.Quarantined(false)
	m.Limited("named")
	m.Noticed("leaving")
	m.Builds(2)
	m.Suspended(time.Second)
	m.BadEntry("kind")
	m.Rollout("service", 1, 0.1)
	m.RolloutAnswers("service", "route", "old", 2, 1)
	m.Link(0.7, true, 3)
	m.Callers(4, memory.State{Held: 1, Peak: 2, Rejected: 3, Evicted: 1, Waiting: 2, WaitingBytes: 3})
	answer := httptest.NewRecorder()
	instruments.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	listed := regexp.MustCompile(`\| (lynxshed_relay_\w+) \|`).FindAllStringSubmatch(string(page), -1)
	require.Len(t, listed, 28)
	for _, name := range listed {
		assert.Contains(t, answer.Body.String(), "# TYPE "+name[1]+" ")
	}
}
