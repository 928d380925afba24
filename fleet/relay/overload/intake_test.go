package overload

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// repeated is an input of an intake, repeated some times.
type repeated struct {
	times          int
	used, heaviest float64
	others         bool
}

func TestIntakeClosesForOneCustomerThatFillsTheLink(t *testing.T) {
	cases := []struct {
		name     string
		readings []repeated
		open     bool
	}{
		{"calm", []repeated{{50, 0.3, 0.9, true}}, true},
		{"one burst", []repeated{{20, 0.2, 0.9, true}, {1, 1, 0.9, true}, {1, 0.2, 0.9, true}}, true},
		{"full by one customer", []repeated{{20, 0.2, 0.9, true}, {6, 1, 0.9, true}}, false},
		{"full by many", []repeated{{20, 0.2, 0.1, true}, {20, 1, 0.1, true}}, true},
		{"no other node", []repeated{{50, 1, 0.9, false}}, true},
		{"the other nodes end", []repeated{{20, 1, 0.9, true}, {20, 1, 0.9, false}}, true},
		{"between the bounds after it was full", []repeated{{20, 1, 0.9, true}, {60, 0.5, 0.9, true}}, false},
		{"between the bounds", []repeated{{60, 0.5, 0.9, true}}, true},
		{"empty again, a moment later", []repeated{{8, 1, 0.9, true}, {4, 0, 0, true}}, false},
		{"empty again", []repeated{{8, 1, 0.9, true}, {20, 0, 0, true}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := NewIntake(DefaultIntakeRule())
			for _, r := range c.readings {
				for range r.times {
					i.Read(Load{Used: r.used, CallShare: r.heaviest, Others: r.others})
				}
			}
			assert.Equal(t, c.open, i.Open())
		})
	}
}

// Guards against an intake that opens again before the balancer has noticed that it was closed.
func TestClosedIntakeStaysClosedForAWhile(t *testing.T) {
	rule := DefaultIntakeRule()
	i := NewIntake(rule)
	closed, times := 0, 0
	for at := range 2000 {
		used := lo.Ternary(at%23 < 8, 1.0, 0.0)
		switch changed := i.Read(Load{Used: used, CallShare: 1, Others: true}); {
		case changed && i.Open():
			assert.GreaterOrEqual(t, at-closed, rule.Stay)
			times++
		case changed:
			closed = at
		}
	}
	assert.Greater(t, times, 20)
}

// Guards against closing connections of other customers, too many at a time, or while the next
// connection would still reach this node.
func TestOnlyConnectionsOfTheHeaviestCustomerAreClosed(t *testing.T) {
	rule := DefaultIntakeRule()
	full := Load{Used: 1, Customer: "a", CallShare: 0.9, Others: true}
	i := NewIntake(rule)
	closed := func(customer string) int {
		return lo.CountBy(lo.Range(100), func(int) bool { return i.ShouldClose(customer) })
	}
	assert.Zero(t, closed("a"), "calm")
	for i.Open() {
		i.Read(full)
	}
	for range rule.Stay - 1 {
		i.Read(full)
		assert.Zero(t, closed("a"), "the balancer does not know yet")
	}
	i.Read(full)
	assert.Zero(t, closed("b"), "another customer")
	assert.Zero(t, closed(""), "no customer")
	assert.Equal(t, rule.MaxClosed, closed("a"))
	i.Read(full)
	assert.Equal(t, rule.MaxClosed, closed("a"))
	for !i.Open() {
		i.Read(Load{Others: true})
	}
	assert.Zero(t, closed("a"), "open again")
}

func TestHeaviest(t *testing.T) {
	g := NewGate(DefaultRule())
	offer(g, 0, map[string]int{"": 40, "a": 30, "b": 10})
	name, share := g.Heaviest()
	assert.Zero(t, share, "no reading yet")
	assert.Empty(t, name)
	g.Read(shortWait)
	name, share = g.Heaviest()
	assert.Equal(t, "a", name)
	assert.InDelta(t, 0.375, share, 1e-9)
	offer(g, 1, map[string]int{"a": 2})
	g.Read(shortWait)
	_, share = g.Heaviest()
	assert.Zero(t, share, "too few calls")
}
