package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// asked returns an allowance that was asked for so many tokens a second, for long.
func asked(perSecond int64) (*Allowance, time.Time) {
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 1_000_000})
	now := testStart
	for range 40 {
		p.Reserve(modelTenant, perSecond/2, now)
		now = now.Add(demandBucket)
	}
	return p, now
}

func TestWhoDrawsNoLongerGivesBack(t *testing.T) {
	p, now := asked(1000)
	ledger, worth := p.Propose(Ledger{}, Round{Nodes: 8, Now: now})
	assert.False(t, worth, "a node that does not draw has no row")
	assert.Zero(t, ledger.Account(modelTenant).Drawn())
	ledger, _ = p.Propose(ledger, Round{Nodes: 8, Now: now, All: true})
	p.Saw(ledger, 1)
	p.Answered()
	assert.True(t, p.HoldsRow())
	ledger, worth = p.Propose(ledger, Round{Nodes: 8, Now: now})
	assert.True(t, worth)
	p.Saw(ledger, 2)
	assert.Zero(t, ledger.Account(modelTenant).Drawn())
	assert.False(t, p.HoldsRow())
}

func TestAPoolThatRunsLowIsSharedByDemand(t *testing.T) {
	cases := []struct {
		name string
		own  float64
		part float64
	}{
		{"most of it", 900, 0.9}, {"little of it: as the nodes count", 10, 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, now := asked(int64(c.own))
			p.Fleets(map[string]Fleet{modelTenant: {All: 1000}}, now)
			got := p.tuning.share(p.quotas[modelTenant], 10_000, 4, 1_000_000, now)
			assert.InDelta(t, c.part*10_000, float64(got), 100)
		})
	}
}

// What a node has granted to others that do not report counts as gone where it is
// weighed how much of the rest may be held, and not where 402 is decided.
func TestWhatWasGrantedIsNotHeldAgainst(t *testing.T) {
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 10_000})
	b := Ledger{Accounts: []Account{{Tenant: modelTenant, Rows: []Row{{Node: "n", Life: "n/1", Drawn: 9000, Spent: 1000, Granted: 6000}}}}}
	p.Saw(b, 1)
	assert.Equal(t, int64(9000), p.State(modelTenant).Left)
	assert.Equal(t, int64(3000), p.quotas[modelTenant].estimate)
	closed := b.Account(modelTenant).WithClosed(func(Row) bool { return true })
	assert.Equal(t, int64(6000), closed.ClosedGranted)
}

// What lives that ended had drawn and not spent is lost: it is not counted as left, or
// as much more would be held again, and lost with the next ones.
func TestWhatWasLostIsNotHeldAgainst(t *testing.T) {
	live := Row{Node: "n", Life: "n/1", Drawn: 3000, Spent: 500, Granted: 1500}
	cases := []struct {
		name    string
		account Account
		want    int64
	}{
		{"nothing drawn", Account{}, 10000},
		{"a life that goes on", Account{Rows: []Row{live}}, 8000},
		{"one that ended and lost what it had not spent", Account{ClosedDrawn: 4000, ClosedSpent: 1000}, 6000},
		{"one that ended and had handed it on", Account{ClosedDrawn: 4000, ClosedSpent: 1000, ClosedGranted: 3000}, 6000},
		{"both", Account{ClosedDrawn: 4000, ClosedSpent: 1000, Rows: []Row{live}}, 4000},
		{"more drawn than a budget that was lowered", Account{ClosedDrawn: 12000, ClosedSpent: 2000}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.account.Tenant = modelTenant
			p := NewAllowance("n", "n/1", DefaultTuning())
			p.Budget(map[string]int64{modelTenant: 10000})
			p.Saw(Ledger{Accounts: []Account{c.account}}, 1)
			assert.Equal(t, c.want, p.quotas[modelTenant].estimate)
		})
	}
}

// A node that starts near the end of a budget, after a loss of all nodes, draws a part of
// what is left, not of the whole: a next loss would take most of the rest.
func TestAStartNearTheEndDrawsAPartOfWhatIsLeft(t *testing.T) {
	cases := []struct {
		name   string
		closed int64 // drawn by lives that ended
		want   int64
	}{
		{"a first start", 0, 2000},
		{"near the end", 9000, 200},
		{"nothing is left", 10000, 0},
	}
	for _, c := range cases {
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 10000})
		p.Saw(Ledger{Accounts: []Account{{Tenant: modelTenant, ClosedDrawn: c.closed, ClosedSpent: c.closed / 2}}}, 1)
		assert.Equal(t, c.want, p.tuning.target(p.quotas[modelTenant], 1, 0, time.Unix(1000, 0)), c.name)
	}
}
