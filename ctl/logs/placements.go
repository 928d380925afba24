package logs

import (
	"cmp"
	"maps"
	"slices"
)

// PlacementStats compares the expected with the observed time to the first event, over the streams of
// one route on one node.
type PlacementStats struct {
	Node     string  `json:"node"`
	Route    string  `json:"route"`
	Streams  int     `json:"streams"`
	Expected int64   `json:"expectedMs"` // median time to the first event, in ms
	Observed int64   `json:"metMs"`      // median, in ms
	LateP90  int64   `json:"laterMs"`    // 90th percentile of the delay beyond the expected time, in ms
	Fetched  float64 `json:"fetched"`    // share of streams that fetched cached prompt tokens from another endpoint
}

type placementKey struct{ node, route string }

// samples holds the times of the streams of one node and route, in ms.
type samples struct{ expected, observed, late []int64 }

// SummarizePlacements returns the statistics by node and route, ordered by descending number of
// streams.
func SummarizePlacements(lines []Line) []PlacementStats {
	byKey := map[placementKey]samples{}
	fetched := map[placementKey]int{}
	for _, l := range lines {
		if l.Message != callEnded || l.text("reason") != "streamed" || l.number("firstMs") == 0 {
			continue
		}
		key := placementKey{node: l.Node(), route: l.text("route")}
		s := byKey[key]
		expected, observed := l.number("expectedFirstMs"), l.number("firstMs")
		byKey[key] = samples{append(s.expected, expected), append(s.observed, observed), append(s.late, observed-expected)}
		if l.number("fetched") > 0 {
			fetched[key]++
		}
	}
	all := make([]PlacementStats, 0, len(byKey))
	for key := range maps.Keys(byKey) {
		s := byKey[key]
		const median, p90 = 0.5, 0.9
		all = append(all, PlacementStats{
			Node: key.node, Route: key.route, Streams: len(s.observed), Expected: quantile(s.expected, median), Observed: quantile(s.observed, median),
			LateP90: quantile(s.late, p90), Fetched: float64(fetched[key]) / float64(len(s.observed)),
		})
	}
	slices.SortFunc(all, func(a, b PlacementStats) int {
		return cmp.Or(cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Route, b.Route))
	})
	return all
}

// quantile returns the q-quantile of a non-empty list.
func quantile(numbers []int64, q float64) int64 {
	sorted := slices.Sorted(slices.Values(numbers))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
