package memory_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/memory"
)

func TestTakeFailsBeyondTheBound(t *testing.T) {
	cases := []struct {
		name  string
		bound int64
		takes []int64 // negative: released
		want  []bool
		state memory.State
	}{
		{"fits", 100, []int64{40, 60}, []bool{true, true}, memory.State{Bound: 100, Held: 100, Peak: 100}},
		{"does not fit", 100, []int64{60, 41}, []bool{true, false}, memory.State{Bound: 100, Held: 60, Peak: 60, Rejected: 1}},
		{"fits again", 100, []int64{60, 41, -60, 41}, []bool{true, false, true, true}, memory.State{Bound: 100, Held: 41, Peak: 60, Rejected: 1}},
		{"no bound", 0, []int64{1 << 40, 1 << 40}, []bool{true, true}, memory.State{Held: 2 << 40, Peak: 2 << 40}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := memory.NewBudget(c.bound)
			var got []bool
			for _, bytes := range c.takes {
				if bytes < 0 {
					b.Release(-bytes)
					got = append(got, true)
					continue
				}
				got = append(got, b.Take(bytes))
			}
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.state, b.State())
		})
	}
}

func TestABudgetIsNeverExceeded(t *testing.T) {
	b := memory.NewBudget(1000)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 200 {
				if b.Take(90) {
					b.Release(90)
				}
			}
		})
	}
	all.Wait()
	assert.LessOrEqual(t, b.State().Peak, int64(1000))
	assert.Zero(t, b.State().Held)
}
