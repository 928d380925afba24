package overload

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

// accept passes new connections with a call each, of some customers in turn, to the gate, and returns how many
// connections and calls it took.
func accept(g *Gate, round, connections int, customers ...string) (taken, admitted int) {
	for i := range connections {
		key := uint64(round*1_000_003 + i)
		if g.TakeConnection(key) {
			taken++
			admitted += lo.Ternary(g.Admit(customers[i%len(customers)], key+7), 1, 0)
		}
	}
	return taken, admitted
}

// Guards against calls that are read and refused where their connections could have been left unread, and
// against connections that are closed for another reason.
func TestAnOverloadedNodeClosesNewConnectionsOfAFlood(t *testing.T) {
	many := []string{"a", "b", "c", "d", "e"}
	tests := []struct {
		name      string
		usual     int // new connections of a reading before
		flood     int
		customers []string
		overload  bool
		closes    bool
		refuses   bool
	}{
		{"a flood of many customers", 5, 40, many, true, true, false},
		{"a flood that the node copes with", 5, 40, many, false, false, false},
		{"overloaded by as many connections as ever", 30, 40, many, true, false, true},
		{"a flood of one customer", 5, 40, []string{"a"}, true, false, true},
		{"a few connections", 0, 3, many, true, false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate(DefaultRule())
			for i := range 100 {
				accept(g, i, c.usual, many...)
				g.Read(shortWait)
			}
			closed, refused := 0, 0
			for i := range 6 {
				taken, admitted := accept(g, 1000+i, c.flood, c.customers...)
				closed += c.flood - taken
				refused += taken - admitted
				g.Read(lo.Ternary(c.overload, longWait, shortWait))
			}
			assert.Equal(t, c.closes, closed > 0, "%d closed", closed)
			assert.Equal(t, c.refuses, refused > 0, "%d refused", refused)
		})
	}
}

// Guards against a flood that becomes usual while it lasts, and against a node that takes nothing.
func TestAFloodIsShedForAsLongAsItLasts(t *testing.T) {
	g := NewGate(DefaultRule())
	for i := range 50 {
		accept(g, i, 5, "a", "b", "c")
		g.Read(shortWait)
	}
	for i := range 60 { // twelve seconds
		taken, _ := accept(g, 100+i, 60, "a", "b", "c")
		s := g.Read(longWait)
		if i > 10 {
			assert.True(t, s.Flooded)
			assert.Less(t, taken, 30)
		}
	}
	total := 0
	for i := range 20 {
		taken, _ := accept(g, 500+i, 60, "a", "b", "c")
		total += taken
		g.Read(longWait)
	}
	assert.Greater(t, total, 100, "the node goes on taking some")
}
