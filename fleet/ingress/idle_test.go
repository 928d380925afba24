package ingress_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/ingress"
)

// A stream whose header was sent before the stop has no "Connection: close". Its connection must
// be closed after the answer all the same, so that the caller's next call goes elsewhere.
func TestAStreamOlderThanAStopClosesItsConnection(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	l := open(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-release
	})
	c, r := dial(t, l)
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	<-begun
	l.DisableKeepAlives()
	close(release)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Zero(t, l.Busy())
}

// blockedIdleConn blocks the server when it begins to wait for the next call.
type blockedIdleConn struct {
	net.Conn
	gate *gate
}

func (c blockedIdleConn) SetReadDeadline(at time.Time) error {
	if time.Until(at) > ingress.DefaultBounds.IdleTimeout/2 {
		c.gate.blocked <- struct{}{}
		<-c.gate.release
	}
	return c.Conn.SetReadDeadline(at)
}

// A pipelined call has been read by the server while the connection counts as idle. If a stop
// closes the connection then, the call must not reach the handler.
func TestAPipelinedCallIsNotBegunOnAClosedConnection(t *testing.T) {
	var begun atomic.Int64
	g := newGate()
	l := openOn(t, func(c net.Conn) net.Conn { return blockedIdleConn{c, g} }, func(http.ResponseWriter, *http.Request) { begun.Add(1) })
	c, r := dial(t, l)
	const call = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err := c.Write([]byte(call + call))
	require.NoError(t, err)
	<-g.blocked
	assert.Equal(t, 1, l.DisableKeepAlives())
	close(g.release)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	time.Sleep(100 * time.Millisecond) // long enough for a call that begins in spite of the close
	assert.EqualValues(t, 1, begun.Load())
}
