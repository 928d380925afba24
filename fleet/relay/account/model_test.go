package account

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// The model test drives allowances, one ledger and a lossy network through random interleavings.
// After each step it checks that what all incarnations together have spent and reserved is within
// the budget.

const modelTenant = "tenant"

// testStart is when the tests' clocks begin.
var testStart = time.Unix(0, 0)

// world is the state of the model.
type world struct {
	random       *rand.Rand
	now          time.Time
	prepaid      int64
	ledger       Ledger
	revision     store.Revision
	delayed      []delayedPut
	nodes        []*modelNode
	grants       []modelGrant
	spentByEnded int64            // spent by ended incarnations; their reservations count as spent
	closed       map[string]bool  // incarnations whose rows were closed
	underClosed  int64            // tokens in use by incarnations beyond the amount their rows were closed with
	ended        map[string]int64 // tokens spent, reserved and granted by ended incarnations
	steps        []string         // steps taken
	invalid      error            // set if a written ledger would not be accepted as a later one
}

type modelNode struct {
	name        string
	incarnation int
	allowance   *Allowance
	read        Ledger
	revision    store.Revision
	calls       []int64
	leaving     bool
}

type delayedPut struct {
	base   store.Revision
	ledger Ledger
	closes string // incarnation that closes itself with this write, or ""
}

