package forward

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A connection in use must not be closed because another one fell silent: a call that may run only
// once would be lost. The transport makes a connection idle before it reports that, and another call
// may have taken it by then.
func TestOnlyIdleConnectionsAreDropped(t *testing.T) {
	took, idle := true, false
	cases := []struct {
		name    string
		uses    []bool // what is reported of it, in order
		dropped int
	}{
		{"no call has used it yet", nil, 0},
		{"a call uses it", []bool{took}, 0},
		{"it is idle", []bool{took, idle}, 1},
		{"it was used again and is idle", []bool{took, idle, took, idle}, 1},
		{"another call took it before its idleness was reported", []bool{took, took, idle}, 0},
		{"and is idle, too", []bool{took, took, idle, idle}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			here, there := net.Pipe()
			defer there.Close()
			p := newPool()
			conn := p.add(here, "192.0.2.1:80")
			var calls []*connUse
			for _, busy := range c.uses {
				if busy {
					calls = append(calls, startUse(conn))
					continue
				}
				calls[0].release()
				calls = calls[1:]
			}
			assert.Equal(t, c.dropped, p.dropIdle("192.0.2.1:80"))
			go func() { _, _ = io.ReadFull(there, make([]byte, 1)) }()
			_, err := conn.Write([]byte("x"))
			assert.Equal(t, c.dropped > 0, err != nil, "only a dropped connection is closed")
		})
	}
}
