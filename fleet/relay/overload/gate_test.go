package overload

import (
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// take offers so many calls of each customer, and returns the share that was kept.
func take(g *Gate, round int, calls map[string]int) map[string]float64 {
	kept := map[string]float64{}
	for customer, n := range calls {
		for i := range n {
			if g.Keep(customer, xxhash.Sum64String(customer)+uint64(round*1_000_003+i)) {
				kept[customer] += 1 / float64(n)
			}
		}
	}
	return kept
}

const (
	calm  = time.Millisecond
	choky = 80 * time.Millisecond
)

func TestAnOverloadedNodeHandsOnWhatItsHeaviestCustomersSend(t *testing.T) {
	cases := []struct {
		name   string
		waits  []time.Duration
		calls  map[string]int
		least  map[string]float64 // share of the last round that is kept
		most   map[string]float64
		handed bool
	}{
		{"calm", lo.Times(9, func(int) time.Duration { return calm }), map[string]int{"a": 400, "b": 40}, map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 1, "b": 1}, false},
		{"one burst", []time.Duration{calm, choky, calm}, map[string]int{"a": 400}, map[string]float64{"a": 1}, map[string]float64{"a": 1}, false},
		{"overloaded by one customer", lo.Times(4, func(int) time.Duration { return choky }), map[string]int{"a": 400, "b": 40}, map[string]float64{"a": 0.3, "b": 1}, map[string]float64{"a": 0.7, "b": 1}, true},
		{"overloaded by many", lo.Times(4, func(int) time.Duration { return choky }), map[string]int{"a": 90, "b": 90, "c": 90, "d": 90, "e": 90}, map[string]float64{"a": 0.3, "e": 0.3}, map[string]float64{"a": 0.8, "e": 0.8}, true},
		{"for long", lo.Times(60, func(int) time.Duration { return choky }), map[string]int{"a": 400}, map[string]float64{"a": 0.08}, map[string]float64{"a": 0.25}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(DefaultRule())
			for i, wait := range c.waits {
				take(g, i, c.calls)
				g.Read(wait)
			}
			kept := take(g, len(c.waits), c.calls)
			for customer, share := range c.least {
				assert.GreaterOrEqual(t, kept[customer]+1e-9, share, customer)
				assert.LessOrEqual(t, kept[customer]-1e-9, c.most[customer], customer)
			}
			assert.Equal(t, c.handed, g.Read(calm).Kept < 1)
		})
	}
}

func TestAllCallsAreKeptAgainOnceTheNodeIsCalm(t *testing.T) {
	g := NewGate(DefaultRule())
	for i := range 10 {
		take(g, i, map[string]int{"a": 100})
		g.Read(choky)
	}
	rounds := 0
	for rounds < 100 {
		rounds++
		if s := g.Read(calm); s.Changed {
			assert.Equal(t, 1.0, s.Kept)
			break
		}
	}
	assert.Less(t, rounds, 50, "ten seconds")
	assert.InDelta(t, 1, take(g, 99, map[string]int{"a": 100})["a"], 1e-6)
}

// Bodies that come in slowly show a full link; one slow caller does not.
func TestAFullLinkShowsInMostBodies(t *testing.T) {
	cases := []struct {
		name       string
		slow, fast int
		handed     bool
	}{
		{"one slow caller", 1, 30, false},
		{"most are slow", 30, 5, true},
		{"too few to tell", 3, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(DefaultRule())
			var s State
			for range 4 {
				for range c.slow {
					g.Body(time.Second)
				}
				for range c.fast {
					g.Body(time.Millisecond)
				}
				s = g.Read(calm)
			}
			assert.Equal(t, c.handed, s.Kept < 1)
		})
	}
}

func TestTheMeanOfWhatWasCountedSince(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.010, 0.030, math.Inf(1)}
	cases := []struct {
		name          string
		before, after []uint64
		want          time.Duration
	}{
		{"nothing yet", nil, []uint64{0, 0, 0, 0}, 0},
		{"nothing new", []uint64{1, 2, 3, 4}, []uint64{1, 2, 3, 4}, 0},
		{"the new ones only", []uint64{0, 500, 0, 0}, []uint64{0, 501, 3, 0}, 16250 * time.Microsecond},
		{"beyond the last bound", nil, []uint64{0, 0, 0, 2}, 30 * time.Millisecond},
		{"below the first bound", nil, []uint64{2, 0, 0, 0}, 0},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, meanOfNew(bounds, c.before, c.after).Round(time.Microsecond), c.name)
	}
	waits := NewWaits()
	done := make(chan struct{})
	for range 1000 {
		go func() { done <- struct{}{} }()
		<-done
	}
	assert.GreaterOrEqual(t, waits.Mean(), time.Duration(0))
}
