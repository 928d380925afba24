package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// allowanceWithDemand returns an allowance after 20 s of steady demand in tokens a second.
func allowanceWithDemand(perSecond int64) (*Allowance, time.Time) {
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 1_000_000})
	now := testStart
	for range 40 {
		p.Reserve(modelTenant, perSecond/2, now)
		now = now.Add(demandBucket)
	}
	return p, now
}

func TestNodeThatNoLongerDrawsGivesBack(t *testing.T) {
	p, now := allowanceWithDemand(1000)
	ledger, worth := p.Propose(Ledger{}, Round{Nodes: 8, Now: now})
	assert.False(t, worth, "a node that does not draw has no row")
	assert.Zero(t, ledger.Account(modelTenant).Drawn())
	ledger, _ = p.Propose(ledger, Round{Nodes: 8, Now: now, Draws: true})
	p.Apply(ledger, 1)
	p.ShortfallProposed()
	assert.True(t, p.HoldsRow())
	ledger, worth = p.Propose(ledger, Round{Nodes: 8, Now: now})
	assert.True(t, worth)
	p.Apply(ledger, 2)
	assert.Zero(t, ledger.Account(modelTenant).Drawn())
	assert.False(t, p.HoldsRow())
}

func TestLowPoolIsSharedByDemand(t *testing.T) {
	cases := []struct {
		name  string
		own   float64
		share float64
	}{
		{"most of the demand", 900, 0.9}, {"little demand: an equal share", 10, 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, now := allowanceWithDemand(int64(c.own))
			p.SetFleets(map[string]Fleet{modelTenant: {All: 1000}}, now)
			got := p.tuning.share(p.quotas[modelTenant], 10_000, 4, 1_000_000, now)
			assert.InDelta(t, c.share*10_000, float64(got), 100)
		})
	}
}

// Tokens granted to nodes that do not report count as spent in the estimate that bounds
// holdings, but not in the remainder that decides on 402.
func TestGrantedTokensReduceOnlyTheEstimate(t *testing.T) {
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: 10_000})
	ledger := Ledger{Accounts: []Account{{Tenant: modelTenant, Rows: []Row{{Node: "n", Incarnation: "n/1", Drawn: 9000, Spent: 1000, Granted: 6000}}}}}
	p.Apply(ledger, 1)
	assert.Equal(t, int64(9000), p.State(modelTenant).Left)
	assert.Equal(t, int64(3000), p.quotas[modelTenant].estimate)
	closed := ledger.Account(modelTenant).WithClosed(func(Row) bool { return true })
	assert.Equal(t, int64(6000), closed.ClosedGranted)
}

// Guards against holding more because tokens lost with ended incarnations count as remaining:
// those holdings would be lost with the next ones.
func TestLostTokensReduceTheEstimate(t *testing.T) {
	live := Row{Node: "n", Incarnation: "n/1", Drawn: 3000, Spent: 500, Granted: 1500}
	cases := []struct {
		name    string
		account Account
		want    int64
	}{
		{"nothing drawn", Account{}, 10000},
		{"a running incarnation", Account{Rows: []Row{live}}, 8000},
		{"an ended one that lost what it had not spent", Account{ClosedDrawn: 4000, ClosedSpent: 1000}, 6000},
		{"an ended one that had granted it", Account{ClosedDrawn: 4000, ClosedSpent: 1000, ClosedGranted: 3000}, 6000},
		{"both", Account{ClosedDrawn: 4000, ClosedSpent: 1000, Rows: []Row{live}}, 4000},
		{"more drawn than the lowered budget", Account{ClosedDrawn: 12000, ClosedSpent: 2000}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.account.Tenant = modelTenant
			p := NewAllowance("n", "n/1", DefaultTuning())
			p.Budget(map[string]int64{modelTenant: 10000})
			p.Apply(Ledger{Accounts: []Account{c.account}}, 1)
			assert.Equal(t, c.want, p.quotas[modelTenant].estimate)
		})
	}
}

// Guards against a node that starts near the end of a budget, after a loss of all nodes, and draws
// a share of the whole budget: the next loss would take most of the remainder.
func TestFirstDrawIsAShareOfTheRemainder(t *testing.T) {
	cases := []struct {
		name   string
		closed int64 // drawn by ended incarnations
		want   int64
	}{
		{"a first start", 0, 2000},
		{"near the end", 9000, 200},
		{"nothing is left", 10000, 0},
	}
	for _, c := range cases {
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 10000})
		p.Apply(Ledger{Accounts: []Account{{Tenant: modelTenant, ClosedDrawn: c.closed, ClosedSpent: c.closed / 2}}}, 1)
		assert.Equal(t, c.want, p.tuning.target(p.quotas[modelTenant], 1, 0, time.Unix(1000, 0)), c.name)
	}
}
