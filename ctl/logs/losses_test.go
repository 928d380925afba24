package logs_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/ctl/logs"
)

func TestLossesAreSummarizedByWindowRouteAndReason(t *testing.T) {
	ends := []struct{ at, route, reason, id string }{
		{"10:00:01", "a", "streamed", "1"},
		{"10:00:01", "a", "budget-insufficient-here", "2"},
		{"10:00:02", "a", "budget-insufficient-here", "3"},
		{"10:00:03", "b", "broken-off", "4"},
		{"10:00:05", "a", "budget-insufficient-here", "5"},
		{"10:00:05", "b", "answered", "6"},
	}
	var log strings.Builder
	for _, e := range ends {
		fmt.Fprintf(&log, `{"timestamp":"2026-12-02T%sZ","message":"call ended","fields":{"node":"n","route":%q,"reason":%q,"request":%q}}`+"\n", e.at, e.route, e.reason, e.id)
	}
	log.WriteString(`{"timestamp":"2026-12-02T10:00:01Z","message":"policy in force","fields":{"node":"n"}}` + "\n")
	lines, err := logs.Read(strings.NewReader(log.String()))
	require.NoError(t, err)
	from := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	next := from.Add(4 * time.Second)
	assert.Equal(t, []logs.Loss{
		{From: from, Route: "a", Reason: "budget-insufficient-here", Calls: 2, Total: 3, Example: "2"},
		{From: from, Route: "b", Reason: "broken-off", Calls: 1, Total: 1, Example: "4"},
		{From: next, Route: "a", Reason: "budget-insufficient-here", Calls: 1, Total: 1, Example: "5"},
	}, logs.SummarizeLosses(lines, 4*time.Second))
}
