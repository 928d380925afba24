package account

import (
	"time"
)

// A life holds its tokens in two tiers. What is above the reserve it may spend at
// once. The reserve it begins only when the VM's steady clock has passed the hold
// that its row names, which each write that may have taken effect puts off. So a
// later life on the same VM, which began before that clock time, shows that its
// predecessor never began the reserve, and gives it back. The clock goes on while
// the VM is up, also through the end of a process; a start of the VM shows in the
// boot id, and then nothing is given back.

// VM is what a node can show of its VM's clock.
type VM struct {
	Boot   string               // differs for each start of the VM; "" is not known, and nothing can be shown
	Steady func() time.Duration // goes on as long as the VM is up
}

// Hold is until when a life has promised not to begin its reserve, by the VM's
// steady clock.
type Hold struct {
	Boot  string
	From  time.Duration // when it was promised
	Until time.Duration
}

// kept is whether a life that promised this has ended before the hold did, where
// the next life on its VM began at a time of the steady clock. A clock that stands
// before the promise is another one: some hosts give VMs that they start anew a
// clock of any value, and the host's boot id in place of the VM's.
func (h Hold) kept(boot string, began time.Duration) bool {
	return h.Boot != "" && h.Boot == boot && h.From <= began && began < h.Until
}

// On returns the allowance with what its VM can show; it is called before any use.
func (p *Allowance) On(vm VM) *Allowance {
	p.vm = vm
	if vm.Boot != "" {
		p.began = vm.Steady()
	}
	return p
}

// spendable is what a life may spend of what it has drawn.
func (p *Allowance) spendable(k *quota) int64 {
	if !k.heldUntil.IsZero() && p.now().Before(k.heldUntil) {
		return min(k.bound, k.limit)
	}
	return k.limit
}

// free is what can be reserved now.
func (p *Allowance) free(k *quota) int64 {
	if k.closed {
		return 0
	}
	return p.spendable(k) - k.busy()
}

// hold is the promise of a round's write.
func (p *Allowance) hold(r Round) Hold {
	if p.vm.Boot == "" || r.Hold <= 0 || r.Leaving {
		return Hold{}
	}
	from := p.vm.Steady()
	return Hold{Boot: p.vm.Boot, From: from, Until: from + r.Hold}
}

// atOnce is what a node wants to be free to spend until the hold is over.
func (p *Allowance) atOnce(k *quota, r Round) int64 {
	wanted := (k.demand.rate(r.Now) + k.clients) * r.Hold.Seconds() * atOnceMargin
	return max(int64(wanted), atOnceCalls*k.demand.typical(), k.shortfall)
}

// How much a node is free to spend of what it holds: what is asked for until the
// hold ends, with a margin for demand that rises, and some calls at least.
const (
	atOnceMargin = 1.15
	atOnceCalls  = 4
)

// reserveOf is the reserve of a row that is to say so much as drawn.
func (p *Allowance) reserveOf(k *quota, drawn int64, h Hold, r Round) int64 {
	if h.Boot == "" {
		return 0
	}
	return max(drawn-k.busy()-p.atOnce(k, r), 0)
}

// lowPart is the part of what a node wants to be free to spend below which a
// write that frees more is worth it.
const lowPart = 0.5

// holdMatters is whether the reserve is worth a write: before it begins, so that
// it stays out of what an end of this life would cost, and where little else is
// left to spend.
func (p *Allowance) holdMatters(k *quota, before, after Row, r Round) bool {
	if after.Reserve == 0 && before.Reserve == 0 || after.Hold.Boot == "" {
		return false
	}
	ends := k.heldUntil.Sub(r.Now) < r.Hold/2
	low := float64(k.bound-k.busy()) < lowPart*float64(p.atOnce(k, r)) && before.Reserve > 0
	return ends || low || k.shortfall > 0 && before.Reserve > 0
}

// promise bounds what is spent by what a proposal says: the write may take effect.
func (p *Allowance) promise(k *quota, row Row) {
	if row.Hold.Boot == "" {
		k.bound = min(k.bound, row.Drawn)
		return
	}
	k.bound = min(p.spendable(k), row.Drawn-row.Reserve)
	if until := p.holdEnds(row.Hold); until.After(k.heldUntil) {
		k.heldUntil = until
	}
}

// holdEnds is when a hold is over as this process counts it: never before the
// VM's clock says so, hence the order of the two readings.
func (p *Allowance) holdEnds(h Hold) time.Time {
	left := h.Until - p.vm.Steady()
	return p.now().Add(left)
}

// saw takes in what the store says of this life's row.
func (p *Allowance) saw(k *quota, row Row) {
	k.limit = row.Drawn
	k.bound = row.Drawn - row.Reserve
	if row.Hold.Boot == "" {
		k.heldUntil = time.Time{}
		return
	}
	k.heldUntil = p.holdEnds(row.Hold)
}

// returned is what the end of a life shows as never spent of its row.
func (p *Allowance) returned(row Row) int64 {
	if row.Node != p.node || !row.Hold.kept(p.vm.Boot, p.began) {
		return 0
	}
	return row.Reserve
}
