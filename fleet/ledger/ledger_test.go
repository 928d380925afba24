package ledger_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/table"
)

const budget = ident.Budget("b")

// propertySeed makes the property test run the same interleavings every time; -rapid.seed runs others.
const propertySeed = "20260101"

func init() {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
}

func post(h ident.Incarnation, line ledger.Line) ledger.Post {
	line.Budget = budget
	return ledger.Post{Holder: h, Zone: "z", Lines: []ledger.Line{line}}
}

func apply(t *testing.T, s ledger.Slot, p ledger.Post) ledger.Slot {
	t.Helper()
	next, err := s.Apply(p)
	require.NoError(t, err)
	return next
}

func TestDesiredEvensOutTimeToExhaustion(t *testing.T) {
	cases := []struct {
		name  string
		limit int64
		rates []float64
		size  int64
		want  []int64
	}{
		{"no demand yet", 900, []float64{0, 0, 0}, 10, []int64{300, 300, 300}},
		{"skewed demand keeps a floor", 1000, []float64{100, 0}, 10, []int64{900, 100}},
		{"the last tokens go to the holder with the highest demand", 100, []float64{30, 20, 10}, 60, []int64{100, 0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := ledger.Budget{Name: budget, Limit: c.limit}
			for i, rate := range c.rates {
				b = b.WithAccount(ledger.Account{Holder: holder(i), Rate: rate, ReservationSize: c.size})
			}
			for i, want := range c.want {
				assert.Equal(t, want, b.Desired(holder(i)))
			}
		})
	}
}

func holder(i int) ident.Incarnation {
	return ident.NewIncarnation(ident.Node(fmt.Sprintf("n%d", i)), "1")
}

func TestLoweredLimitWaitsForHoldings(t *testing.T) {
	s := apply(t, ledger.Slot{}, post("a@1", ledger.Line{Limit: 1000, Version: 1, Need: 800}))
	b, _ := s.Budget(budget)
	s = s.WithBudget(b.WithRow(500, 2))
	b, _ = s.Budget(budget)
	require.NotNil(t, b.Target)
	assert.Equal(t, int64(1000), b.Limit)
	assert.Negative(t, b.Pool(), "nothing is drawn while holdings are recalled")

	s = apply(t, s, post("b@1", ledger.Line{Limit: 1000, Version: 1, Need: 100}))
	b, _ = s.Budget(budget)
	assert.Equal(t, int64(800), b.Committed())

	s = apply(t, s, post("a@1", ledger.Line{Limit: 500, Version: 2, Drawn: 800, Returned: 300, Settled: 200}))
	b, _ = s.Budget(budget)
	assert.Nil(t, b.Target)
	assert.Equal(t, int64(500), b.Limit)
}

func TestClosedHolderIsRefused(t *testing.T) {
	s := apply(t, ledger.Slot{}, post("a@1", ledger.Line{Limit: 1000, Version: 1, Need: 800}))
	s, err := s.Close(ledger.Closure{Holder: "a@1", Settled: map[ident.Budget]int64{budget: 50}})
	require.NoError(t, err)
	_, err = s.Apply(post("a@1", ledger.Line{Limit: 1000, Version: 1, Drawn: 800, Settled: 60}))
	assert.ErrorIs(t, err, ledger.ErrClosed)
	b, _ := s.Budget(budget)
	assert.Equal(t, int64(50), b.Spent())
	assert.Equal(t, int64(950), b.Pool())
}

func TestCloseRefusesMoreThanHeld(t *testing.T) {
	s := apply(t, ledger.Slot{}, post("a@1", ledger.Line{Limit: 100, Version: 1, Need: 100}))
	_, err := s.Close(ledger.Closure{Holder: "a@1", Open: map[ident.Budget]int64{budget: 101}})
	assert.Error(t, err)
}

