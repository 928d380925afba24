package keeper_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// step is a point of a request's life at which a fault strikes.
type step string

const (
	reserved step = "reserved"
	running  step = "running"
	ended    step = "ended"
	durable  step = "durable"
)

// fault is what strikes; recover undoes what the operators or the network undo.
type fault struct {
	name    string
	strike  func(w *world, q request)
	recover func(w *world)
	// stranded says that tokens may stay committed with a reason.
	stranded bool
}

func none(*world) {}

var faults = []fault{
	{"holder dies", func(w *world, q request) { w.die(q.holder, true) }, none, false},
	{"holder dies, place stays empty", func(w *world, q request) { w.die(q.holder, false); w.forgetVM(q.holder) }, none, false},
	{"entry dies", func(w *world, q request) { w.die(q.entry, true) }, none, false},
	{"both die", func(w *world, q request) { w.die(q.holder, true); w.die(q.entry, true) }, none, true},
	{"platform is out", func(w *world, _ request) { w.store.down = true; w.settle() }, func(w *world) { w.store.down = false }, false},
	{"platform loses answers", func(w *world, _ request) { w.store.loseWrite = 5 }, none, false},
	{"platform has conflicts", func(w *world, _ request) { w.store.conflict = 4 }, none, false},
	{"holder is cut off", func(w *world, q request) { q.holder.cut = true; w.settle() }, func(w *world) {
		for _, v := range w.vms {
			v.cut = false
		}
	}, false},
	{"holder dies while the platform is out", func(w *world, q request) {
		w.store.down = true
		w.die(q.holder, true)
		w.settle()
	}, func(w *world) { w.store.down = false }, false},
	{"entry dies while the platform is out", func(w *world, q request) {
		w.store.down = true
		w.die(q.entry, true)
		w.settle()
	}, func(w *world) { w.store.down = false }, false},
	{"holder dies, then the entry", func(w *world, q request) {
		w.die(q.holder, true)
		w.settle()
		w.die(q.entry, true)
	}, none, false},
	{"engine is out when the entry dies", func(w *world, q request) {
		w.engine.down = true
		w.die(q.entry, true)
		w.settle()
	}, func(w *world) { w.engine.down = false }, false},
}

// TestEachFaultAtEachStep brings about every fault at every step of a request's
// life, with the entry on the holder's own VM and on another, and then holds the
// bills against what the engine ran.
func TestEachFaultAtEachStep(t *testing.T) {
	for _, f := range faults {
		for _, at := range []step{reserved, running, ended, durable} {
			for _, same := range []bool{false, true} {
				name := f.name + "/" + string(at)
				if same {
					name += "/entry is holder"
				}
				t.Run(name, func(t *testing.T) { strikeAt(t, f, at, same) })
			}
		}
	}
}

func strikeAt(t *testing.T, f fault, at step, same bool) {
	w := newWorld(t, "n1", "n2", "n3")
	h, entry := w.roles()
	if same {
		entry = h
	}
	q, verdict := w.admit(h, entry)
	require.NotNil(t, verdict.Admitted)
	if at != reserved {
		w.run(q, backend.StateRunning, 3)
	}
	if at == ended || at == durable {
		w.end(q, 20)
	}
	if at == durable {
		w.settle()
	}
	f.strike(w, q)
	if !entry.dead && (at == reserved || at == running) {
		w.end(q, 20)
	}
	if entry.dead && at == running {
		w.run(q, backend.StateDone, 20)
	}
	f.recover(w)
	w.settle()
	w.settle()
	holds(t, w, f.stranded)
}

// holds checks what must be true after any fault.
func holds(t *testing.T, w *world, mayStrand bool) {
	t.Helper()
	line := w.line()
	assert.LessOrEqual(t, line.Committed(), line.Limit, "holdings never exceed the limit")
	var billed int64
	for _, b := range w.bills() {
		billed += b.Tokens
	}
	var strandings int
	w.eachLive(func(v *vm) { strandings += len(v.Stranded()) })
	if mayStrand && strandings > 0 {
		assert.LessOrEqual(t, billed, w.ran())
		return
	}
	assert.Equal(t, w.ran(), billed, "the bills are what ran, once")
	assert.Equal(t, w.ran(), line.Spent(), "the ledger agrees")
	assert.Zero(t, strandings)
	for _, a := range line.Accounts {
		v := w.vms[a.Holder.Node()]
		assert.True(t, v != nil && !v.dead, "the account of %s is closed", a.Holder)
	}
}

// forgetVM takes a dead VM out of everybody's list.
func (w *world) forgetVM(dead *vm) {
	names := []string{}
	for n := range w.vms {
		if n != dead.Self.Node {
			names = append(names, string(n))
		}
	}
	for _, v := range w.vms {
		v.view, _ = v.view.Handle(listOf(w, 1, append(names, string(dead.Self.Node))...))
	}
	delete(w.vms, dead.Self.Node)
	w.clock.Advance(3_000_000_000)
	for _, v := range w.vms {
		v.view, _ = v.view.Handle(listOf(w, 2, names...))
	}
}

