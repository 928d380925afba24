package account

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model check drives allowances, one ledger and a lossy network through random
// interleavings, and holds after each step that what all lives together have
// spent and reserved is within the budget.

const modelTenant = "tenant"

// testStart is when the tests' clocks begin.
var testStart = time.Unix(0, 0)

// world is the whole of what the model knows.
type world struct {
	random   *rand.Rand
	now      time.Time
	prepaid  int64
	ledger   Ledger
	revision int64
	late     []latePut
	nodes    []*modelNode
	grants   []modelGrant
	dead     int64 // spent by lives that have ended; their reservations count as spent
	trail    []string
}

type modelNode struct {
	name      string
	life      int
	allowance *Allowance
	seen      Ledger
	revision  int64
	calls     []int64
	leaving   bool
}

type latePut struct {
	base   int64
	ledger Ledger
}

type modelGrant struct {
	to     *modelNode
	life   int
	tokens int64
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), prepaid: 100_000}
	for i := range 4 {
		n := &modelNode{name: fmt.Sprint("node-", i)}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

func (w *world) start(n *modelNode) {
	n.life++
	n.allowance = NewAllowance(n.name, fmt.Sprint(n.name, "/", n.life), DefaultTuning())
	n.allowance.Budget(map[string]int64{modelTenant: w.prepaid})
	n.seen, n.revision, n.calls, n.leaving = Ledger{}, 0, nil, false
	w.read(n)
}

// step takes one random step.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(300)) * time.Millisecond)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	steps := []struct {
		weight int
		name   string
		do     func(*modelNode)
	}{
		{30, "reserve", w.reserve}, {30, "settle", w.settle}, {12, "write", w.write}, {6, "read", w.read}, {8, "acquire", w.acquire},
		{6, "grant", w.deliver}, {2, "grant lost", w.loseGrant}, {3, "late write", w.applyLate}, {2, "kill", w.kill},
		{1, "leave", w.leave}, {1, "raise", w.raise}, {1, "kill all", w.killAll},
	}
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	draw := w.random.IntN(total)
	for _, s := range steps {
		if draw < s.weight {
			w.trail = append(w.trail, s.name+" "+n.name)
			s.do(n)
			return
		}
		draw -= s.weight
	}
}

func (w *world) reserve(n *modelNode) {
	tokens := int64(w.random.IntN(3000) + 1)
	if n.allowance.Reserve(modelTenant, tokens, w.now) == Reserved {
		n.calls = append(n.calls, tokens)
	}
}

func (w *world) settle(n *modelNode) {
	if len(n.calls) == 0 {
		return
	}
	i := w.random.IntN(len(n.calls))
	reserved := n.calls[i]
	n.calls = append(n.calls[:i:i], n.calls[i+1:]...)
	n.allowance.Settle(modelTenant, reserved, w.random.Int64N(reserved+1))
}

func (w *world) read(n *modelNode) {
	n.seen, n.revision = w.ledger, w.revision
	n.allowance.Saw(w.ledger, w.revision)
}

// write makes a conditional write, whose effect or answer may be lost or late.
func (w *world) write(n *modelNode) {
	next, worth := n.allowance.Propose(n.seen, Round{Nodes: len(w.nodes), Now: w.now, All: true, Leaving: n.leaving})
	if !worth && !n.leaving {
		return
	}
	put := latePut{base: n.revision, ledger: next}
	switch w.random.IntN(8) {
	case 0: // never arrives
	case 1: // arrives later
		w.late = append(w.late, put)
	case 2: // takes effect, the answer is lost
		w.put(put)
	default:
		if w.put(put) {
			n.allowance.Answered()
			w.read(n)
		}
	}
}

func (w *world) put(p latePut) bool {
	if p.base != w.revision {
		return false
	}
	w.ledger, w.revision = p.ledger, w.revision+1
	return true
}

func (w *world) applyLate(*modelNode) {
	if len(w.late) == 0 {
		return
	}
	i := w.random.IntN(len(w.late))
	p := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.put(p)
}

func (w *world) acquire(n *modelNode) {
	from := w.nodes[w.random.IntN(len(w.nodes))]
	if from == n {
		return
	}
	need := int64(w.random.IntN(4000) + 1)
	if tokens := from.allowance.Grant(modelTenant, need, 3*need); tokens > 0 {
		w.grants = append(w.grants, modelGrant{to: n, life: n.life, tokens: tokens})
	}
}

func (w *world) takeGrant() (modelGrant, bool) {
	if len(w.grants) == 0 {
		return modelGrant{}, false
	}
	i := w.random.IntN(len(w.grants))
	g := w.grants[i]
	w.grants = append(w.grants[:i:i], w.grants[i+1:]...)
	return g, true
}

func (w *world) deliver(*modelNode) {
	if g, ok := w.takeGrant(); ok && g.life == g.to.life {
		g.to.allowance.Receive(modelTenant, g.tokens)
	}
}

func (w *world) loseGrant(*modelNode) { w.takeGrant() }

func (w *world) kill(n *modelNode) {
	w.dead += n.spent()
	w.start(n)
}

func (w *world) killAll(*modelNode) {
	if w.random.IntN(20) > 0 {
		return
	}
	for _, n := range w.nodes {
		w.kill(n)
	}
}

// leave is a planned stop: some time later the life ends.
func (w *world) leave(n *modelNode) {
	if n.leaving {
		w.kill(n)
		return
	}
	n.leaving = true
}

func (w *world) raise(*modelNode) {
	if w.random.IntN(10) > 0 {
		return
	}
	w.prepaid += int64(w.random.IntN(20_000))
	for _, n := range w.nodes {
		n.allowance.Budget(map[string]int64{modelTenant: w.prepaid})
	}
}

// spent is what the life has spent, with its open calls at their most.
func (n *modelNode) spent() int64 {
	n.allowance.mu.Lock()
	defer n.allowance.mu.Unlock()
	k := n.allowance.quota(modelTenant)
	return k.spent + k.reserved
}

func (w *world) spent() int64 {
	total := w.dead
	for _, n := range w.nodes {
		total += n.spent()
	}
	return total
}

// check fails the test where the budget was exceeded.
func (w *world) check(t *testing.T, seed uint64, step int) {
	t.Helper()
	if w.spent() <= w.prepaid && w.ledger.Account(modelTenant).Drawn() <= w.prepaid {
		return
	}
	from := max(len(w.trail)-40, 0)
	require.Failf(t, "budget exceeded", "seed %d, step %d: spent %d, drawn %d of %d\nlast steps: %v",
		seed, step, w.spent(), w.ledger.Account(modelTenant).Drawn(), w.prepaid, w.trail[from:])
}

// modelSteps is how many steps a run takes in all; LYNXSHED_MODEL_STEPS asks
// for a longer run by hand.
func modelSteps() int {
	if n, err := strconv.Atoi(os.Getenv("LYNXSHED_MODEL_STEPS")); err == nil {
		return n
	}
	return 200_000
}

const stepsPerWorld = 2000

func TestNoInterleavingExceedsABudget(t *testing.T) {
	for seed := range uint64(modelSteps() / stepsPerWorld) {
		w := newWorld(seed)
		for step := range stepsPerWorld {
			w.step()
			w.check(t, seed, step)
		}
	}
}
