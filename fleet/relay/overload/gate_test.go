package overload

import (
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// offer passes calls of each customer to the gate and returns the share that was kept.
func offer(g *Gate, round int, calls map[string]int) map[string]float64 {
	kept := map[string]float64{}
	for customer, n := range calls {
		for i := range n {
			if g.Admit(customer, xxhash.Sum64String(customer)+uint64(round*1_000_003+i)) {
				kept[customer] += 1 / float64(n)
			}
		}
	}
	return kept
}

const (
	shortWait = time.Millisecond
	longWait  = 80 * time.Millisecond
)

func TestOverloadedNodeRedirectsItsHeaviestCustomers(t *testing.T) {
	cases := []struct {
		name       string
		waits      []time.Duration
		calls      map[string]int
		least      map[string]float64 // bounds of the share that is kept in the last round
		most       map[string]float64
		redirected bool
	}{
		{"calm", lo.Times(9, func(int) time.Duration { return shortWait }), map[string]int{"a": 400, "b": 40}, map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 1, "b": 1}, false},
		{"one burst", []time.Duration{shortWait, longWait, shortWait}, map[string]int{"a": 400}, map[string]float64{"a": 1}, map[string]float64{"a": 1}, false},
		{"overloaded by one customer", lo.Times(4, func(int) time.Duration { return longWait }), map[string]int{"a": 400, "b": 40}, map[string]float64{"a": 0.3, "b": 1}, map[string]float64{"a": 0.7, "b": 1}, true},
		{"overloaded by many", lo.Times(4, func(int) time.Duration { return longWait }), map[string]int{"a": 90, "b": 90, "c": 90, "d": 90, "e": 90}, map[string]float64{"a": 0.3, "e": 0.3}, map[string]float64{"a": 0.8, "e": 0.8}, true},
		{"for long", lo.Times(60, func(int) time.Duration { return longWait }), map[string]int{"a": 400}, map[string]float64{"a": 0.08}, map[string]float64{"a": 0.25}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(DefaultRule())
			for i, wait := range c.waits {
				offer(g, i, c.calls)
				g.Read(wait)
			}
			kept := offer(g, len(c.waits), c.calls)
			for customer, share := range c.least {
				assert.GreaterOrEqual(t, kept[customer]+1e-9, share, customer)
				assert.LessOrEqual(t, kept[customer]-1e-9, c.most[customer], customer)
			}
			assert.Equal(t, c.redirected, g.Read(shortWait).Kept < 1)
		})
	}
}

func TestAllCallsAreKeptAfterAnOverload(t *testing.T) {
	g := NewGate(DefaultRule())
	for i := range 10 {
		offer(g, i, map[string]int{"a": 100})
		g.Read(longWait)
	}
	rounds := 0
	for rounds < 100 {
		rounds++
		if s := g.Read(shortWait); s.Changed {
			assert.Equal(t, 1.0, s.Kept)
			break
		}
	}
	assert.Less(t, rounds, 50, "ten seconds")
	assert.InDelta(t, 1, offer(g, 99, map[string]int{"a": 100})["a"], 1e-6)
}

// Guards against taking one slow caller for a full link: most bodies must be slow.
func TestFullLinkShowsInMostBodies(t *testing.T) {
	cases := []struct {
		name       string
		slow, fast int
		redirected bool
	}{
		{"one slow caller", 1, 30, false},
		{"most are slow", 30, 5, true},
		{"too few bodies", 3, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(DefaultRule())
			var s State
			for range 4 {
				for range c.slow {
					g.RecordBody(time.Second)
				}
				for range c.fast {
					g.RecordBody(time.Millisecond)
				}
				s = g.Read(shortWait)
			}
			assert.Equal(t, c.redirected, s.Kept < 1)
		})
	}
}

func TestMeanSincePreviousReading(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.010, 0.030, math.Inf(1)}
	cases := []struct {
		name          string
		before, after []uint64
		want          time.Duration
	}{
		{"nothing yet", nil, []uint64{0, 0, 0, 0}, 0},
		{"nothing new", []uint64{1, 2, 3, 4}, []uint64{1, 2, 3, 4}, 0},
		{"only the new ones count", []uint64{0, 500, 0, 0}, []uint64{0, 501, 3, 0}, 16250 * time.Microsecond},
		{"beyond the last bound", nil, []uint64{0, 0, 0, 2}, 30 * time.Millisecond},
		{"below the first bound", nil, []uint64{2, 0, 0, 0}, 0},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, meanSince(bounds, c.before, c.after).Round(time.Microsecond), c.name)
	}
	waits := NewWaitReader()
	done := make(chan struct{})
	for range 1000 {
		go func() { done <- struct{}{} }()
		<-done
	}
	assert.GreaterOrEqual(t, waits.Mean(), time.Duration(0))
}
