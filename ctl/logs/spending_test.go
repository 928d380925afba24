package logs_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/ctl/logs"
)

const budgetLog = `{"timestamp":"2026-12-02T10:00:00Z","message":"policy in force","fields":{"node":"n","prepaid":{"a":1000,"b":50}}}
{"timestamp":"2026-12-02T10:00:01Z","message":"accounts: written","fields":{"node":"n","tokens":{"a":300},"pools":{"a":700}}}
{"timestamp":"2026-12-02T10:00:01Z","message":"call ended","fields":{"node":"n","tenant":"a","reason":"streamed","reserved":100,"used":60}}
{"timestamp":"2026-12-02T10:00:02Z","message":"call ended","fields":{"node":"n","tenant":"a","reason":"answered","reserved":0,"used":0}}
{"timestamp":"2026-12-02T10:00:05Z","message":"call ended","fields":{"node":"m","tenant":"a","reason":"budget-insufficient-here","reserved":80,"used":0}}
{"timestamp":"2026-12-02T10:00:06Z","message":"accounts: an earlier life of this node ended with tokens that it had drawn and not reported as spent","fields":{"node":"n","tokens":{"a":240}}}
{"timestamp":"2026-12-02T10:00:06Z","message":"accounts: written","fields":{"node":"n","tokens":{"a":-10},"pools":{"a":710}}}
`

func TestSpendingIsSummarizedByCustomerAndWindow(t *testing.T) {
	lines, err := logs.Read(strings.NewReader(budgetLog))
	require.NoError(t, err)
	from := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	next := from.Add(4 * time.Second)
	assert.Equal(t, []logs.Spending{
		{Customer: "a", Prepaid: 1000, Requested: 180, Refused: 80, RefusedCalls: 1, Spent: 60, Drawn: 290, Lost: 240, PoolRemaining: 710},
		{Customer: "b", Prepaid: 50},
		{From: from, Customer: "a", Requested: 100, Spent: 60, Drawn: 300, PoolRemaining: 700},
		{From: next, Customer: "a", Requested: 80, Refused: 80, RefusedCalls: 1, Drawn: -10, Lost: 240, PoolRemaining: 710},
	}, logs.SummarizeSpending(lines, 4*time.Second))
}

func TestPlacementsCompareExpectedWithObservedTimes(t *testing.T) {
	const log = `{"message":"call ended","fields":{"node":"n","route":"r","reason":"streamed","expectedFirstMs":100,"firstMs":90,"fetched":5}}
{"message":"call ended","fields":{"node":"n","route":"r","reason":"streamed","expectedFirstMs":120,"firstMs":150}}
{"message":"call ended","fields":{"node":"n","route":"r","reason":"streamed","expectedFirstMs":130,"firstMs":730}}
{"message":"call ended","fields":{"node":"m","route":"r","reason":"streamed","expectedFirstMs":10,"firstMs":20}}
{"message":"call ended","fields":{"node":"m","route":"r","reason":"broken-off","expectedFirstMs":10,"firstMs":900}}
{"message":"call ended","fields":{"node":"m","route":"plain","reason":"answered"}}
`
	lines, err := logs.Read(strings.NewReader(log))
	require.NoError(t, err)
	assert.Equal(t, []logs.PlacementStats{
		{Node: "n", Route: "r", Streams: 3, Expected: 120, Observed: 150, LateP90: 600, Fetched: 1.0 / 3},
		{Node: "m", Route: "r", Streams: 1, Expected: 10, Observed: 20, LateP90: 10},
	}, logs.SummarizePlacements(lines))
}
