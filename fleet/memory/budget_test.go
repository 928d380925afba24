package memory_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/memory"
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

// waiter is a holder that waits for its caller since a time, zero if it does not.
type waiter struct {
	name    string
	since   time.Time
	evicted *[]string
}

func (w waiter) WaitsSince(time.Time) (time.Time, bool) { return w.since, !w.since.IsZero() }

func (w waiter) Evict() bool {
	*w.evicted = append(*w.evicted, w.name)
	return true
}

// Guards against room for a call that is taken from callers who have sent all, from those who hold little,
// or from those who have just begun.
func TestRoomIsMadeByThoseWhoWaitLongestOfWhoHoldsMost(t *testing.T) {
	type held struct {
		name, owner string
		bytes       int64
		waits       int // seconds; 0: it does not wait
	}
	cases := []struct {
		name  string
		held  []held
		owner string
		bytes int64
		fits  bool
		gone  []string
	}{
		{"the longest", []held{{"a", "t", 400, 2}, {"b", "t", 400, 9}}, "u", 300, true, []string{"b"}},
		{"whole calls stay", []held{{"a", "t", 800, 0}, {"b", "u", 100, 1}}, "v", 150, true, []string{"b"}},
		{"whole calls fill it", []held{{"a", "t", 800, 0}}, "u", 300, false, nil},
		{"of the heaviest owner", []held{{"a", "t", 300, 1}, {"b", "t", 300, 2}, {"c", "v", 350, 9}}, "u", 200, true, []string{"b"}},
		{"as many as needed", []held{{"a", "t", 280, 1}, {"b", "t", 280, 2}, {"c", "t", 280, 3}}, "u", 500, true, []string{"c", "b"}},
		{"none for what never fits", []held{{"a", "t", 300, 1}}, "u", 1100, false, nil},
		{"a large owner leaves room to others", []held{{"a", "t", 800, 0}}, "t", 100, false, nil},
		{"which others may use", []held{{"a", "t", 800, 0}}, "u", 100, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, now := memory.NewBudget(1000), time.Now()
			var gone []string
			leases := map[string]*memory.Lease{}
			for _, h := range c.held {
				w := waiter{name: h.name, evicted: &gone}
				if h.waits > 0 {
					w.since = now.Add(-time.Duration(h.waits) * time.Second)
				}
				leases[h.name] = b.Lease(w)
				leases[h.name].SetOwner(h.owner)
				assert.True(t, leases[h.name].Take(h.bytes))
			}
			l := b.Lease(nil)
			l.SetOwner(c.owner)
			assert.Equal(t, c.fits, l.Take(c.bytes))
			assert.Equal(t, c.gone, gone)
			for _, name := range gone {
				assert.True(t, leases[name].Ended())
				assert.False(t, leases[name].Take(1))
			}
			for _, lease := range leases {
				lease.End()
			}
			l.End()
			assert.Zero(t, b.State().Held)
			assert.Empty(t, b.Shares())
		})
	}
}

// Guards against a body that holds what was announced, more than what has come, or memory once it has failed.
func TestABodyHoldsWhatHasCome(t *testing.T) {
	const most = 1 << 20
	cases := []struct {
		name   string
		length int64
		comes  int
		fails  error
		bound  int64
		want   error
	}{
		{"a length", 100_000, 100_000, io.EOF, 0, nil},
		{"no length", -1, 100_000, io.EOF, 0, nil},
		{"nothing", -1, 0, io.EOF, 0, nil},
		{"all that may come", -1, most, io.EOF, 0, nil},
		{"too much", -1, most + 1, io.EOF, 0, memory.ErrTooLong},
		{"too much announced", most + 1, 0, io.EOF, 0, memory.ErrTooLong},
		{"announced and not sent", most, 10, io.ErrNoProgress, 0, io.ErrNoProgress},
		{"short of its end", -1, 100_000, io.ErrNoProgress, 0, io.ErrNoProgress},
		{"no memory", -1, 100_000, io.EOF, 50_000, memory.ErrFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := memory.NewBudget(c.bound)
			l := b.Lease(nil)
			body := bytes.Repeat([]byte("x"), c.comes)
			data, reserved, err := memory.ReadAll(io.MultiReader(bytes.NewReader(body), iotest.ErrReader(c.fails)), c.length, most, l)
			assert.ErrorIs(t, err, c.want)
			if c.want == nil {
				assert.Len(t, data, c.comes)
			}
			assert.Equal(t, reserved, b.State().Held)
			assert.LessOrEqual(t, b.State().Peak, int64(3*c.comes+64<<10))
			l.Return(reserved)
			assert.Zero(t, b.State().Held)
		})
	}
}
