package story

import (
	"cmp"
	"maps"
	"slices"
)

// Placements is how well the first events of a route's streams were foreseen at one
// node: times in ms.
type Placements struct {
	Node     string  `json:"node"`
	Route    string  `json:"route"`
	Streams  int     `json:"streams"`
	Expected int64   `json:"expectedMs"` // until the first event, the middle of all
	Met      int64   `json:"metMs"`
	Later    int64   `json:"laterMs"` // than expected, in one of ten
	Fetched  float64 `json:"fetched"` // share that took parts of their prompts from elsewhere
}

type placementKey struct{ node, route string }

// placed are the streams of one node and route.
type placed struct{ expected, met, later []int64 }

// PlacementsOf compares what was expected of streams with what they met, by node and
// route, the nodes with most streams first.
func PlacementsOf(lines []Line) []Placements {
	byKey := map[placementKey]placed{}
	fetched := map[placementKey]int{}
	for _, l := range lines {
		if l.Message != callEnded || l.text("reason") != "streamed" || l.number("firstMs") == 0 {
			continue
		}
		key := placementKey{node: l.Node(), route: l.text("route")}
		p := byKey[key]
		expected, met := l.number("expectedFirstMs"), l.number("firstMs")
		byKey[key] = placed{append(p.expected, expected), append(p.met, met), append(p.later, met-expected)}
		if l.number("fetched") > 0 {
			fetched[key]++
		}
	}
	all := make([]Placements, 0, len(byKey))
	for key := range maps.Keys(byKey) {
		p := byKey[key]
		const middle, mostly = 0.5, 0.9
		all = append(all, Placements{
			Node: key.node, Route: key.route, Streams: len(p.met), Expected: quantile(p.expected, middle), Met: quantile(p.met, middle),
			Later: quantile(p.later, mostly), Fetched: float64(fetched[key]) / float64(len(p.met)),
		})
	}
	slices.SortFunc(all, func(a, b Placements) int {
		return cmp.Or(cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Route, b.Route))
	})
	return all
}

// quantile of numbers that are not empty.
func quantile(numbers []int64, q float64) int64 {
	sorted := slices.Sorted(slices.Values(numbers))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
