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

// step is the point of a request's lifecycle at which a fault is injected.
type step string

const (
	reserved step = "reserved"
	running  step = "running"
	ended    step = "ended"
	durable  step = "durable"
)

// fault is a fault to inject; recover reverts it as operators or the network would.
type fault struct {
	name    string
	inject  func(w *world, q request)
	recover func(w *world)
	// stranded is set if tokens may stay committed, with a reason shown to operators.
	stranded bool
}

func none(*world) {}

var faults = []fault{
	{"holder dies", func(w *world, q request) { w.kill(q.holder, true) }, none, false},
	{"holder dies and is not replaced", func(w *world, q request) { w.kill(q.holder, false); w.removeVM(q.holder) }, none, false},
	{"entry dies", func(w *world, q request) { w.kill(q.entry, true) }, none, false},
	{"both die", func(w *world, q request) { w.kill(q.holder, true); w.kill(q.entry, true) }, none, true},
	{"platform is unavailable", func(w *world, _ request) { w.store.down = true; w.settle() }, func(w *world) { w.store.down = false }, false},
	{"platform loses answers", func(w *world, _ request) { w.store.loseWrite = 5 }, none, false},
	{"platform has conflicts", func(w *world, _ request) { w.store.conflict = 4 }, none, false},
	{"holder is unreachable", func(w *world, q request) { q.holder.unreachable = true; w.settle() }, func(w *world) {
		for _, v := range w.vms {
			v.unreachable = false
		}
	}, false},
	{"holder dies while the platform is unavailable", func(w *world, q request) {
		w.store.down = true
		w.kill(q.holder, true)
		w.settle()
	}, func(w *world) { w.store.down = false }, false},
	{"entry dies while the platform is unavailable", func(w *world, q request) {
		w.store.down = true
		w.kill(q.entry, true)
		w.settle()
	}, func(w *world) { w.store.down = false }, false},
	{"holder dies, then the entry", func(w *world, q request) {
		w.kill(q.holder, true)
		w.settle()
		w.kill(q.entry, true)
	}, none, false},
	{"engine is unavailable when the entry dies", func(w *world, q request) {
		w.engine.down = true
		w.kill(q.entry, true)
		w.settle()
	}, func(w *world) { w.engine.down = false }, false},
}

// A fault at some step of a request could lose its bill or charge it twice. The test injects every fault
// at every step, with the entry on the holder's VM and on another, and compares the bills with what the
// engine ran.
func TestEachFaultAtEachStep(t *testing.T) {
	for _, f := range faults {
		for _, at := range []step{reserved, running, ended, durable} {
			for _, same := range []bool{false, true} {
				name := f.name + "/" + string(at)
				if same {
					name += "/entry is holder"
				}
				t.Run(name, func(t *testing.T) { runFaultAt(t, f, at, same) })
			}
		}
	}
}

func runFaultAt(t *testing.T, f fault, at step, same bool) {
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
	f.inject(w, q)
	if !entry.dead && (at == reserved || at == running) {
		w.end(q, 20)
	}
	if entry.dead && at == running {
		w.run(q, backend.StateDone, 20)
	}
	f.recover(w)
	w.settle()
	w.settle()
	assertInvariants(t, w, f.stranded)
}

// assertInvariants checks the invariants that must hold after any fault.
func assertInvariants(t *testing.T, w *world, mayStrand bool) {
	t.Helper()
	line := w.line()
	assert.LessOrEqual(t, line.Committed(), line.Limit, "holdings exceed the limit")
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
	assert.Equal(t, w.ran(), billed, "the bills differ from what the engine ran")
	assert.Equal(t, w.ran(), line.Spent(), "the ledger differs from what the engine ran")
	assert.Zero(t, strandings)
	for _, a := range line.Accounts {
		v := w.vms[a.Holder.Node()]
		assert.True(t, v != nil && !v.dead, "the account of %s is still open", a.Holder)
	}
}

