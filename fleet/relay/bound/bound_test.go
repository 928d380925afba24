package bound_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/cold"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

func TestSharesAddUpToTheTarget(t *testing.T) {
	cases := []struct {
		rule          cold.Rule
		perSecond     float64
		nodes         int
		target, bound int
	}{
		{cold.Rule{Overrun: 1.5, Tolerance: 5}, 7.7, 75, 7, 16},
		{cold.Rule{Overrun: 1.5, Tolerance: 5}, 7.7, 3, 7, 16},
		{cold.Rule{Overrun: 1.5, Tolerance: 5}, 7.7, 1, 7, 16},
		{cold.Rule{Overrun: 1.5, Tolerance: 5}, 40, 75, 32, 65},
		{cold.Rule{Overrun: 1}, 6, 75, 3, 6},
		{cold.Rule{Overrun: 1}, 0.5, 75, 1, 0},
	}
	for _, c := range cases {
		names := lo.Times(c.nodes, func(i int) string { return fmt.Sprint("n", i) })
		sum := 0
		for _, name := range names {
			sum += bound.NewFleet(name, names).Share(xxhash.Sum64String("e"), c.rule.Target(c.perSecond))
		}
		assert.Equal(t, c.target, sum, "%+v", c)
		assert.Equal(t, c.bound, c.rule.MaxCalls(c.perSecond), "%+v", c)
	}
}

func TestUnusedSharesDoNotAccumulate(t *testing.T) {
	start := time.Unix(1000, 0)
	e := engine.NewDirectory(1, []engine.Engine{{ID: "e", Service: "s"}}).Of("s")[0]
	g, rule := bound.NewGate("n"), cold.Rule{Overrun: 1.5, Tolerance: 5}
	take := func(at time.Duration) int {
		taken := 0
		for range 50 {
			if g.Allows(e, rule.Bound(7.7), start.Add(at)) {
				g.Sent(e.ID, start.Add(at))
				taken++
			}
		}
		return taken
	}
	assert.Zero(t, take(0), "no list of nodes is known")
	g.Nodes([]string{"n"}, start)
	assert.Zero(t, take(time.Second), "the list is new: an earlier incarnation of the node may have sent in this second")
	g.Nodes([]string{"n"}, start.Add(1500*time.Millisecond))
	steps := []struct {
		at   time.Duration
		want int
	}{{2 * time.Second, 7}, {2900 * time.Millisecond, 0}, {3300 * time.Millisecond, 7}, {20 * time.Second, 7}}
	for _, s := range steps {
		assert.Equal(t, s.want, take(s.at), "at %s", s.at)
	}
	g.Nodes([]string{"others"}, start.Add(30*time.Second))
	assert.Zero(t, take(30*time.Second), "the list lacks this node")
	g.Nodes([]string{"n"}, start.Add(40*time.Second))
	assert.Equal(t, 7, take(40*time.Second))
	g.Leave()
	assert.Zero(t, take(50*time.Second), "it is about to end")
}

// simulation consists of nodes whose lists of the fleet differ in age, and which restart, and
// one cold endpoint that all of them want to use all the time.
type simulation struct {
	random      *rand.Rand
	rule        cold.Rule
	names       []string
	lists       [2][]string // an old and a new one, both in use
	alive       []string    // in one of the lists
	gates       map[string]*bound.Gate
	clockOffset map[string]time.Duration // of each node's clock, arbitrary
	sent        []time.Duration
	at          time.Duration
	change      time.Duration // when the list last changed
}

func newSimulation(seed uint64, nodes int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 1)), rule: cold.Rule{Overrun: 1.5, Tolerance: 5}, gates: map[string]*bound.Gate{}, clockOffset: map[string]time.Duration{}}
	w.names = lo.Times(nodes, func(i int) string { return fmt.Sprint("n", i) })
	w.lists[0], w.lists[1], w.alive = w.names, w.names, w.names
	for _, name := range w.names {
		w.start(name)
	}
	return w
}

func (w *simulation) now(name string) time.Time {
	return time.Unix(1e6, 0).Add(w.at + w.clockOffset[name])
}

func (w *simulation) start(name string) {
	w.clockOffset[name] = time.Duration(w.random.Int64N(int64(time.Hour))) - 30*time.Minute
	w.gates[name] = bound.NewGate(name)
	w.gates[name].Nodes(w.lists[w.random.IntN(2)], w.now(name))
}

// minListAge is the minimum time between two lists of the fleet: longer than a window, so that
// at most two are used in it.
const minListAge = 2 * time.Second

