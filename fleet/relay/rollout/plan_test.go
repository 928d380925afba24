package rollout

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func planOf(s Status) Plan {
	s.Target, s.Made = "v2", 10
	return NewPlan(Rollout{Order: order("v2", 10), Status: s, Revision: 20, LearnedAt: epoch})
}

// targetShare returns the share of calls that go to the target.
func targetShare(p Plan, c Call) float64 {
	const calls = 20_000
	target := 0
	for i := range uint64(calls) {
		c.Hash = mix(i) // ids' hashes
		if p.Side(c) == New {
			target++
		}
	}
	return float64(target) / calls
}

func TestShareOfCallsToTheTarget(t *testing.T) {
	parts := []RouteShare{{"small", 0.2}, {"large", 0.05}, {"once", 0.02}}
	moving := Status{State: InProgress, Stage: Moving, Left: 8*time.Second + maxLearnDelay, FullLoad: time.Second, Share: 0.08}
	for _, c := range []struct {
		name string
		plan Plan
		call Call
		want float64
	}{
		{"nothing is written", NewPlan(Rollout{Order: order("v2", 10)}), Call{}, 0},
		{"sampling", planOf(Status{State: InProgress, Share: 0.08}), Call{}, 0.08},
		{"sampling, must run once", planOf(Status{State: InProgress, Share: 0.08}), Call{Once: true}, 0},
		{"sampling, retry", planOf(Status{State: InProgress, Share: 0.08}), Call{Attempt: 1}, 0},
		{"sampling, small route", planOf(Status{State: InProgress, Share: 0.08, RouteShares: parts}), Call{Route: "small"}, 0.2},
		{"sampling, large route", planOf(Status{State: InProgress, Share: 0.08, RouteShares: parts}), Call{Route: "large"}, 0.05},
		{"sampling, must run once, parts", planOf(Status{State: InProgress, Share: 0.08, RouteShares: parts}), Call{Route: "once", Once: true}, 0.02},
		{"sampling, later route", planOf(Status{State: InProgress, Share: 0.08, RouteShares: parts}), Call{Route: "new"}, 0.08},
		{"found bad", planOf(Status{State: InProgress, Share: 0.08}).WithBad(), Call{}, 0},
		{"moving, found bad", planOf(moving).WithBad(), Call{MaxDuration: time.Minute}, 0},
		{"moving, ends in time", planOf(moving), Call{MaxDuration: time.Second}, 0.08},
		{"moving, ends too late", planOf(moving), Call{MaxDuration: 9 * time.Second}, 1},
		{"moving, in the ramp", planOf(moving), Call{MaxDuration: time.Second / 2, Now: epoch.Add(7*time.Second - rampTime/2)}, 0.08 + 0.86/8},
		{"moving, retry in time", planOf(moving), Call{MaxDuration: time.Second, Attempt: 1, Now: epoch.Add(6800 * time.Millisecond)}, 0},
		{"moving, retry too late", planOf(moving), Call{MaxDuration: 2 * time.Second, Attempt: 1, Now: epoch.Add(6500 * time.Millisecond)}, 1},
		{"moving, full load", planOf(moving), Call{MaxDuration: 10 * time.Millisecond, Now: epoch.Add(7100 * time.Millisecond)}, rampEndShare},
		{"moving, full load, retry", planOf(moving), Call{MaxDuration: 10 * time.Millisecond, Attempt: 1, Now: epoch.Add(7100 * time.Millisecond)}, rampEndShare},
		{"completed", planOf(Status{State: Completed}), Call{}, 1},
		{"completed, found bad later", planOf(Status{State: Completed}).WithBad(), Call{}, 1},
		{"reverted", planOf(Status{State: Reverted}), Call{}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.call.Now.IsZero() {
				c.call.Now = epoch
			}
			assert.InDelta(t, c.want, targetShare(c.plan, c.call), 0.01)
		})
	}
}

func TestPlanWithoutOrderSelectsAny(t *testing.T) {
	var p Plan
	assert.Equal(t, Any, p.Side(Call{Now: epoch}))
}

func TestFoundMoveSendsNoCallToOldEndpoints(t *testing.T) {
	r := Rollout{Order: order("v2", 10), LearnedAt: epoch, AgeUnknown: true,
		Status: Status{State: InProgress, Stage: Moving, Left: time.Minute, Target: "v2", Made: 10}}
	p := NewPlan(r)
	assert.Equal(t, New, p.Side(Call{Now: epoch, MaxDuration: time.Millisecond}))
}

func TestCallIsSampledAlikeAtEveryNode(t *testing.T) {
	a, b := planOf(Status{State: InProgress, Share: 0.5}), planOf(Status{State: InProgress, Share: 0.5})
	for i := range uint64(1000) {
		c := Call{Hash: xxhash.Sum64([]byte{byte(i), byte(i >> 8)}), Now: epoch}
		assert.Equal(t, a.Side(c), b.Side(c))
	}
}
