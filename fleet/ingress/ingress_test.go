package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/ingress"
)

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

func open(t *testing.T, h http.HandlerFunc) *ingress.Listener {
	t.Helper()
	return openOn(t, func(c net.Conn) net.Conn { return c }, h)
}

// wrappingListener wraps connections before the server gets them.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// openOn starts a listener whose connections are wrapped.
func openOn(t *testing.T, wrap func(net.Conn) net.Conn, h http.HandlerFunc) *ingress.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := ingress.NewListener(wrappingListener{listener, wrap}, h, discardLog())
	go func() { _ = l.Serve() }()
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l *ingress.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", l.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

// sendCall sends a call with a header of the given length and returns the status.
func sendCall(t *testing.T, c net.Conn, r *bufio.Reader, header int) int {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", header))
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

func TestNewConnectionsGetTheCurrentBounds(t *testing.T) {
	l := open(t, func(http.ResponseWriter, *http.Request) {})
	before, fromBefore := dial(t, l)
	assert.Equal(t, http.StatusOK, sendCall(t, before, fromBefore, 20_000))
	tighter := ingress.Bounds{HeaderBytes: 4 << 10, IdleTimeout: 100 * time.Millisecond}.WithDefaults(ingress.DefaultBounds)
	assert.True(t, l.SetBounds(tighter))
	assert.False(t, l.SetBounds(tighter), "nothing has changed")

	after, fromAfter := dial(t, l)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, sendCall(t, after, fromAfter, 20_000))
	idle, fromIdle := dial(t, l)
	assert.Equal(t, http.StatusOK, sendCall(t, idle, fromIdle, 10))
	_, err := fromIdle.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the idle timeout has passed")
	assert.Equal(t, http.StatusOK, sendCall(t, before, fromBefore, 20_000), "an older connection keeps its bounds")
}

func TestASlowHeaderTimesOut(t *testing.T) {
	l := open(t, func(http.ResponseWriter, *http.Request) { t.Error("the header was never complete") })
	l.SetBounds(ingress.Bounds{HeaderTimeout: 100 * time.Millisecond}.WithDefaults(ingress.DefaultBounds))
	c, r := dial(t, l)
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost:"))
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	assert.NoError(t, err, "the connection ends")
}

func TestDisableKeepAlivesClosesIdleConnectionsOfAllBounds(t *testing.T) {
	release := make(chan struct{})
	l := open(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X") == "xx" {
			<-release
		}
	})
	old, fromOld := dial(t, l)
	assert.Equal(t, http.StatusOK, sendCall(t, old, fromOld, 1))
	l.SetBounds(ingress.Bounds{HeaderBytes: 8 << 10}.WithDefaults(ingress.DefaultBounds))
	busy, fromBusy := dial(t, l)
	_, err := busy.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nX: xx\r\n\r\n"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	l.DisableKeepAlives()
	_, err = fromOld.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	resp, err := http.ReadResponse(fromBusy, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode, "a call in progress ends well")
	assert.True(t, resp.Close)
}

func TestCloseEndsServe(t *testing.T) {
	l, err := ingress.Listen("127.0.0.1:0", http.NotFoundHandler(), discardLog())
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- l.Serve() }()
	require.NoError(t, l.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}