type modelGrant struct {
	to          *modelNode
	incarnation int
	tokens      int64
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), prepaid: 100_000,
		ended: map[string]int64{}, closed: map[string]bool{},
	}
	if seed%2 == 1 {
		w.prepaid *= 100 // so that the reserve never runs out
	}
	for i := range 4 {
		n := &modelNode{name: fmt.Sprint("node-", i)}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

func (w *world) start(n *modelNode) {
	n.incarnation++
	n.allowance = NewAllowance(n.name, fmt.Sprint(n.name, "/", n.incarnation), DefaultTuning())
	n.allowance.Budget(map[string]int64{modelTenant: w.prepaid})
	n.read, n.revision, n.calls, n.leaving = Ledger{}, 0, nil, false
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
		{6, "grant", w.deliver}, {2, "grant lost", w.loseGrant}, {3, "late write", w.applyDelayed}, {2, "kill", w.kill},
		{1, "leave", w.leave}, {1, "raise", w.raise}, {1, "kill all", w.killAll}, {2, "wait", w.wait}, {4, "burst", w.burst},
	}
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	draw := w.random.IntN(total)
	for _, s := range steps {
		if draw < s.weight {
			w.steps = append(w.steps, s.name+" "+n.name)
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

// burst reserves everything that a node may spend.
func (w *world) burst(n *modelNode) {
	for range 30 {
		w.reserve(n)
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
	n.read, n.revision = w.ledger, w.revision
	n.allowance.Apply(w.ledger, w.revision)
}

// write makes a conditional write. The write may be lost or delayed, or its answer lost.
func (w *world) write(n *modelNode) {
	next, worth := n.allowance.Propose(n.read, Round{Nodes: len(w.nodes), Now: w.now, Draws: true, Leaving: n.leaving})
	if !worth && !n.leaving {
		return
	}
	put := delayedPut{base: n.revision, ledger: next}
	if n.allowance.quota(modelTenant).closed {
		put.closes = n.allowance.incarnation
	}
	switch w.random.IntN(8) {
	case 0: // lost
	case 1: // delayed
		w.delayed = append(w.delayed, put)
	case 2: // takes effect, but the answer is lost
		w.put(put)
	default:
		if w.put(put) {
			n.allowance.ShortfallProposed()
			w.read(n)
		}
	}
}

func (w *world) put(p delayedPut) bool {
	if p.base != w.revision {
		return false
	}
	before := w.ledger.Account(modelTenant)
	w.invalid = errors.CombineErrors(w.invalid, isLater(w.ledger, p.ledger))
	w.ledger, w.revision = p.ledger, w.revision+1
	after := w.ledger.Account(modelTenant)
	w.underClosed += w.closedShort(p, before, after)
	return true
}

func (w *world) applyDelayed(*modelNode) {
	if len(w.delayed) == 0 {
		return
	}
	i := w.random.IntN(len(w.delayed))
	p := w.delayed[i]
	w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
	w.put(p)
}

func (w *world) acquire(n *modelNode) {
	from := w.nodes[w.random.IntN(len(w.nodes))]
	if from == n {
		return
	}
	need := int64(w.random.IntN(4000) + 1)
	if tokens := from.allowance.Grant(modelTenant, need, 3*need); tokens > 0 {
		w.grants = append(w.grants, modelGrant{to: n, incarnation: n.incarnation, tokens: tokens})
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
	if g, ok := w.takeGrant(); ok && g.incarnation == g.to.incarnation {
		g.to.allowance.Receive(modelTenant, g.tokens)
	}
}

func (w *world) loseGrant(*modelNode) { w.takeGrant() }

func (w *world) kill(n *modelNode) {
	w.spentByEnded += n.spent()
	w.ended[n.allowance.incarnation] = n.busy()
	w.start(n)
}

// wait advances the clock by some seconds.
func (w *world) wait(*modelNode) { w.now = w.now.Add(time.Duration(w.random.IntN(6)) * time.Second) }

func (w *world) killAll(*modelNode) {
	if w.random.IntN(20) > 0 {
		return
	}
	for _, n := range w.nodes {
		w.kill(n)
	}
}

// leave begins a planned stop, or ends the incarnation if it has already begun.
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

// spent returns what the incarnation has spent, with open calls counted at their maximum.
func (n *modelNode) spent() int64 {
	n.allowance.mu.Lock()
	defer n.allowance.mu.Unlock()
	q := n.allowance.quota(modelTenant)
	return q.spent + q.reserved
}

func (w *world) spent() int64 {
	total := w.spentByEnded
	for _, n := range w.nodes {
		total += n.spent()
	}
	return total
}

// busy returns the tokens in use of what the incarnation drew.
func (n *modelNode) busy() int64 {
	n.allowance.mu.Lock()
	defer n.allowance.mu.Unlock()
	return n.allowance.quota(modelTenant).busy()
}

// busyOf returns the tokens in use of what an incarnation, running or ended, drew.
func (w *world) busyOf(incarnation string) int64 {
	for _, n := range w.nodes {
		if n.allowance.incarnation == incarnation {
			return n.busy()
		}
	}
	return w.ended[incarnation]
}

// closedShort returns how many tokens in use exceed the amounts with which a write closed their
// rows.
func (w *world) closedShort(p delayedPut, before, after Account) int64 {
	taken := int64(0)
	for _, r := range before.Rows {
		if _, open := after.Row(r.Incarnation); !open {
			taken += w.busyOf(r.Incarnation)
			w.closed[r.Incarnation] = true
		}
	}
	if p.closes != "" && !w.closed[p.closes] {
		taken += w.busyOf(p.closes)
		w.closed[p.closes] = true
	}
	return max(taken-(after.ClosedDrawn-before.ClosedDrawn), 0)
}

// isLater returns an error if a ledger, in its stored form, can't be a later version of another.
func isLater(before, after Ledger) error {
	data, err := json.Marshal(after)
	if err != nil {
		return err
	}
	var read Ledger
	if err := json.Unmarshal(data, &read); err != nil {
		return err
	}
	return read.Follows(before)
}

// check fails the test if the budget was exceeded, or rows were closed with less than their
// incarnations had in use.
func (w *world) check(t *testing.T, seed uint64, step int) {
	t.Helper()
	require.NoErrorf(t, w.invalid, "seed %d, step %d: a ledger written by nodes is rejected", seed, step)
	account := w.ledger.Account(modelTenant)
	if w.spent() <= w.prepaid && account.Drawn() <= w.prepaid && w.underClosed == 0 {
		return
	}
	from := max(len(w.steps)-40, 0)
	require.Failf(t, "budget exceeded", "seed %d, step %d: spent %d, drawn %d of %d, rows closed with %d too little\nlast steps: %v",
		seed, step, w.spent(), account.Drawn(), w.prepaid, w.underClosed, w.steps[from:])
}

// modelSteps returns the number of steps of a test run. LYNXSHED_MODEL_STEPS overrides it.
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
