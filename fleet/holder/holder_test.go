package holder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const budget = ident.Budget("b")

func keyed(zone ident.Zone, unique string) holder.Record {
	return holder.Record{Request: ident.NewRequest(zone, 0, unique), Customer: "c", Key: holder.NewKeyID("c", "k"), BodyHash: "h", At: start}
}

// funded returns a holder with the given tokens of the budget.
func funded(tokens int64) holder.State {
	s := holder.New("n@1", "a")
	s, _ = s.Handle(holder.Opened{At: start, Budgets: []holder.BudgetLine{{Name: budget, Limit: tokens, Version: 1}}})
	s, _ = s.Handle(holder.Synced{At: start, Slot: ledger.Slot{Budgets: []ledger.Budget{{
		Name: budget, Limit: tokens, Version: 1, Accounts: []ledger.Account{{Holder: "n@1", Zone: "a", Drawn: tokens}},
	}}}})
	return s
}

func admit(s holder.State, unique string, bound int64) (holder.State, holder.Effect) {
	r := holder.Record{Request: ident.NewRequest("a", 0, unique), Customer: "c", Bound: bound, At: start}
	return s.Handle(holder.Admit{At: start, Record: r, Budgets: []holder.BudgetLine{{Name: budget, Limit: 1000, Version: 1}}})
}

func TestWorstCaseIsReservedAndTheCostSettledOnce(t *testing.T) {
	s, effect := admit(funded(1000), "1", 600)
	admitted, ok := effect.(holder.Admitted)
	require.True(t, ok)
	assert.Equal(t, int64(400), s.Spendable(budget))
	_, effect = admit(s, "2", 500)
	assert.Equal(t, holder.Short{Budget: budget, Need: 100}, effect)

	settle := holder.Settle{At: start, Request: admitted.Record.Request, Usage: holder.Usage{Prompt: 10, Output: 90}}
	s, _ = s.Handle(settle)
	assert.Equal(t, int64(900), s.Spendable(budget))
	settle.Usage.Output = 500
	s, effect = s.Handle(settle)
	assert.Equal(t, int64(100), effect.(holder.Ended).Record.Usage.Tokens(), "the first settlement stands")
	assert.Equal(t, int64(900), s.Spendable(budget))
}

func TestSettlementIsBoundedByTheReservation(t *testing.T) {
	cases := []struct {
		name  string
		usage holder.Usage
		want  int64
	}{
		{"within", holder.Usage{Prompt: 10, Output: 20}, 30},
		{"output above the bound", holder.Usage{Prompt: 10, Output: 10_000}, 100},
		{"prompt above the bound", holder.Usage{Prompt: 10_000, Output: 1}, 100},
		{"negative counts", holder.Usage{Prompt: -5, Output: -5}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, effect := admit(funded(1000), "1", 100)
			_, ended := s.Handle(holder.Settle{At: start, Request: effect.(holder.Admitted).Record.Request, Usage: c.usage})
			assert.Equal(t, c.want, ended.(holder.Ended).Record.Usage.Tokens())
		})
	}
}

func TestReleaseReturnsTheWholeReservation(t *testing.T) {
	s, effect := admit(funded(1000), "1", 600)
	s, _ = s.Handle(holder.Release{Request: effect.(holder.Admitted).Record.Request})
	assert.Equal(t, int64(1000), s.Spendable(budget))
}

func TestSurrenderKeepsReservedTokens(t *testing.T) {
	s, _ := admit(funded(1000), "1", 600)
	_, effect := s.Handle(holder.Surrender{Budget: budget, Need: 900})
	assert.Equal(t, holder.Surrendered{Tokens: 400}, effect)
}

// claim lets another holder claim the key of a record.
func claim(s holder.State, r holder.Record) (holder.State, holder.Effect) {
	return s.Handle(holder.Claim{Record: r, At: start})
}