// TestPausedHolderWakesFenced lets a holder miss that its account was closed.
func TestPausedHolderWakesFenced(t *testing.T) {
	w := newWorld(t, "n1", "n2", "n3")
	h, entry := w.roles()
	q, _ := w.admit(h, entry)
	w.end(q, 20)
	entry.Keeper.Fence(peer.Fencing{Holder: h.Incarnation()})

	old := h.Incarnation()
	id, verdict := w.admitRemembering(h, entry)
	assert.Nil(t, verdict.Admitted, "an entry that has fenced the holder runs nothing under it")
	h.End(context.Background(), peer.Ending{Record: id, NotRun: true})

	_, own := w.admit(h, h)
	require.NotNil(t, own.Refused, "nor does it run its own: the next VM has fenced it")
	assert.Equal(t, problem.NoHolder, own.Refused.Reason)
	assert.NotEqual(t, old, h.Incarnation(), "it knows that its life as a holder is over and begins another")
	w.settle()
	w.settle()
	holds(t, w, false)
}

// TestAStrandingThatAnotherNodeClosedIsForgotten lets one node fail to close an
// account that another closes.
func TestAStrandingThatAnotherNodeClosedIsForgotten(t *testing.T) {
	w := newWorld(t, "n1", "n2", "n3")
	h, entry := w.roles()
	q, _ := w.admit(h, entry)
	w.end(q, 20)
	w.die(h, false)
	w.forgetVM(h)
	entry.cut = true
	w.settle()
	waiting := 0
	w.eachLive(func(v *vm) { waiting += len(v.Stranded()) })
	require.Positive(t, waiting, "a node that may know more is cut off: the account waits, with its reason")
	entry.cut = false
	w.settle()
	w.eachLive(func(v *vm) { assert.Empty(t, v.Stranded()) })
	holds(t, w, false)
}

// admitRemembering is admit where the entry may refuse to remember.
func (w *world) admitRemembering(h, entry *vm) (holder.Record, peer.Verdict) {
	r := holder.Record{Request: "z.0.x", Customer: customer, Bound: bound, Model: true, Entry: entry.Incarnation(), At: w.clock.Now()}
	verdict := h.Admit(context.Background(), peer.Admission{Record: r, Budgets: []holder.BudgetLine{{Name: budget, Limit: limit, Version: 1}}})
	if verdict.Admitted != nil && entry.Remember(*verdict.Admitted) != nil {
		return *verdict.Admitted, peer.Verdict{}
	}
	return r, verdict
}

// TestSpendNeverPassesTheLimit spends from every VM while holders die, the
// platform goes and comes, and answers are lost.
func TestSpendNeverPassesTheLimit(t *testing.T) {
	w := newWorld(t, "n1", "n2", "n3")
	refused := 0
	for round := range 90 {
		h, entry := w.roles()
		for range 3 {
			q, verdict := w.admit(h, entry)
			if verdict.Admitted == nil {
				require.Equal(t, problem.BudgetExhausted, verdict.Refused.Reason)
				require.Equal(t, problem.NotRun, verdict.Refused.Outcome)
				refused++
				continue
			}
			w.end(q, bound-10)
		}
		switch round % 15 {
		case 4:
			w.die(h, true)
			w.settle()
		case 8:
			w.store.loseWrite = 3
		case 11:
			w.store.down = true
			w.settle()
		case 13:
			w.store.down = false
			w.settle()
		}
		require.LessOrEqual(t, w.ran(), limit)
	}
	w.store.down = false
	w.settle()
	assert.Positive(t, refused)
	assert.GreaterOrEqual(t, w.ran(), limit-bound, "nearly all of it could be spent")
	holds(t, w, false)
}

// listOf is the platform's list of VMs.
func listOf(w *world, revision int64, names ...string) membership.Listed {
	var vms []platform.VM
	for _, n := range names {
		vms = append(vms, platform.VM{Name: ident.Node(n), Zone: "z", State: platform.VMLive})
	}
	return membership.Listed{At: w.clock.Now(), List: platform.VMList{Revision: revision, VMs: vms}}
}

// TestPairsOfFaults lets two faults strike together while a request runs. What
// can't be accounted exactly must be shown as stranded, never lost or billed twice.
func TestPairsOfFaults(t *testing.T) {
	for _, first := range faults {
		for _, second := range faults {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				w := newWorld(t, "n1", "n2", "n3")
				h, entry := w.roles()
				q, verdict := w.admit(h, entry)
				require.NotNil(t, verdict.Admitted)
				w.run(q, backend.StateRunning, 3)
				first.strike(w, q)
				second.strike(w, q)
				if entry.dead {
					w.run(q, backend.StateDone, 20)
				} else {
					w.end(q, 20)
				}
				first.recover(w)
				second.recover(w)
				w.settle()
				w.settle()
				holds(t, w, true)
			})
		}
	}
}
