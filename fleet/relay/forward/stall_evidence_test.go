package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// A call's duration during a stall of this process is no evidence on its endpoint, which would
// otherwise be regarded as slow.
func TestCallDuringStallIsNoEvidence(t *testing.T) {
	const takes = 150 * time.Millisecond
	slow := func(s script) script {
		return func(f *fleet, w http.ResponseWriter, r *http.Request) {
			time.Sleep(takes)
			s(f, w, r)
		}
	}
	for _, c := range []struct {
		name    string
		path    string
		script  script
		stalled bool
	}{
		{"plain, and it ran", "/repeat/", good("e"), false},
		{"plain", "/repeat/", good("e"), true},
		{"a stream, and it ran", "/stream/", events(0, 20, true), false},
		{"a stream", "/stream/", events(0, 20, true), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1000, slow(c.script))
			f.stalled.Store(c.stalled)
			expected := func() float64 {
				p, ok := f.picker.Pick(choice.Request{Engines: f.directory.Load().All(), Cap: 8, Now: time.Now()})
				require.True(t, ok)
				p.Close(choice.Neutral, time.Now())
				return p.FirstMs
			}
			before := expected()
			for range 3 {
				require.Equal(t, http.StatusOK, f.do(t, f.request(t, http.MethodGet, c.path, "")).status)
			}
			assert.Equal(t, c.stalled, expected() == before)
		})
	}
}
