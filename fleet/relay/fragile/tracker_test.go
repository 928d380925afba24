package fragile_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/fragile"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestHowLongAServiceIsFragile(t *testing.T) {
	report := func(r fragile.Report) func(*fragile.Tracker) {
		return func(t *fragile.Tracker) { t.Receive("n2", []fragile.Report{r}, at(0)) }
	}
	cases := []struct {
		name    string
		learn   func(*fragile.Tracker)
		now     time.Time
		fragile bool
	}{
		{"nothing is known", func(*fragile.Tracker) {}, at(0), false},
		{"an answer says so", func(t *fragile.Tracker) { t.Observe("s", 4, at(0)) }, at(9_000), true},
		{"none has for long", func(t *fragile.Tracker) { t.Observe("s", 4, at(0)) }, at(10_000), false},
		{"a later answer says so again", func(t *fragile.Tracker) { t.Observe("s", 4, at(0)); t.Observe("s", 4, at(5_000)) }, at(14_000), true},
		{"another service", func(t *fragile.Tracker) { t.Observe("p", 4, at(0)) }, at(0), false},
		{"another node reports it", report(fragile.Report{Service: "s", MaxRejections: 4, AgeMs: 3000}), at(6_000), true},
		{"its report ages", report(fragile.Report{Service: "s", MaxRejections: 4, AgeMs: 3000}), at(7_000), false},
		{"its report is too old", report(fragile.Report{Service: "s", MaxRejections: 4, AgeMs: 10_000}), at(0), false},
		{"its report is of the future", report(fragile.Report{Service: "s", MaxRejections: 4, AgeMs: -1}), at(0), false},
		{"its report names a number below zero", report(fragile.Report{Service: "s", MaxRejections: -1}), at(0), false},
		{"it may reject none at all", report(fragile.Report{Service: "s"}), at(0), true},
		{"an older report does not shorten it", func(t *fragile.Tracker) {
			t.Observe("s", 4, at(0))
			t.Receive("n2", []fragile.Report{{Service: "s", MaxRejections: 4, AgeMs: 9_000}}, at(0))
		}, at(9_000), true},
	}
	for _, c := range cases {
		tracker := fragile.NewTracker(func(fragile.Change) {})
		c.learn(tracker)
		assert.Equal(t, c.fragile, tracker.Is("s", c.now), c.name)
	}
}

func TestFragileServicesAreReported(t *testing.T) {
	var changes []fragile.Change
	tracker := fragile.NewTracker(func(c fragile.Change) { changes = append(changes, c) })
	assert.Empty(t, tracker.Reports(at(0)))
	tracker.Observe("s", 4, at(0))
	tracker.Observe("s", 4, at(500))
	tracker.Receive("n2", []fragile.Report{{Service: "p", MaxRejections: 2, AgeMs: 100}}, at(500))
	assert.Equal(t, []fragile.Report{{Service: "s", MaxRejections: 4, AgeMs: 500}, {Service: "p", MaxRejections: 2, AgeMs: 600}}, tracker.Reports(at(1000)))
	assert.Empty(t, tracker.Reports(at(11_000)))
	assert.False(t, tracker.Is("s", at(11_000)))
	assert.Equal(t, []fragile.Change{
		{Service: "s", Fragile: true, MaxRejections: 4},
		{Service: "p", Fragile: true, MaxRejections: 2, From: "n2"},
		{Service: "s", MaxRejections: 4},
	}, changes)
}
