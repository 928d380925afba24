package account

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// allowanceAtRate returns an allowance after 10 s of steady demand in tokens a second.
func allowanceAtRate(perSecond, prepaid int64, now time.Time) *Allowance {
	p := NewAllowance("n", "n/1", DefaultTuning())
	p.Budget(map[string]int64{modelTenant: prepaid})
	p.Apply(Ledger{}, 1)
	for i := range 40 {
		p.Reserve(modelTenant, perSecond/4, now.Add(time.Duration(i-40)*250*time.Millisecond))
	}
	return p
}

func drawn(p *Allowance, now time.Time) int64 {
	next, _ := p.Propose(Ledger{}, Round{Nodes: 1, Now: now, Draws: true})
	row, _ := next.Account(modelTenant).Row("n/1")
	return row.Drawn
}

// Guards against holdings that would run out in a second outage of the store. An outage observed
// here or by a peer is expected for some minutes, within a bound.
func TestHoldingsLastThroughExpectedOutage(t *testing.T) {
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
		{"none observed", func(*Allowance) {}, 0, horizon, horizon + 400},
		{"one of 16 s", func(p *Allowance) { p.RecordOutage(16*time.Second, now) }, 0, 20_000, 20_400},
		{"a peer's", func(p *Allowance) { p.Expect(Outage{Ms: 16_000, LeftMs: 60_000}, now) }, 0, 20_000, 20_400},
		{"a peer's, expired", func(p *Allowance) { p.Expect(Outage{Ms: 16_000, LeftMs: 0}, now) }, 0, horizon, horizon + 400},
		{"a short one after a long one", func(p *Allowance) { p.RecordOutage(16*time.Second, now); p.RecordOutage(time.Second, now) }, 0, 20_000, 20_400},
		{"one of an hour", func(p *Allowance) { p.RecordOutage(time.Hour, now) }, 0, 20_000, 20_400},
		{"long ago", func(p *Allowance) { p.RecordOutage(16*time.Second, now.Add(-outagePeriod)) }, 0, horizon, horizon + 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := allowanceAtRate(rate, prepaid, now)
			c.learn(p)
			got := drawn(p, now)
			assert.GreaterOrEqual(t, got, c.least)
			assert.LessOrEqual(t, got, c.most)
		})
	}
}

func TestOutageIsSentWithItsRemainingTime(t *testing.T) {
	p := NewAllowance("n", "n/1", DefaultTuning())
	assert.Nil(t, p.Expected(testStart))
	p.RecordOutage(8*time.Second, testStart)
	sent := p.Expected(testStart.Add(time.Minute))
	assert.Equal(t, &Outage{Ms: 8000, LeftMs: (outagePeriod - time.Minute).Milliseconds()}, sent)
	peer := NewAllowance("m", "m/1", DefaultTuning())
	peer.Expect(*sent, testStart.Add(time.Minute))
	assert.Nil(t, peer.Expected(testStart.Add(outagePeriod)), "it expires although nodes send it to each other")
}

// Guards against losing most of a nearly spent budget with the nodes that hold it. Near the end an
// outage costs nothing that can't be spent afterwards. A horizon of demand is left after any loss.
func TestLittleIsHeldOfANearlySpentBudget(t *testing.T) {
	tuning := DefaultTuning()
	reserve := tuning.Reserve * tuning.Horizon.Seconds() // seconds of demand
	cases := []struct {
		lasts float64 // seconds of demand
		want  float64 // of these
	}{
		{100 * reserve, tuning.Exposure * 99 * reserve}, {3 * reserve, tuning.Exposure * 2 * reserve}, {2 * reserve, tuning.Exposure * reserve},
		{reserve, tuning.MinShare * reserve}, {reserve / 2, tuning.MinShare * reserve / 2},
	}
	for _, c := range cases {
		const rate = 1000
		got := tuning.maxHeld(c.lasts*rate, rate)
		assert.InDelta(t, c.want*rate, got, 1e-6, c)
		assert.GreaterOrEqual(t, c.lasts*rate-got, 0.9*min(c.lasts, reserve)*rate, "remainder after a loss of all nodes")
	}
}

// Guards against holdings that lag behind rising demand of the nodes for which this node draws.
func TestHoldingsFollowRisingDemand(t *testing.T) {
	cases := []struct {
		name  string
		fleet Fleet
		want  int64
	}{
		{"steady", Fleet{Others: 1000, Dependents: 1000, Fast: 1000}, 10_000},
		{"rising", Fleet{Others: 1000, Dependents: 1000, Fast: 1800}, 18_000},
		{"falling", Fleet{Others: 1000, Dependents: 1000, Fast: 100}, 10_000},
	}
	for _, c := range cases {
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 1_000_000})
		p.Apply(Ledger{}, 1)
		p.SetFleets(map[string]Fleet{modelTenant: c.fleet}, testStart)
		assert.InDelta(t, c.want, drawn(p, testStart), 10, c.name)
	}
}

// Guards against a late refill of a holding that has fallen far below its target.
func TestLowHoldingIsDetected(t *testing.T) {
	p := allowanceAtRate(1000, 30_000, testStart)
	assert.True(t, p.Low(1, testStart))
	p.Apply(Ledger{Accounts: []Account{{Tenant: modelTenant, Rows: []Row{{Node: "n", Incarnation: "n/1", Drawn: 7500}}}}}, 2)
	assert.False(t, p.Low(1, testStart))
	idle := NewAllowance("n", "n/1", DefaultTuning())
	idle.Budget(map[string]int64{modelTenant: 30_000})
	idle.Apply(Ledger{}, 1)
	assert.False(t, idle.Low(1, testStart), "no demand")
}

// Guards against counting the time without requests to the store as an outage: a node that begins
// to write while the store is unavailable counts from then.
func TestIdleNodeReportsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &oneObject{}
		p := NewAllowance("n", "n/1", DefaultTuning())
		p.Budget(map[string]int64{modelTenant: 1000})
		writes := false
		syncer := NewSyncer(s, p, func() int { return 1 }, func() bool { return writes }, store.NewHealth(), quiet())
		second := func() {
			syncer.round(t.Context(), time.Now(), 0)
			time.Sleep(time.Second)
		}
		for range 60 { // a minute without draws
			second()
		}
		writes, s.refuses = true, true
		for range 10 {
			p.Reserve(modelTenant, 900, time.Now())
			second()
		}
		s.refuses = false
		second()
		outage := p.Expected(time.Now())
		require.NotNil(t, outage)
		length := time.Duration(outage.Ms) * time.Millisecond
		assert.GreaterOrEqual(t, length, 9*time.Second)
		assert.LessOrEqual(t, length, 12*time.Second)
	})
}
