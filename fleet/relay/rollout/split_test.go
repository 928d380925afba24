package rollout

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// endpoints returns endpoints of a version whose entries have the given revision.
func endpoints(version string, n int, revision store.Revision) []engine.Engine {
	made := lo.Times(n, func(i int) engine.Engine {
		return engine.Engine{
			ID: fmt.Sprintf("%s-%d", version, i), Service: "svc", Zone: fmt.Sprintf("z%d", i%3),
			Version: version, Seen: revision, Slots: 16,
		}
	})
	return engine.NewDirectory(revision, made).Of("svc")
}

func versions(engines []engine.Engine) []string {
	return lo.Uniq(lo.Map(engines, func(e engine.Engine, _ int) string { return e.Version }))
}

func order(target string, made int64) Order {
	return Order{Service: "svc", Target: target, Duration: 30e9, Made: made}
}

func TestStatusSelectsVersionsThatGetWork(t *testing.T) {
	both := append(endpoints("v1", 6, 5), endpoints("v2", 6, 12)...)
	three := append(both, endpoints("v3", 3, 13)...)
	for _, c := range []struct {
		name    string
		engines []engine.Engine
		status  Status
		made    int64
		target  string
		old     []string
		new     []string
	}{
		{"nothing is written", both, Status{}, 10, "v2", []string{"v1"}, nil},
		{"in progress", both, Status{State: InProgress, Target: "v2", Made: 10}, 10, "v2", []string{"v1"}, []string{"v2"}},
		{"moving", both, Status{State: InProgress, Stage: Moving, Target: "v2", Made: 10}, 10, "v2", []string{"v1"}, []string{"v2"}},
		{"completed", both, Status{State: Completed, Target: "v2", Made: 10}, 10, "v2", nil, []string{"v2"}},
		{"reverted", both, Status{State: Reverted, Target: "v2", Made: 10}, 10, "v2", []string{"v1"}, nil},
		{"status without the order's revision", both, Status{State: InProgress, Target: "v2"}, 10, "v2", []string{"v1"}, []string{"v2"}},
		{"same version again after completed", endpoints("v2", 3, 12), Status{State: Completed, Target: "v2", Made: 10}, 20, "v2", []string{"v2"}, nil},
		{"same version again after reverted", both, Status{State: Reverted, Target: "v2", Made: 10}, 20, "v2", []string{"v1"}, nil},
		{"another version after reverted", three, Status{State: Reverted, Target: "v2", Made: 10}, 20, "v3", []string{"v1"}, nil},
		{"another version after completed", three[6:], Status{State: Completed, Target: "v2", Made: 10}, 20, "v3", []string{"v2"}, nil},
		{"changed halfway", three, Status{State: InProgress, Target: "v2", Made: 10}, 20, "v3", []string{"v1"}, nil},
		{"barred before", three, Status{State: InProgress, Target: "v3", Made: 20, Barred: []string{"v2"}}, 20, "v3", []string{"v1"}, []string{"v3"}},
		{"barred, and ordered again", three, Status{State: Reverted, Target: "v3", Made: 20, Barred: []string{"v2"}}, 30, "v2", []string{"v1"}, nil},
		{"the only one, started after the order", endpoints("v2", 3, 12), Status{}, 10, "v2", nil, nil},
		{"the only one, there before the order", endpoints("v2", 3, 8), Status{}, 10, "v2", []string{"v2"}, nil},
		{"the target has no endpoints", endpoints("v1", 3, 8), Status{State: InProgress, Target: "v2", Made: 10}, 10, "v2", []string{"v1"}, nil},
		{"no endpoints at all", nil, Status{State: InProgress, Target: "v2", Made: 10}, 10, "v2", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := Set{}.With("a", Rollout{Order: order(c.target, c.made), Status: c.status, Revision: 40})
			l := Split(c.engines, set, "svc")
			assert.True(t, l.HasOrder)
			assert.Equal(t, c.old, lo.Ternary(len(l.Old) > 0, versions(l.Old), nil), "old")
			assert.Equal(t, c.new, lo.Ternary(len(l.Target) > 0, versions(l.Target), nil), "target")
			assert.Len(t, l.All, len(l.Old)+len(l.Target))
		})
	}
}

