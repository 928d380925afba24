package logs_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/ctl/logs"
)

// Logs of several nodes, mixed and out of order, with text between them that is not JSON.
const sampleLogs = `building
  4.0 node-a {"fields":{"node":"a","request":"other","reason":"streamed"},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"call ended"}
  1.0 node-a {"fields":{"node":"a","policy":2},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"policy in force"}
{"fields":{"node":"b","policy":3},"level":"info","timestamp":"2026-01-01T00:00:02Z","message":"policy in force"}
{"fields":{"node":"a","policy":3},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"policy in force"}
{"fields":{"node":"a","dependency":"store"},"level":"warn","timestamp":"2026-01-01T00:00:03.5Z","message":"accounts: store lost"}
{"fields":{"node":"a","service":"s","endpoint":"e1","version":"v2"},"level":"info","timestamp":"2026-01-01T00:00:03.6Z","message":"endpoint seen"}
{"fields":{"node":"a","service":"s","endpoint":"e2","version":"v1"},"level":"info","timestamp":"2026-01-01T00:00:03.7Z","message":"endpoint seen"}
{"fields":{"node":"a","service":"s","target":"v2"},"level":"info","timestamp":"2026-01-01T00:00:03.8Z","message":"rollout in force"}
{"fields":{"node":"a","service":"p","target":"v7"},"level":"info","timestamp":"2026-01-01T00:00:03.9Z","message":"rollout in force"}
{"fields":{"node":"a","request":"c","endpoint":"e1"},"level":"info","timestamp":"2026-01-01T00:00:05Z","message":"attempt failed"}
{"fields":{"node":"a","request":"c","reason":"budget-short-here"},"level":"info","timestamp":"2026-01-01T00:00:05.1Z","message":"call ended"}
{"fields":{"node":"c","request":"d"},"level":"info","timestamp":"2026-01-01T00:00:06Z","message":"call ended"}
{half
`

func TestCallLines(t *testing.T) {
	lines, err := logs.Read(strings.NewReader(sampleLogs))
	require.NoError(t, err)
	cases := []struct {
		request string
		want    []string
	}{
		{"c", []string{"a policy in force", "a accounts: store lost", "a endpoint seen", "a rollout in force", "a rollout in force", "a attempt failed", "a call ended"}},
		{"d", []string{"c call ended"}},
		{"unknown", nil},
	}
	for _, c := range cases {
		var got []string
		for _, l := range logs.CallLines(lines, c.request) {
			got = append(got, l.Node()+" "+l.Message)
		}
		assert.Equal(t, c.want, got)
	}
	assert.Equal(t, "v2", logs.CallLines(lines, "c")[2].Fields["version"], "version of the attempted endpoint")
	assert.EqualValues(t, 3, logs.CallLines(lines, "c")[0].Fields["policy"], "policy in force at the time of the call")
}
