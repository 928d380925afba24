package relay

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// Failures are reported unless the settings disable that, and the log names the nodes that
// reported an avoided endpoint.
func TestFailuresAreReportedUnlessDisabled(t *testing.T) {
	for _, disable := range [][]string{nil, {failureReportsMechanism}} {
		lines := memory.New()
		logger := &log.Logger{Handler: lines, Level: log.InfoLevel}
		n := &Node{settings: Settings{Node: "a", Zone: "z", Disable: disable}, log: logger, picker: choice.NewPicker("z", choice.DefaultTuning())}
		g, err := peer.Listen("127.0.0.1:0", peer.NewRegistry(nil, peer.Member{Name: "a"}, store.NewHealth(), 0, logger), n.picker, nil, func() bool { return false })
		require.NoError(t, err)
		n.enableFailureReports(g)
		assert.Equal(t, disable == nil, n.suspicions != nil)
		assert.NoError(t, g.Close())
		if n.suspicions == nil {
			continue
		}
		now := time.Unix(1000, 0)
		all := []engine.Engine{{ID: "e", Born: 7, Service: "s", Zone: "z"}, {ID: "f", Service: "s", Zone: "z"}}
		n.suspicions.Engines(all)
		n.suspicions.Nodes(map[string]string{"a": "z", "b": "z"})
		n.suspicions.Observe(all[0].Incarnation(), suspicion.Interrupted, now)
		n.suspicions.Receive("b", []suspicion.Report{{Endpoint: "e", Born: 7, Reporters: []suspicion.Reporter{{Node: "b", AgeMs: 300, Interrupted: true}}}}, now)
		require.Len(t, lines.Entries, 1)
		fields := lines.Entries[0].Fields
		assert.Equal(t, "e", fields["endpoint"])
		assert.Equal(t, []string{"a", "b"}, fields["tellers"])
		assert.Equal(t, []int64{0, 300}, fields["ageMs"])
		assert.Equal(t, int64(1000), fields["forMs"])
	}
}