// removeVM removes a dead VM from every node's list of VMs.
func (w *world) removeVM(dead *vm) {
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

// A paused holder that resumes after its accounts were closed could spend tokens twice. Here the other
// nodes fence it without its knowledge.
func TestPausedHolderIsFencedWhenItResumes(t *testing.T) {
	w := newWorld(t, "n1", "n2", "n3")
	h, entry := w.roles()
	q, _ := w.admit(h, entry)
	w.end(q, 20)
	entry.Keeper.Fence(peer.FenceRequest{Holder: h.Incarnation()})

	old := h.Incarnation()
	id, verdict := w.tryAdmit(h, entry)
	assert.Nil(t, verdict.Admitted, "an entry VM that has fenced the holder must run nothing under it")
	h.End(context.Background(), peer.EndRequest{Record: id, NotRun: true})

	_, own := w.admit(h, h)
	require.NotNil(t, own.Refused, "its own requests are refused too, since the next VM has fenced it")
	assert.Equal(t, problem.NoHolder, own.Refused.Reason)
	assert.NotEqual(t, old, h.Incarnation(), "it must start a new incarnation")
	w.settle()
	w.settle()
	assertInvariants(t, w, false)
}

// A node must not report an account as stranded after another node has closed it. Here one node fails to
// close an account that another one closes later.
func TestStrandedAccountClosedByAnotherNodeIsDropped(t *testing.T) {
	w := newWorld(t, "n1", "n2", "n3")
	h, entry := w.roles()
	q, _ := w.admit(h, entry)
	w.end(q, 20)
	w.kill(h, false)
	w.removeVM(h)
	entry.unreachable = true
	w.settle()
	stranded := 0
	w.eachLive(func(v *vm) { stranded += len(v.Stranded()) })
	require.Positive(t, stranded, "the account must be stranded while a node that may have more records is unreachable")
	entry.unreachable = false
	w.settle()
	w.eachLive(func(v *vm) { assert.Empty(t, v.Stranded()) })
	assertInvariants(t, w, false)
}

// tryAdmit is like admit, but the entry VM may refuse to store the record.
func (w *world) tryAdmit(h, entry *vm) (holder.Record, peer.AdmitResponse) {
	r := holder.Record{Request: "z.0.x", Customer: customer, Bound: bound, Model: true, Entry: entry.Incarnation(), At: w.clock.Now()}
	verdict := h.Admit(context.Background(), peer.AdmitRequest{Record: r, Budgets: []holder.BudgetLine{{Name: budget, Limit: limit, Version: 1}}})
	if verdict.Admitted != nil && entry.StoreEntryRecord(*verdict.Admitted) != nil {
		return *verdict.Admitted, peer.AdmitResponse{}
	}
	return r, verdict
}

// Restarted holders, an unavailable platform and lost answers must not let requests spend more than the
// limit. The test spends from every VM while all of these happen.
func TestSpendNeverExceedsTheLimit(t *testing.T) {
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
			w.kill(h, true)
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
	assert.GreaterOrEqual(t, w.ran(), limit-bound, "nearly the whole limit must be spendable")
	assertInvariants(t, w, false)
}

// listOf returns the platform's list of VMs.
func listOf(w *world, revision int64, names ...string) membership.Listed {
	var vms []platform.VM
	for _, n := range names {
		vms = append(vms, platform.VM{Name: ident.Node(n), Zone: "z", State: platform.VMLive})
	}
	return membership.Listed{At: w.clock.Now(), List: platform.VMList{Revision: revision, VMs: vms}}
}

// Two faults at once could lose a bill or charge it twice. The test injects each pair while a request
// runs. Tokens that can't be accounted exactly must be reported as stranded.
func TestPairsOfFaults(t *testing.T) {
	for _, first := range faults {
		for _, second := range faults {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				w := newWorld(t, "n1", "n2", "n3")
				h, entry := w.roles()
				q, verdict := w.admit(h, entry)
				require.NotNil(t, verdict.Admitted)
				w.run(q, backend.StateRunning, 3)
				first.inject(w, q)
				second.inject(w, q)
				if entry.dead {
					w.run(q, backend.StateDone, 20)
				} else {
					w.end(q, 20)
				}
				first.recover(w)
				second.recover(w)
				w.settle()
				w.settle()
				assertInvariants(t, w, true)
			})
		}
	}
}