func TestEndpointWaitsUntilOrdersAreKnown(t *testing.T) {
	old, fresh := endpoints("v1", 3, 5), endpoints("v2", 3, 12)
	both := append(old, fresh...)
	for _, c := range []struct {
		name string
		set  Set
		want []string
	}{
		{"nothing is known", Set{}, nil},
		{"known up to the old ones", Set{}.At(8), []string{"v1"}},
		{"known up to all", Set{}.At(12), []string{"v1", "v2"}},
		{"used here before", Set{}.At(8).Using("svc", "v2"), []string{"v1", "v2"}},
		{"used for another service", Set{}.At(8).Using("other", "v2"), []string{"v1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := Split(both, c.set, "svc")
			assert.False(t, l.HasOrder)
			assert.ElementsMatch(t, c.want, versions(l.All))
		})
	}
}

func TestRestartedEndpointOfUsedVersionServesAtOnce(t *testing.T) {
	engines := append(endpoints("v1", 3, 5), engine.Engine{ID: "again", Service: "svc", Version: "v1", Seen: 99})
	assert.Len(t, Split(engines, Set{}.At(8), "svc").All, 4)
}

func TestInvalidOrdersChangeNothing(t *testing.T) {
	for _, o := range []Order{
		{Service: "", Target: "v2", Duration: 1, Made: 10},
		{Service: "svc", Target: "", Duration: 1, Made: 10},
		{Service: "svc", Target: "v2", Duration: 0, Made: 10},
		{Service: "svc", Target: "v2", Duration: -1, Made: 10},
		{Service: "nobody's", Target: "v2", Duration: 1, Made: 10},
	} {
		t.Run(fmt.Sprint(o), func(t *testing.T) {
			set := Set{}.With("a", Rollout{Order: o, Revision: 40})
			assert.Len(t, Split(endpoints("v1", 3, 5), set, "svc").All, 3)
		})
	}
}

func TestServicesAreRolledOutIndependently(t *testing.T) {
	first, second := order("v2", 10), order("v9", 11)
	second.Service = "other"
	set := Set{}.
		With("svc", Rollout{Order: first, Revision: 20, Status: Status{State: Reverted, Target: "v2", Made: 10}}).
		With("other", Rollout{Order: second, Revision: 21})
	both := append(endpoints("v1", 3, 5), endpoints("v2", 3, 12)...)
	assert.Equal(t, []string{"v1"}, versions(Split(both, set, "svc").All))
	set = set.Without("svc")
	assert.Equal(t, []string{"v1", "v2"}, versions(Split(both, set, "svc").All), "order deleted: all endpoints")
}

func TestSampledEndpointsBearTheSameLoad(t *testing.T) {
	for _, c := range []struct {
		old, target int
		share       float64
		want        int
	}{
		{140, 140, 0.08, 12},
		{140, 5, 0.08, 5},
		{3, 3, 0.08, 3},
		{6, 6, 0.08, 3},
		{6, 2, 0.08, 2},
		{140, 140, 0, 3},
		{0, 20, 0.08, 3},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			target := endpoints("v2", c.target, 12)
			chosen := sampledEndpoints(target, endpoints("v1", c.old, 5), c.share)
			assert.Len(t, chosen, c.want)
			assert.Len(t, lo.UniqBy(chosen, func(e engine.Engine) string { return e.Zone }), min(3, c.want), "zones")
			assert.Equal(t, chosen, sampledEndpoints(reversed(target), endpoints("v1", c.old, 5), c.share), "the same at all nodes")
		})
	}
}

func TestDrainingEndpointsAreNotSampled(t *testing.T) {
	target := endpoints("v2", 4, 12)
	target[0].State = engine.Draining
	assert.NotContains(t, sampledEndpoints(target, endpoints("v1", 4, 5), 0.1), target[0])
}

func reversed(engines []engine.Engine) []engine.Engine {
	engines = slices.Clone(engines)
	slices.Reverse(engines)
	return engines
}
