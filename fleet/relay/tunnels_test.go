package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
)

// Guards against nodes that all decline to open tunnels as some endpoints crash, and against one that
// blames an endpoint for its own path.
func TestWhenANodeOpensTunnelsForOthers(t *testing.T) {
	e1, e2, e3 := engine.Engine{ID: "e1", Service: "s"}, engine.Engine{ID: "e2", Service: "s"}, engine.Engine{ID: "e3", Service: "s"}
	now := clock.Now()
	early := now.Add(-time.Minute)
	cases := []struct {
		name           string
		leaving        bool
		events         func(r *reachability.Tracker)
		opens, vouches bool
		told           []string // services to which it opens none
	}{
		{"nothing is known", false, func(*reachability.Tracker) {}, true, false, nil},
		{"the service has just answered", false, func(r *reachability.Tracker) { r.Answered(e1, early, now) }, true, true, nil},
		{"its last answer is old", false, func(r *reachability.Tracker) { r.Answered(e1, early, now.Add(-2*time.Second)) }, true, false, nil},
		{"two of its endpoints are down, a third one answers", false, func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, now)
			r.Failed(e2, reachability.NotConnected, now)
			r.Answered(e3, early, now)
		}, true, false, nil},
		{"none answers", false, func(r *reachability.Tracker) {
			r.Failed(e1, reachability.NotConnected, now)
			r.Failed(e2, reachability.NotConnected, now)
		}, false, false, []string{"s"}},
		{"it leaves", true, func(r *reachability.Tracker) { r.Answered(e1, early, now) }, false, true, []string{peer.AllServices}},
	}
	for _, c := range cases {
		n := &Node{reachability: reachability.NewTracker(reachability.DefaultRule(), func(reachability.Change) {})}
		n.reachability.Engines([]engine.Engine{e1, e2, e3}, now)
		c.events(n.reachability)
		n.leaving.Store(c.leaving)
		assert.Equal(t, c.opens, !c.leaving && n.mayOpenTunnels("s"), c.name)
		assert.Equal(t, c.vouches, tunnelHost{n}.Vouches("s"), c.name)
		assert.ElementsMatch(t, c.told, n.noTunnels(), c.name)
	}
}