// replace changes a third of the fleet in a newer list, once all nodes have the present one.
func (w *simulation) replace(next int) {
	if w.at-w.change < minListAge {
		return
	}
	w.change = w.at
	w.lists[0] = w.lists[1]
	for name, g := range w.gates {
		g.Nodes(w.lists[0], w.now(name))
	}
	kept := lo.Filter(w.lists[0], func(_ string, i int) bool { return i == 0 || w.random.IntN(3) > 0 })
	fresh := lo.Times(w.random.IntN(len(w.names)/3+1), func(i int) string { return fmt.Sprint("n", next, "-", i) })
	w.lists[1] = append(kept, fresh...)
	for _, name := range fresh {
		w.start(name)
	}
	w.alive = lo.Uniq(append(slices.Clone(w.lists[0]), w.lists[1]...))
	w.gates = lo.PickByKeys(w.gates, w.alive)
}

func (w *simulation) step(e engine.Engine, perSecond float64, i int) {
	w.at += time.Duration(w.random.Int64N(int64(2 * time.Millisecond)))
	draw := w.random.IntN(4000)
	if draw == 0 {
		w.replace(i)
	}
	name := w.alive[w.random.IntN(len(w.alive))]
	switch {
	case draw < 4:
		w.start(name)
	case draw < 80:
		w.gates[name].Nodes(w.lists[w.random.IntN(2)], w.now(name))
	}
	if g := w.gates[name]; g.Allows(e, w.rule.Bound(perSecond), w.now(name)) {
		g.Sent(e.ID, w.now(name))
		w.sent = append(w.sent, w.at)
	}
}

// inLastSecond drops calls older than a second and counts the rest.
func (w *simulation) inLastSecond() int {
	for len(w.sent) > 0 && w.at-w.sent[0] > time.Second {
		w.sent = w.sent[1:]
	}
	return len(w.sent)
}

func modelSteps() int {
	if n, err := strconv.Atoi(os.Getenv("LYNXSHED_MODEL_STEPS")); err == nil {
		return n
	}
	return 200_000
}

// Whatever the nodes' clocks and restarts, and with an old and a new list in use, a cold
// endpoint gets no more calls in any second than the bound.
func TestColdEndpointStaysWithinTheBound(t *testing.T) {
	const perSecond = 7.7
	e := engine.NewDirectory(1, []engine.Engine{{ID: "e", Service: "s"}}).Of("s")[0]
	for seed, nodes := range []int{1, 8, 75, 300} {
		w := newSimulation(uint64(seed), nodes)
		most := 0
		for i := range modelSteps() / 4 {
			w.step(e, perSecond, i)
			most = max(most, w.inLastSecond())
			require.LessOrEqual(t, most, w.rule.MaxCalls(perSecond), "%d nodes, step %d", nodes, i)
		}
		assert.Positive(t, most, "%d nodes: the endpoint is used", nodes)
	}
}

// Calls sent before an endpoint restarted may reach its new incarnation while it is cold. The
// node's share is withheld until they are a window old, and does not accumulate.
func TestRestartedEndpointWaitsForEarlierCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	all := engine.NewDirectory(1, []engine.Engine{{ID: "e", Service: "s"}, {ID: "f", Service: "s"}}).Of("s")
	g, rule := bound.NewGate("n"), cold.Rule{Overrun: 1.5, Tolerance: 5}
	g.Nodes([]string{"n"}, start.Add(-time.Minute))
	take := func(e engine.Engine, at time.Duration) int {
		taken := 0
		for range 50 {
			if g.Allows(e, rule.Bound(7.7), start.Add(at)) {
				g.Sent(e.ID, start.Add(at))
				taken++
			}
		}
		return taken
	}
	assert.Equal(t, 7, take(all[0], 0))
	g.Restarted("e", start.Add(300*time.Millisecond), start.Add(350*time.Millisecond))
	g.Restarted("f", start.Add(-2*time.Second), start.Add(350*time.Millisecond))
	steps := []struct {
		at        time.Duration
		e, others int
	}{{400 * time.Millisecond, 0, 7}, {1400 * time.Millisecond, 0, 0}, {1500 * time.Millisecond, 7, 0}, {1700 * time.Millisecond, 0, 7}, {2800 * time.Millisecond, 7, 0}}
	for _, s := range steps {
		assert.Equal(t, s.e, take(all[0], s.at), "at %s", s.at)
		assert.Equal(t, s.others, take(all[1], s.at), "another one, at %s", s.at)
	}
}