func TestCloseFreezesOpenReservations(t *testing.T) {
	s := apply(t, ledger.Slot{}, post("a@1", ledger.Line{Limit: 1000, Version: 1, Need: 800}))
	s, err := s.Close(ledger.Closure{Holder: "a@1", Settled: map[ident.Budget]int64{budget: 50}, Open: map[ident.Budget]int64{budget: 30}})
	require.NoError(t, err)
	b, _ := s.Budget(budget)
	assert.Equal(t, int64(80), b.Committed(), "only the open reservation stays committed")
	_, err = s.Apply(post("a@1", ledger.Line{Limit: 1000, Version: 1, Drawn: 800, Settled: 60}))
	assert.ErrorIs(t, err, ledger.ErrClosed, "a frozen account accepts no updates")

	s, err = s.Close(ledger.Closure{Holder: "a@1", Settled: map[ident.Budget]int64{budget: 70}})
	require.NoError(t, err)
	b, _ = s.Budget(budget)
	assert.Equal(t, int64(70), b.Spent())
	assert.Empty(t, b.Accounts)
}

// modelHolder is a holder in the property test. It spends only tokens that it has read as drawn.
type modelHolder struct {
	id       ident.Incarnation
	drawn    int64 // as last read
	returned int64
	settled  int64
	reserved int64
	dead     bool
}

func (m *modelHolder) spendable() int64 { return m.drawn - m.returned - m.settled - m.reserved }

// A lost answer, or a holder that resumes after its account was closed, could count the same tokens
// twice. The test interleaves these at random with draws, returns, settlements and changes of the limit.
func TestNoInterleavingOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot := ledger.Slot{}
		limit, version := int64(1000), table.Version(1)
		var spent, closedSpent int64
		holders := []*modelHolder{{id: "a@1"}, {id: "b@1"}, {id: "c@1"}}
		incarnations := 1
		send := func(h *modelHolder, line ledger.Line, lost bool) {
			line.Limit, line.Version, line.Drawn = limit, version, h.drawn
			line.Returned, line.Settled, line.Reserved, line.DrawShare = h.returned, h.settled, h.reserved, true
			next, err := slot.Apply(post(h.id, line))
			if err != nil {
				require.ErrorIs(t, err, ledger.ErrClosed)
				require.True(t, h.dead)
				return
			}
			slot = next
			if !lost {
				b, _ := slot.Budget(budget)
				a, _ := b.Account(h.id)
				h.drawn = a.Drawn
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"sync": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				send(h, ledger.Line{Need: int64(rapid.IntRange(0, 300).Draw(t, "need"))}, rapid.Bool().Draw(t, "lost"))
			},
			"reserve": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				if n := int64(rapid.IntRange(1, 200).Draw(t, "bound")); !h.dead && n <= h.spendable() {
					h.reserved += n
				}
			},
			"settle": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				if h.dead || h.reserved == 0 {
					return
				}
				bound := rapid.Int64Range(1, h.reserved).Draw(t, "bound")
				cost := rapid.Int64Range(0, bound).Draw(t, "cost")
				h.reserved -= bound
				h.settled += cost
				spent += cost
			},
			"return": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				if !h.dead && h.spendable() > 0 {
					h.returned += rapid.Int64Range(1, h.spendable()).Draw(t, "back")
				}
			},
			"die and close": func(t *rapid.T) {
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "victim")
				victim := holders[i]
				victim.dead = true
				closing := func(open int64) {
					next, err := slot.Close(ledger.Closure{
						Holder:  victim.id,
						Settled: map[ident.Budget]int64{budget: victim.settled},
						Open:    map[ident.Budget]int64{budget: open},
					})
					require.NoError(t, err)
					slot = next
				}
				closing(victim.reserved)
				cost := rapid.Int64Range(0, victim.reserved).Draw(t, "late cost")
				victim.settled += cost
				spent += cost
				closing(0)
				closedSpent += victim.settled
				incarnations++
				holders[i] = &modelHolder{id: ident.NewIncarnation(victim.id.Node(), fmt.Sprint(incarnations))}
				send(victim, ledger.Line{Need: 50}, false) // it resumes and must be refused, unless it had drawn nothing
			},
			"edit": func(t *rapid.T) {
				limit = max(spent, rapid.Int64Range(200, 2000).Draw(t, "limit"))
				version++
			},
			"": func(t *rapid.T) {
				b, ok := slot.Budget(budget)
				if !ok {
					return
				}
				require.LessOrEqual(t, b.Committed(), b.Limit)
				var usable int64
				for _, h := range holders {
					usable += h.settled + h.reserved + max(0, h.spendable())
				}
				require.LessOrEqual(t, closedSpent+usable, b.Limit, "the tokens that can be spent never exceed the limit")
			},
		})
	})
}
