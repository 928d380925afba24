package limit_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// learned is how long after a change of the list of nodes all have learned of it that are
// not cut off.
const learned = 2 * time.Second

// world is some nodes that all want to use one endpoint under a limit all the time. Nodes
// join and leave, start again, learn of that late, or are cut off and know it.
type world struct {
	random  *rand.Rand
	at      time.Duration
	names   []string // the list that is in force
	changed time.Duration
	lists   int
	gates   map[string]*bound.Gate
	cut     map[string]bool
	late    map[string]time.Duration // when a node learns of the list
	sent    []time.Duration
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 11)), gates: map[string]*bound.Gate{}, cut: map[string]bool{}, late: map[string]time.Duration{}}
	w.names = lo.Times(nodes, func(i int) string { return fmt.Sprint("n", i) })
	for _, name := range w.names {
		w.start(name)
	}
	return w
}

func (w *world) now() time.Time { return time.Unix(1e6, 0).Add(w.at) }

func (w *world) start(name string) {
	w.gates[name] = bound.NewGate(name).WithCutOff(func() bool { return w.cut[name] })
	w.gates[name].Nodes(w.names, w.now())
}

// replace changes the list: some nodes leave, some join, some are cut off and keep the old one.
func (w *world) replace() {
	for name := range w.gates {
		w.gates[name].Nodes(w.names, w.now())
	}
	clear(w.cut)
	w.lists++
	w.changed = w.at
	stay := 1 + 2*w.random.IntN(2) // of four: most of them, or few
	kept := lo.Filter(w.names, func(_ string, i int) bool { return i == 0 || w.random.IntN(4) < stay })
	for _, name := range w.names {
		w.late[name] = w.at + time.Duration(w.random.Int64N(int64(learned)))
		if !slices.Contains(kept, name) { // it is cut off, or ends: its process may go on for a while
			w.cut[name] = w.random.IntN(2) == 0
			if !w.cut[name] {
				delete(w.gates, name)
			}
		}
	}
	fresh := lo.Times(w.random.IntN(len(w.names)/3+2), func(i int) string { return fmt.Sprint("n", w.lists, "-", i) })
	w.names = append(kept, fresh...)
	for _, name := range fresh {
		w.start(name)
	}
}

func (w *world) step(e engine.Engine, b bound.Bound) {
	w.at += time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
	if w.random.IntN(300) == 0 && w.at-w.changed > learned+2*b.Window {
		w.replace()
	}
	all := lo.Keys(w.gates)
	slices.Sort(all)
	name := all[w.random.IntN(len(all))]
	g := w.gates[name]
	if w.random.IntN(2000) == 0 && !w.cut[name] {
		w.start(name) // it was killed, and is back at once
		return
	}
	if !w.cut[name] && w.at >= w.late[name] {
		g.Nodes(w.names, w.now())
	}
	if g.May(e, b, w.now()) {
		g.Sent(e.ID, w.now())
		w.sent = append(w.sent, w.at)
	}
}

// inWindow drops what is older than a window, and counts the rest.
func (w *world) inWindow() int {
	for len(w.sent) > 0 && w.at-w.sent[0] > promised.Window {
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

// Whatever nodes join, leave, start again or are cut off, no window brings an endpoint that
// names a limit more than is promised.
func TestNoWindowBringsALimitedEndpointMoreThanIsPromised(t *testing.T) {
	e := engine.NewDirectory(1, []engine.Engine{{ID: "e", Service: "s"}}).Of("s")[0]
	for seed, nodes := range []int{1, 4, 8, 75} {
		for _, perSecond := range []float64{0, 0.5, 1, 1.5, 3, 10} {
			w := newWorld(uint64(seed), nodes)
			b := promised.Bound(perSecond)
			most := 0
			for i := range modelSteps() / 24 {
				w.step(e, b)
				most = max(most, w.inWindow())
				require.LessOrEqual(t, most, promised.Most(perSecond), "%d nodes, %v a second, step %d", nodes, perSecond, i)
			}
			assert.Positive(t, most, "%d nodes, %v a second: the endpoint is used", nodes, perSecond)
		}
	}
}

// Demand of a service whose endpoints all name a limit.
const (
	limited   = 9 // endpoints
	asked     = 1.5
	modelled  = time.Minute
	warmingUp = 10 * time.Second
)

// used is which part of all limits is used where callers ask for half as much again, at
// nodes drawn for each call; who is left out comes back once, when it was told to.
func used(nodes int, perSecond float64, alone bool) float64 {
	random := rand.New(rand.NewPCG(uint64(nodes), 5))
	names := lo.Times(nodes, func(i int) string { return fmt.Sprint("n", i) })
	start := time.Unix(1e6, 0)
	gates := lo.Map(names, func(name string, _ int) *bound.Gate {
		g, others := bound.NewGate(name), names
		if alone {
			others = []string{name}
		}
		g.Nodes(others, start.Add(-time.Minute))
		return g
	})
	returns := lo.Times(nodes, func(int) *limit.Returns { return limit.NewReturns() })
	endpoints := engine.NewDirectory(1, lo.Times(limited, func(i int) engine.Engine { return engine.Engine{ID: fmt.Sprint("e", i), Service: "s"} })).Of("s")
	b := promised.Bound(perSecond)
	total := perSecond * limited
	back := map[int][]bool{} // by millisecond
	served := 0
	call := func(ms int, first bool) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		n := random.IntN(nodes)
		for _, i := range random.Perm(limited) {
			if alone && i%nodes != n {
				continue
			}
			if gates[n].May(endpoints[i], b, now) {
				gates[n].Sent(endpoints[i].ID, now)
				if now.Sub(start) >= warmingUp {
					served++
				}
				return
			}
		}
		if wait := returns[n].After("s", total/float64(nodes), now); first {
			at := ms + int(wait.Milliseconds())
			back[at] = append(back[at], true)
		}
	}
	for ms := range int(modelled.Milliseconds()) {
		for range back[ms] {
			call(ms, false)
		}
		if random.Float64() < asked*total/1000 {
			call(ms, true)
		}
	}
	return float64(served) / (total * (modelled - warmingUp).Seconds())
}

// A limit is used, at any size of the fleet: parts are spread over many nodes, so that most
// calls find one. Where one node keeps all of a limit, the others can't use it.
func TestLimitsAreUsed(t *testing.T) {
	for _, nodes := range []int{4, 8, 60, 300} {
		for _, perSecond := range []float64{0.5, 3} {
			share := used(nodes, perSecond, false)
			t.Logf("%d nodes, %v a second: %.2f of the limits used, %.2f where one node has each", nodes, perSecond, share, used(nodes, perSecond, true))
			if nodes <= 8 {
				assert.GreaterOrEqual(t, share, 0.8, "%d nodes, %v a second", nodes, perSecond)
			}
		}
	}
}