func TestOneOfTwoConcurrentClaimsWins(t *testing.T) {
	cases := []struct {
		name         string
		startedFirst bool // zone b starts the request before zone a claims the key
		wantWinner   ident.Zone
	}{
		{"both pending: the lower zone", false, "a"},
		{"one has started", true, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := holder.New("n@1", "a"), holder.New("m@1", "b")
			ra, rb := keyed("a", "1"), keyed("b", "2")
			a, _ = a.Handle(holder.Admit{At: start, Record: ra})
			b, _ = b.Handle(holder.Admit{At: start, Record: rb})
			if c.startedFirst {
				b, _ = b.Handle(holder.Admit{At: start, Record: rb, Claimed: true})
			}
			b, toA := claim(b, ra)
			a, toB := claim(a, rb)
			started := map[ident.Zone]bool{"b": c.startedFirst}
			if _, lost := toA.(holder.Existing); !lost {
				_, effect := a.Handle(holder.Admit{At: start, Record: ra, Claimed: true})
				_, started["a"] = effect.(holder.Admitted)
			}
			if _, lost := toB.(holder.Existing); !lost && !c.startedFirst {
				_, effect := b.Handle(holder.Admit{At: start, Record: rb, Claimed: true})
				_, started["b"] = effect.(holder.Admitted)
			}
			assert.True(t, started[c.wantWinner])
			assert.NotEqual(t, started["a"], started["b"], "exactly one of them runs")
		})
	}
}

func TestRetryIsRefusedWhileAZoneIsUnreachable(t *testing.T) {
	cases := []struct {
		name       string
		attempt    int
		repeatable bool
		model      bool
		want       problem.Outcome // of the refusal; "" if the call is admitted
	}{
		{"a first attempt runs", 1, false, false, ""},
		{"a retry may have run elsewhere", 2, false, false, problem.Unknown},
		{"an attempt without a number", 0, false, false, problem.Unknown},
		{"a repeatable call runs", 2, true, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := keyed("a", "1")
			r.Repeatable, r.Model = c.repeatable, c.model
			s, effect := holder.New("n@1", "a").Handle(holder.Admit{At: start, Record: r, CallerAttempt: c.attempt})
			require.IsType(t, holder.MustClaim{}, effect)
			s, effect = s.Handle(holder.Admit{At: start, Record: r, CallerAttempt: c.attempt, Claimed: true, Unreachable: []ident.Zone{"b"}})
			if c.want == "" {
				assert.IsType(t, holder.Admitted{}, effect)
				return
			}
			require.IsType(t, holder.Refused{}, effect)
			assert.Equal(t, c.want, effect.(holder.Refused).Problem.Outcome)
			_, retried := s.Handle(holder.Admit{At: start, Record: r, CallerAttempt: 1})
			assert.IsType(t, holder.MustClaim{}, retried, "the key of a refused call is free again")
		})
	}
}

func TestTheSameKeyWithAnotherBodyIsRefused(t *testing.T) {
	s, _ := holder.New("n@1", "a").Handle(holder.Admit{At: start, Record: keyed("a", "1")})
	other := keyed("a", "2")
	other.BodyHash = "other"
	_, effect := s.Handle(holder.Admit{At: start, Record: other})
	require.IsType(t, holder.Refused{}, effect)
	assert.Equal(t, problem.KeyReused, effect.(holder.Refused).Problem.Reason)
}

func TestRefusalByALimitReservesNothing(t *testing.T) {
	s := funded(1000)
	lines := []limit.Line{{Name: "l", MaxInFlight: 1}}
	for i, unique := range []string{"1", "2"} {
		r := holder.Record{Request: ident.NewRequest("a", 0, unique), Bound: 100, Limits: []string{"l"}, At: start}
		var effect holder.Effect
		s, effect = s.Handle(holder.Admit{At: start, Record: r, Budgets: []holder.BudgetLine{{Name: budget, Limit: 1000, Version: 1}}, Limits: lines, Share: holder.Shares{Zone: 1}})
		if i == 1 {
			require.IsType(t, holder.Refused{}, effect)
			assert.Equal(t, problem.LimitReached, effect.(holder.Refused).Problem.Reason)
		}
	}
	assert.Equal(t, int64(900), s.Spendable(budget))
}

func TestLastTokensAreKeptForTheGreatestWeight(t *testing.T) {
	request := func(s holder.State, unique string, weight, bound int64, at time.Time) (holder.State, bool) {
		r := holder.Record{Request: ident.NewRequest("a", 0, unique), Bound: bound, At: at}
		s, effect := s.Handle(holder.Admit{At: at, Record: r, Weight: weight, Budgets: []holder.BudgetLine{{Name: budget, Limit: 1000, Version: 1}}})
		_, ok := effect.(holder.Admitted)
		return s, ok
	}
	s, ok := request(funded(1000), "heavy", 4, 940, start)
	require.True(t, ok)
	s, ok = request(s, "light", 1, 30, start)
	assert.False(t, ok, "60 tokens are left, 37 of them kept for requests with a weight of 4")
	s, ok = request(s, "small", 1, 20, start)
	assert.True(t, ok)
	s, ok = request(s, "heavy again", 4, 30, start)
	assert.True(t, ok)
	_, ok = request(s, "light later", 1, 10, start.Add(2*time.Minute))
	assert.True(t, ok, "nothing is kept after a minute without heavier requests")
}

