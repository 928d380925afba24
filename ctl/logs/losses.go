package logs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// callEnded is the message that a node logs when a call ends.
const callEnded = "call ended"

// Reasons of calls that were served.
var servedReasons = []string{"answered", "streamed"}

// Loss counts the calls of a route that were not served for one reason within one time window.
type Loss struct {
	From    time.Time `json:"from"`
	Route   string    `json:"route"`
	Reason  string    `json:"reason"`
	Calls   int       `json:"calls"`
	Total   int       `json:"of"`      // all calls of the route that ended in the window
	Example string    `json:"example"` // id of the first such call, for the story command
}

type lossKey struct {
	from          time.Time
	route, reason string
}

type routeWindow struct {
	from  time.Time
	route string
}

// SummarizeLosses counts the calls that were not served, ordered by time window, route and reason.
func SummarizeLosses(lines []Line, window time.Duration) []Loss {
	losses := map[lossKey]Loss{}
	ended := map[routeWindow]int{}
	for _, l := range lines {
		if l.Message != callEnded {
			continue
		}
		at := routeWindow{from: l.Time.Truncate(window), route: l.text("route")}
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
		all[i].Total = ended[routeWindow{from: l.From, route: l.Route}]
	}
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}
