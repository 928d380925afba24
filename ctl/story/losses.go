package story

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// callEnded is the message of the line that a node writes when a call ended.
const callEnded = "call ended"

// Reasons of calls that ended well.
var servedReasons = []string{"answered", "streamed"}

// Loss is how many calls of a route ended for one reason, other than served, within
// one slice of time.
type Loss struct {
	From    time.Time `json:"from"`
	Route   string    `json:"route"`
	Reason  string    `json:"reason"`
	Calls   int       `json:"calls"`
	Of      int       `json:"of"`      // calls of the route that ended in the slice
	Example string    `json:"example"` // the id of the first of them, for `story`
}

type lossKey struct {
	from          time.Time
	route, reason string
}

type routeSlice struct {
	from  time.Time
	route string
}

// Losses sums up the calls that were not served, by slice of time, route and
// reason, in that order.
func Losses(lines []Line, slice time.Duration) []Loss {
	losses := map[lossKey]Loss{}
	ended := map[routeSlice]int{}
	for _, l := range lines {
		if l.Message != callEnded {
			continue
		}
		at := routeSlice{from: l.Time.Truncate(slice), route: l.text("route")}
		ended[at]++
		reason := l.text("reason")
		if slices.Contains(servedReasons, reason) {
			continue
		}
		key := lossKey{from: at.from, route: at.route, reason: reason}
		loss, known := losses[key]
		if !known {
			loss = Loss{From: key.from, Route: key.route, Reason: reason, Example: l.Request()}
		}
		loss.Calls++
		losses[key] = loss
	}
	all := slices.Collect(maps.Values(losses))
	for i, l := range all {
		all[i].Of = ended[routeSlice{from: l.From, route: l.Route}]
	}
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}