// A lent share counted by both zones would admit more than the limit. One of two zones has nearly
// all the demand; the test counts what both admit.
func TestLentLimitsAreNeverUsedTwice(t *testing.T) {
	line := limit.Line{Name: "l", RequestsPerSecond: 100}
	busy, idle := holder.New("n@1", "a"), holder.New("m@1", "b")
	const seconds, perSecond, even = 30, 400, 0.5
	admitted, unique := 0, 0
	attempt := func(s holder.State, at time.Time) (holder.State, bool) {
		unique++
		r := holder.Record{Request: ident.NewRequest("a", 0, fmt.Sprint(unique)), Limits: []string{"l"}, At: at}
		s, effect := s.Handle(holder.Admit{At: at, Record: r, Limits: []limit.Line{line}, Share: holder.Shares{Zone: even}})
		_, ok := effect.(holder.Admitted)
		return s, ok
	}
	for tick := range seconds * perSecond {
		at := start.Add(time.Duration(tick) * time.Second / perSecond)
		var ok bool
		if busy, ok = attempt(busy, at); ok {
			admitted++
		}
		if tick%perSecond == 0 {
			var effect holder.Effect
			idle, effect = idle.Handle(holder.Lend{At: at, Line: line, Share: holder.Shares{Zone: even}})
			if share := effect.(holder.Lent).Share; share > 0 {
				busy, _ = busy.Handle(holder.Borrowed{At: at, Line: line, Share: share, Until: at.Add(holder.LoanDuration)})
			}
		}
		if tick > seconds*perSecond/2 && tick%7 == 0 {
			if idle, ok = attempt(idle, at); ok {
				admitted++
			}
		}
	}
	limitTotal := int(line.RequestsPerSecond) * (seconds + 1)
	assert.LessOrEqual(t, admitted, limitTotal, "at most the limit and one second's burst")
	assert.Greater(t, admitted, limitTotal*3/4, "even shares alone would admit half")
}

func TestLeavingSlotAdmitsNothing(t *testing.T) {
	s, effect := admit(funded(1000), "1", 100)
	_, busy := s.Handle(holder.Leave{})
	assert.IsType(t, holder.Missing{}, busy, "not while a reservation is open")
	s, _ = s.Handle(holder.Release{Request: effect.(holder.Admitted).Record.Request})
	s, _ = s.Handle(holder.Leave{})
	_, effect = admit(s, "2", 100)
	require.IsType(t, holder.Refused{}, effect)
	assert.Equal(t, problem.NoHolder, effect.(holder.Refused).Problem.Reason)
}

func TestVoidedBillCostsNothing(t *testing.T) {
	cases := []struct {
		name     string
		durable  bool
		wantBill int64 // tokens of the bill that is still to be written
	}{
		{"not durable: no bill is written", false, 0},
		{"durable: a negative bill reverses it", true, -100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := keyed("a", "1")
			r.Bound, r.Model = 600, true
			request := holder.Admit{At: start, Record: r, Budgets: []holder.BudgetLine{{Name: budget, Limit: 1000, Version: 1}}}
			s, _ := funded(1000).Handle(request)
			request.Claimed, request.Unreachable = true, []ident.Zone{"b"}
			s, _ = s.Handle(request)
			s, _ = s.Handle(holder.Settle{At: start, Request: r.Request, Usage: holder.Usage{Prompt: 10, Output: 90}})
			require.Len(t, s.Unverified(), 1)
			if c.durable {
				s, _ = s.Handle(holder.Durable{Requests: []ident.Request{r.Request}})
			}
			s, _ = s.Handle(holder.Void{Key: r.Key})
			s, repeated := s.Handle(holder.Void{Key: r.Key})
			assert.Equal(t, holder.None{}, repeated, "a bill is voided once")
			assert.Equal(t, int64(1000), s.Spendable(budget))
			assert.Empty(t, s.Unverified())
			var billed int64
			for _, remaining := range s.Records() {
				if remaining.Billable() {
					billed += remaining.Bill().Tokens
				}
			}
			assert.Equal(t, c.wantBill, billed)
			s, _ = s.Handle(holder.Durable{Requests: []ident.Request{r.Request}})
			assert.Zero(t, s.Post(0, nil, holder.Credit{}, 1, start).Lines[0].Settled, "the posted counter falls as well")
		})
	}
}
