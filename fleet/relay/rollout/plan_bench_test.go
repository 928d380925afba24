package rollout

import (
	"testing"
	"time"
)

// BenchmarkSide measures the choice of endpoints for a call, with 1,000 endpoints of two versions.
func BenchmarkSide(b *testing.B) {
	engines := append(endpoints("v1", 500, 5), endpoints("v2", 500, 12)...)
	parts := []RouteShare{{"a", 0.1}, {"b", 0.05}, {"c", 0.02}}
	for _, c := range []struct {
		name   string
		status Status
	}{
		{"sampling", Status{State: InProgress, Share: 0.08, RouteShares: parts}},
		{"pulses", Status{State: InProgress, Share: 0.08, PulseShare: 0.3, RouteShares: parts}},
		{"moving", Status{State: InProgress, Stage: Moving, Share: 0.08, Left: 2 * time.Second, FullLoad: time.Second, RouteShares: parts}},
		{"completed", Status{State: Completed}},
	} {
		b.Run(c.name, func(b *testing.B) {
			c.status.Target, c.status.Made = "v2", 10
			r := Rollout{Order: order("v2", 10), Status: c.status, Revision: 20, LearnedAt: epoch}
			l := Split(engines, Set{}.At(30).With("a", r), "svc")
			p := NewPlan(r)
			b.ReportAllocs()
			n := 0
			for i := 0; b.Loop(); i++ {
				n += len(l.For(&p, Call{Hash: uint64(i), Route: "c", MaxDuration: 100 * time.Millisecond, Now: epoch.Add(500 * time.Millisecond)}))
			}
		})
	}
}

func TestDecisionDoesNotAllocate(t *testing.T) {
	p := planOf(Status{State: InProgress, Share: 0.08, RouteShares: []RouteShare{{"a", 0.1}}})
	l := Split(endpoints("v2", 9, 5), Set{}.At(30).With("a", p.rollout), "svc")
	allocations := testing.AllocsPerRun(1000, func() { l.For(&p, Call{Hash: 7, Route: "a", Now: epoch}) })
	if allocations > 0 {
		t.Errorf("%f allocations a call", allocations)
	}
}
