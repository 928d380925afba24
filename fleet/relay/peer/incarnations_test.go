package peer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Messages must name the incarnation of the endpoint that they are about if its time of birth
// is known, or a report on an earlier one would apply to it. Without a birth messages must not
// change.
func TestMessagesNameTheIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		born int64
		want string // of the digest and of the read
	}{
		{"known birth", 1764723600123, `"b":1764723600123`},
		{"unknown birth", 0, ``},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := choice.NewPicker("z", choice.DefaultTuning())
			e := engine.Engine{ID: "i-1", Born: c.born, Service: "s", Slots: 8}
			p, ok := sender.Pick(choice.Request{
				Call: call.Call{ID: "c", PromptMax: 60, Parts: []call.Part{{ID: "x", Tokens: 50}, {ID: "y", Tokens: 10}}}, Engines: []engine.Engine{e},
				Cap: 9, Now: now, Profile: choice.Profile{Service: "s", Tokens: true, Capacity: 5000},
			})
			require.True(t, ok)
			p.First(time.Millisecond, now)
			data, err := encode(message{Node: "n", Number: 1, Digests: sender.Digests(), Reads: sender.Reads("", now)})
			require.NoError(t, err)
			var m message
			require.NoError(t, json.Unmarshal(data, &m))
			assert.Equal(t, c.born, m.Digests["i-1"].Born)
			require.Len(t, m.Reads, 1)
			assert.Equal(t, c.born, m.Reads[0].Born)
			if c.want == "" {
				assert.NotContains(t, string(data), `"b":`)
			}
		})
	}
}

// Times of birth must not make messages exceed a datagram: the reads are dropped first, and
// then the endpoints with the least in flight.
func TestBirthsKeepMessagesBounded(t *testing.T) {
	cases := []struct {
		endpoints      int
		digests, reads int // sent; of 128 reads
	}{{80, 80, 128}, {1000, maxDigests, 0}}
	for _, c := range cases {
		m := message{Node: "n", Number: 1, Digests: map[string]choice.Digest{}}
		for i := range c.endpoints {
			m.Digests[fmt.Sprintf("i-%08x", i)] = choice.Digest{InFlight: 40, Waiting: 100_000, Paused: 0.25, Streams: 19.5, Born: 1764723600123}
		}
		for i := range 128 {
			m.Reads = append(m.Reads, choice.Read{Endpoint: fmt.Sprintf("i-%08x", i), Born: 1764723600123, Parts: []string{"5c1e07a2", "91bd3f06"}, Tokens: []int64{800, 410}})
		}
		data, err := encode(m)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(data), maxMessage)
		var got message
		require.NoError(t, json.Unmarshal(data, &got))
		assert.Len(t, got.Digests, c.digests, c.endpoints)
		assert.Equal(t, c.reads, len(got.Reads), c.endpoints)
	}
}
