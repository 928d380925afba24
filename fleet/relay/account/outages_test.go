package account

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// askedFor returns an allowance of which so many tokens a second are asked for.
func askedFor(perSecond, prepaid int64, now time.Time) *Allowance {
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: prepaid})
	p.Saw(Ledger{}, 1)
	for i := range 40 {
		p.Reserve(modelTenant, perSecond/4, now.Add(time.Duration(i-40)*250*time.Millisecond))
	}
	return p
}

func drawn(p *Allowance, now time.Time) int64 {
	next, _ := p.Propose(Ledger{}, Round{Nodes: 1, Now: now, All: true})
	row, _ := next.Account(modelTenant).Row("n/1")
	return row.Drawn
}

// An outage that was seen is expected again: holdings last through it, by this node's
// own experience or by a peer's, within a bound, and for some minutes.
func TestHoldingsLastThroughAnOutageThatWasSeen(t *testing.T) {
	now := testStart
	const rate, prepaid = 1000, 60_000
	horizon := int64(rate * DefaultTuning().Horizon.Seconds())
	cases := []struct {
		name  string
		learn func(p *Allowance)
		after time.Duration
		least int64
		most  int64
	}{
		{"none seen", func(*Allowance) {}, 0, horizon, horizon + 400},
		{"one of 16 s", func(p *Allowance) { p.StoreBack(16*time.Second, now) }, 0, 20_000, 20_400},
		{"a peer's", func(p *Allowance) { p.Expect(Outage{Ms: 16_000, LeftMs: 60_000}, now) }, 0, 20_000, 20_400},
		{"a peer's, forgotten by now", func(p *Allowance) { p.Expect(Outage{Ms: 16_000, LeftMs: 0}, now) }, 0, horizon, horizon + 400},
		{"a short one after a long one", func(p *Allowance) { p.StoreBack(16*time.Second, now); p.StoreBack(time.Second, now) }, 0, 20_000, 20_400},
		{"one of an hour", func(p *Allowance) { p.StoreBack(time.Hour, now) }, 0, 20_000, 20_400},
		{"long ago", func(p *Allowance) { p.StoreBack(16*time.Second, now.Add(-outageMemory)) }, 0, horizon, horizon + 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := askedFor(rate, prepaid, now)
			c.learn(p)
			got := drawn(p, now)
			assert.GreaterOrEqual(t, got, c.least)
			assert.LessOrEqual(t, got, c.most)
		})
	}
}

func TestAnOutageIsToldWithTheTimeItIsExpectedFor(t *testing.T) {
	p := NewAllowance("n", "n/1", DefaultTuning())
	assert.Nil(t, p.Expected(testStart))
	p.StoreBack(8*time.Second, testStart)
	told := p.Expected(testStart.Add(time.Minute))
	assert.Equal(t, &Outage{Ms: 8000, LeftMs: (outageMemory - time.Minute).Milliseconds()}, told)
	peer := NewAllowance("m", "m/1", DefaultTuning())
	peer.Expect(*told, testStart.Add(time.Minute))
	assert.Nil(t, peer.Expected(testStart.Add(outageMemory)), "nodes that tell each other forget it nevertheless")
}

// Of a budget near its end little is held: an outage costs nothing then that can't be
// spent afterwards, and a loss of nodes costs all they held. A horizon of demand is
// left after any loss.
func TestLessIsHeldOfABudgetThatIsNearItsEnd(t *testing.T) {
	tuning := DefaultTuning()
	reserve := tuning.Reserve * tuning.Horizon.Seconds() // seconds of demand
	cases := []struct {
		lasts float64 // seconds of demand
		want  float64 // of these
	}{
		{100 * reserve, tuning.Exposure * 99 * reserve}, {3 * reserve, tuning.Exposure * 2 * reserve}, {2 * reserve, tuning.Exposure * reserve},
		{reserve, tuning.Least * reserve}, {reserve / 2, tuning.Least * reserve / 2},
	}
	for _, c := range cases {
		const rate = 1000
		got := tuning.exposed(c.lasts*rate, rate)
		assert.InDelta(t, c.want*rate, got, 1e-6, c)
		assert.GreaterOrEqual(t, c.lasts*rate-got, 0.9*min(c.lasts, reserve)*rate, "what a loss of all nodes leaves")
	}
}

// Demand that rises fast shows at once, this node's own and that of those it draws for.
func TestHoldingsFollowDemandThatRises(t *testing.T) {
	cases := []struct {
		name  string
		fleet Fleet
		want  int64
	}{
		{"steady", Fleet{Others: 1000, Clients: 1000, Fast: 1000}, 10_000},
		{"rising", Fleet{Others: 1000, Clients: 1000, Fast: 1800}, 18_000},
		{"falling", Fleet{Others: 1000, Clients: 1000, Fast: 100}, 10_000},
	}
	for _, c := range cases {
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 1_000_000})
		p.Saw(Ledger{}, 1)
		p.Fleets(map[string]Fleet{modelTenant: c.fleet}, testStart)
		assert.InDelta(t, c.want, drawn(p, testStart), 10, c.name)
	}
}

// A holding that has fallen far below its target is refilled soon.
func TestALowHoldingIsToldFromAFullOne(t *testing.T) {
	p := askedFor(1000, 30_000, testStart)
	assert.True(t, p.Low(1, testStart))
	p.Saw(Ledger{Accounts: []Account{{Tenant: modelTenant, Rows: []Row{{Node: "n", Life: "n/1", Drawn: 7500}}}}}, 2)
	assert.False(t, p.Low(1, testStart))
	idle := NewAllowance("n", "n/1", DefaultTuning())
	idle.Budget(map[string]int64{modelTenant: 30_000})
	idle.Saw(Ledger{}, 1)
	assert.False(t, idle.Low(1, testStart), "nobody asks")
}

// A node that asked nothing of the store can't tell how long it was away: one that
// begins to write while the store is lost counts from then.
func TestANodeThatAskedNothingTellsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oneObject{}
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 1000})
		writes := false
		k := NewSyncer(s, p, func() int { return 1 }, func() bool { return writes }, store.NewHealth(), quiet())
		second := func() {
			k.round(t.Context(), time.Now(), 0)
			time.Sleep(time.Second)
		}
		for range 60 { // a minute in which it draws for nobody
			second()
		}
		writes, s.refuses = true, true
		for range 10 {
			p.Reserve(modelTenant, 900, time.Now())
			second()
		}
		s.refuses = false
		second()
		told := p.Expected(time.Now())
		require.NotNil(t, told)
		length := time.Duration(told.Ms) * time.Millisecond
		assert.GreaterOrEqual(t, length, 9*time.Second)
		assert.LessOrEqual(t, length, 12*time.Second)
	})
}
