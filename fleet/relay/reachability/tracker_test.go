package reachability_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
)

var (
	e1 = engine.Engine{ID: "e1", Service: "s"}
	e2 = engine.Engine{ID: "e2", Service: "s"}
	e3 = engine.Engine{ID: "e3", Service: "s"}
	p1 = engine.Engine{ID: "p1", Service: "p"}
	p2 = engine.Engine{ID: "p2", Service: "p"}
	o1 = engine.Engine{ID: "o1", Service: "only"}
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// A service is partitioned from the node when the node's path to it failed, and only then.
func TestWhenAServiceIsPartitioned(t *testing.T) {
	cases := []struct {
		name        string
		events      func(r *reachability.Tracker)
		service     string
		partitioned bool
	}{
		{"nothing failed", func(*reachability.Tracker) {}, "s", false},
		{"one endpoint failed, twice", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e1, reachability.NotConnected, at(10))
		}, "s", false},
		{"two failed", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(300))
		}, "s", true},
		{"two failed, far apart", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(6000))
		}, "s", false},
		{"a new connection brought an answer in between", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Answered(e2, at(100), at(150))
			r.Failed(e3, reachability.NotConnected, at(200))
		}, "s", false},
		{"an old connection goes on working", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Answered(e2, at(-100), at(150))
			r.Failed(e3, reachability.NotConnected, at(200))
		}, "s", true},
		{"an old connection brings an answer later", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
			r.Answered(e3, at(-100), at(150))
		}, "s", true},
		{"a new connection brings an answer later", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
			r.Answered(e3, at(1000), at(1100))
		}, "s", false},
		{"another node does not reach one of them either", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
			r.FailedElsewhere(e2, at(200))
		}, "s", false},
		{"the entry of one of them is gone", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
			r.Engines([]engine.Engine{e1, e3}, at(200))
		}, "s", false},
		{"two were silent, and one of them answers late", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NoAnswer, at(0))
			r.Failed(e2, reachability.NoAnswer, at(100))
			r.Answered(e1, at(-100), at(200))
		}, "s", false},
		{"two were silent, and another one answers over an old connection", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NoAnswer, at(0))
			r.Failed(e2, reachability.NoAnswer, at(100))
			r.Answered(e3, at(-100), at(200))
		}, "s", true},
		{"another service", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
		}, "p", false},
		{"one endpoint of another service, too", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
			r.Failed(p1, reachability.NotConnected, at(200))
		}, "p", true},
		{"one endpoint of another service was silent", func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, at(0))
			r.Failed(e2, reachability.NotConnected, at(100))
			r.Failed(p1, reachability.NoAnswer, at(200))
		}, "p", false},
		{"the only endpoint of a service", func(r *reachability.Tracker) { r.Failed(o1, reachability.NotConnected, at(0)) }, "only", true},
	}
	for _, c := range cases {
		r := reachability.NewTracker(reachability.DefaultRule(), func(reachability.Change) {})
		r.Engines([]engine.Engine{e1, e2, e3, p1, p2, o1}, at(-1000))
		c.events(r)
		assert.Equal(t, c.partitioned, r.Partitioned(c.service), c.name)
	}
}

func TestChangesAreReportedOnce(t *testing.T) {
	var changes []reachability.Change
	r := reachability.NewTracker(reachability.DefaultRule(), func(c reachability.Change) { changes = append(changes, c) })
	r.Engines([]engine.Engine{e1, e2, e3}, at(-1000))
	r.Answered(e1, at(-900), at(-500))
	r.Failed(e2, reachability.NotConnected, at(0))
	r.Failed(e1, reachability.NotConnected, at(300))
	r.Failed(e3, reachability.NotConnected, at(400))
	assert.Equal(t, []reachability.Change{{Service: "s", Partitioned: true, Failed: []string{"e1", "e2"}, Since: 300 * time.Millisecond, Answered: 800 * time.Millisecond}}, changes)
	assert.Equal(t, []string{"s"}, r.Services())
	assert.Equal(t, []string{"e1", "e2", "e3"}, r.FailedEndpoints("s"))
	assert.Equal(t, reachability.Evidence{Failed: 3, Since: 400 * time.Millisecond, Answered: 900 * time.Millisecond}, r.Evidence("s", at(400)))
	changes = nil
	r.Answered(e1, at(2000), at(2100))
	r.Answered(e2, at(2000), at(2200))
	assert.Equal(t, []reachability.Change{{Service: "s", Failed: nil, Since: 2100 * time.Millisecond, Answered: 0}}, changes)
	assert.Empty(t, r.Services())
}
