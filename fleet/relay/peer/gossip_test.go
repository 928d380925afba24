package peer

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// gossipOf is the gossip of one member of a fleet, without a socket.
func gossipOf(self string, all []Member) *Gossip {
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	r := NewRegistry(nil, Member{Name: self}, store.NewHealth(), 0, quiet)
	for _, m := range all {
		r.byName[m.Name] = m
	}
	r.publish()
	return &Gossip{registry: r, heard: map[string]heard{}}
}

// In a round of beats a node that draws for others tells every peer once and
// never many at a time; others tell those now and then, with what they have.
func TestListenersOfARound(t *testing.T) {
	cases := []struct {
		name     string
		fleet    int
		writes   bool
		most     int // peers in one beat
		told     int // of the peers in a round
		withFree bool
	}{
		{"a small fleet", 8, true, 7, 7, false},
		{"a large fleet, one that draws for others", 73, true, 15, 72, true},
		{"a large fleet, another", 73, false, 8 + randomOthers, 8, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			all := members(c.fleet)
			writers := Writers(all, func() []Member { return all })
			self, ok := lo.Find(all, func(m Member) bool { return writers[m.Name] == c.writes })
			assert.True(t, ok)
			gossip := gossipOf(self.Name, all)
			told := map[string]int{}
			for range budgetEvery * roundBeats {
				gossip.number++
				to, budgets := gossip.listeners(writers)
				assert.LessOrEqual(t, len(to), c.most)
				if c.withFree && len(to) > 0 {
					assert.True(t, budgets)
				}
				for _, m := range to {
					assert.NotEqual(t, self.Name, m.Name)
					told[m.Name]++
				}
			}
			assert.GreaterOrEqual(t, len(told), c.told)
			for name := range writers {
				assert.True(t, name == self.Name || told[name] >= 3, fmt.Sprint(name, " is told ", told[name], " times"))
			}
		})
	}
}

// A message that exceeds a datagram goes without what is only a help.
func TestMessagesFitADatagram(t *testing.T) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer socket.Close()
	g := gossipOf("a", members(2))
	g.socket, err = net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer g.socket.Close()
	reads := make([]choice.Read, 2000)
	for i := range reads {
		reads[i] = choice.Read{Endpoint: "i-0123456789", Parts: []string{"part"}, Tokens: []int64{1}}
	}
	g.send(socket.LocalAddr().String(), message{Node: "a", Number: 7, Reads: reads})
	buffer := make([]byte, 2*maxMessage)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, _, err := socket.ReadFrom(buffer)
	require.NoError(t, err)
	var m message
	require.NoError(t, json.Unmarshal(buffer[:n], &m))
	assert.Equal(t, uint64(7), m.Number)
	assert.Empty(t, m.Reads)
}
