package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// vmAt is a VM whose steady clock stands still.
func vmAt(boot string, at time.Duration) VM {
	return VM{Boot: boot, Steady: func() time.Duration { return at }}
}

// heldRow is the row of a life that promised at 100 s not to begin 600 of its 1000
// tokens before 104 s.
func heldRow() Row {
	return Row{
		Node: "n", Life: "n/1", Drawn: 1000, Spent: 100, Reserve: 600,
		Hold: Hold{Boot: "boot", From: 100 * time.Second, Until: 104 * time.Second},
	}
}

// Only the next life on the same VM, which began within the hold by the same
// clock, gives a reserve back.
func TestTheNextLifeReturnsWhatWasNeverBegun(t *testing.T) {
	cases := []struct {
		name string
		node string
		vm   VM
		want int64 // drawn by lives that have ended
	}{
		{"within the hold", "n", vmAt("boot", 102*time.Second), 400},
		{"as it ends", "n", vmAt("boot", 104*time.Second), 1000},
		{"after it", "n", vmAt("boot", 110*time.Second), 1000},
		{"another boot", "n", vmAt("boot-2", 102*time.Second), 1000},
		{"a clock that began anew", "n", vmAt("boot", 3*time.Second), 1000},
		{"a VM that shows nothing", "n", VM{}, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewAllowance(c.node, "n/2", DefaultTuning()).On(c.vm)
			p.Budget(map[string]int64{modelTenant: 10_000})
			p.Reserve(modelTenant, 10, testStart)
			next, worth := p.Propose(Ledger{Accounts: []Account{{Tenant: modelTenant, Rows: []Row{heldRow()}}}}, Round{Nodes: 1, Now: testStart, All: true, Hold: time.Second})
			assert.True(t, worth)
			assert.Equal(t, c.want, next.Account(modelTenant).ClosedDrawn)
		})
	}
}

// What is held as a reserve can't be reserved before the hold is over, and can
// from then on.
func TestAReserveBeginsAfterItsHold(t *testing.T) {
	at, now := 100*time.Second, testStart
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.now = func() time.Time { return now }
	p.On(VM{Boot: "boot", Steady: func() time.Duration { return at }})
	p.Budget(map[string]int64{modelTenant: 10_000})
	p.Saw(Ledger{Accounts: []Account{{Tenant: modelTenant, Rows: []Row{heldRow()}}}}, 1)
	assert.Equal(t, Insufficient, p.Reserve(modelTenant, 500, now))
	assert.Equal(t, Reserved, p.Reserve(modelTenant, 300, now))
	now = now.Add(3999 * time.Millisecond)
	assert.Equal(t, Insufficient, p.Reserve(modelTenant, 500, now))
	now = now.Add(time.Millisecond)
	assert.Equal(t, Reserved, p.Reserve(modelTenant, 500, now))
}
