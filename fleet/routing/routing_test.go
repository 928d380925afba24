package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/routing"
	"github.com/lynxshed/lynxshed/fleet/table"
)

func endpoints(count, zones int) routing.Table {
	rows := []table.Row{{Kind: table.Service, Name: "s", Version: 1, Cells: table.Cells{"type": "model"}}}
	for i := range count {
		rows = append(rows, table.Row{Kind: table.Endpoint, Name: fmt.Sprintf("e%d", i), Version: 1, Cells: table.Cells{
			"services": "s", "zone": fmt.Sprintf("z%d", i%zones), "url": "http://127.0.0.1:1",
		}})
	}
	return routing.New(catalog.New(1, table.New(rows...)), "z0", []ident.Service{"s"})
}

func TestChoose(t *testing.T) {
	free := routing.Condition{Limit: 4}
	cases := []struct {
		name        string
		query       routing.Query
		condition   map[ident.Endpoint]routing.Condition
		want        ident.Endpoint
		wantOutcome routing.Outcome
		wantRemote  bool
	}{
		{"least loaded of the own zone", routing.Query{}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Own: 2}, "e2": free}, "e2", routing.Chosen, false},
		{"calls of other nodes count", routing.Query{}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Own: 1}, "e2": {Limit: 4, Others: 2}}, "e0", routing.Chosen, false},
		{"a full zone spills over", routing.Query{}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Own: 4}, "e2": {Limit: 4, Own: 4}, "e1": free, "e3": {Limit: 4, Own: 4}}, "e1", routing.Chosen, true},
		{"unavailable endpoint is skipped", routing.Query{}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Unavailable: true}, "e2": {Limit: 4, Own: 3}}, "e2", routing.Chosen, false},
		{"excluded endpoint is skipped", routing.Query{Excluded: []ident.Endpoint{"e2"}}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Own: 3}, "e2": free}, "e0", routing.Chosen, false},
		{"batch call respects its window", routing.Query{Priority: catalog.Batch}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Own: 3, NoBatch: true}, "e2": {Limit: 4, Own: 3, NoBatch: true}, "e1": {Unavailable: true}, "e3": {Unavailable: true}}, "", routing.AllBusy, false},
		{"interactive call ignores the batch window", routing.Query{}, map[ident.Endpoint]routing.Condition{"e0": {Limit: 4, Own: 3, NoBatch: true}, "e2": {Limit: 4, Own: 4}}, "e0", routing.Chosen, false},
		{"no endpoint is available", routing.Query{}, map[ident.Endpoint]routing.Condition{"e0": {Unavailable: true}, "e1": {Unavailable: true}, "e2": {Unavailable: true}, "e3": {Unavailable: true}}, "", routing.NoEndpoint, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.query.Service = "s"
			choice, outcome := endpoints(4, 2).Choose(c.query, func(e ident.Endpoint) routing.Condition { return c.condition[e] })
			assert.Equal(t, c.wantOutcome, outcome)
			assert.Equal(t, c.want, choice.Target.Name)
			assert.Equal(t, c.wantRemote, choice.Remote)
		})
	}
}

func TestAffinityYieldsToLoad(t *testing.T) {
	own := map[ident.Endpoint]int64{}
	condition := func(e ident.Endpoint) routing.Condition { return routing.Condition{Limit: 100, Own: own[e]} }
	ts := endpoints(8, 1)
	first, _ := ts.Choose(routing.Query{Service: "s", Prefix: 77}, condition)
	for i := range uint64(5) {
		again, _ := ts.Choose(routing.Query{Service: "s", Prefix: 77, Random: i}, condition)
		assert.Equal(t, first.Target.Name, again.Target.Name, "the same prefix goes to the same endpoint")
	}
	own[first.Target.Name] = 50
	other, _ := ts.Choose(routing.Query{Service: "s", Prefix: 77}, condition)
	assert.NotEqual(t, first.Target.Name, other.Target.Name)
}

func TestEjection(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var h routing.Health
	h = h.WithFailure(at).WithFailure(at)
	assert.False(t, h.Ejected(at))
	h = h.WithFailure(at)
	assert.True(t, h.Ejected(at))
	later := at.Add(time.Second)
	assert.True(t, h.NeedsProbe(later))
	h = h.WithProbe()
	assert.True(t, h.Ejected(later), "only one call probes")
	h = h.WithFailure(later)
	assert.True(t, h.Ejected(later.Add(1500*time.Millisecond)), "the second ejection is longer")
	assert.False(t, h.WithSuccess().Ejected(later))
}

// Two nodes share an endpoint whose streams slow down with the number of calls and whose
// load report is one round old: together they must stay near the ceiling.
func TestWindowsKeepTheTotalNearTheCeiling(t *testing.T) {
	const limit, alone, slope = 16, 4 * time.Millisecond, 0.05
	cases := []struct {
		name               string
		interactive        bool
		minTotal, maxTotal int64
	}{
		{"batch calls alone use all but the reserve", false, 12, 14},
		{"batch calls beside interactive ones keep the token rate", true, 4, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			windows := []routing.Window{{}, {}}
			var reported, total int64
			for range 60 {
				at = at.Add(2 * time.Second)
				reported, total = total, 0
				for i, w := range windows {
					own := int64(w.Size())
					w = w.WithObservation(routing.Observation{At: at, Calls: reported, Limit: limit, OwnBatch: own, Nodes: 2, Interactive: c.interactive})
					w = w.WithInterval(time.Duration(float64(alone) * (1 + slope*float64(max(0, reported-1)))))
					windows[i] = w
					total += int64(w.Size())
				}
			}
			assert.GreaterOrEqual(t, total, c.minTotal)
			assert.LessOrEqual(t, total, c.maxTotal)
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			ts := endpoints(count, 8)
			condition := func(ident.Endpoint) routing.Condition { return routing.Condition{Limit: 16, Own: 3} }
			b.ReportAllocs()
			for i := range b.N {
				ts.Choose(routing.Query{Service: "s", Prefix: uint64(i), Random: uint64(i)}, condition)
			}
		})
	}
}
