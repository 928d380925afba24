package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/dial/dialtest"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/tunnel"
)

// rawCaller is a caller's connection to the node's own server.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fleet) behindIngress(t *testing.T) *ingress.Listener {
	t.Helper()
	l, err := ingress.Listen("127.0.0.1:0", f.handler, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	require.NoError(t, err)
	go func() { _ = l.Serve() }()
	t.Cleanup(func() { _ = l.Abort() })
	return l
}

func callRaw(t *testing.T, l *ingress.Listener) rawCaller {
	t.Helper()
	c, err := net.Dial("tcp4", l.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return rawCaller{c, bufio.NewReader(c)}
}

// send sends a call and returns the answer once its head has come.
func (c rawCaller) send(t *testing.T, proto, path, header string) *http.Response {
	t.Helper()
	_, err := io.WriteString(c, "POST "+path+" "+proto+"\r\nHost: h\r\nCall: c1\r\nKey: k\r\n"+header+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	return resp
}

// callerKind is how a caller speaks HTTP.
type callerKind struct{ name, proto, header string }

var callerKinds = []callerKind{
	{"keeps its connection", "HTTP/1.1", ""},
	{"closes its connection", "HTTP/1.1", "Connection: close\r\n"},
}

// Guards against a broken stream that looks complete, after a whole one on the same connection where that is kept.
func TestABrokenStreamLooksCompleteToNoCaller(t *testing.T) {
	for _, c := range callerKinds {
		t.Run(c.name, func(t *testing.T) { testBrokenStream(t, c) })
	}
}

// testBrokenStream has a caller get a whole stream and then a broken one.
func testBrokenStream(t *testing.T, c callerKind) {
	t.Helper()
	f := newFleet(t, 1000, threeInTurn(text(wholeStream, true), text(eventsText(0, 3), false))...)
	l := f.behindIngress(t)
	caller := callRaw(t, l)
	resp := caller.send(t, c.proto, "/stream/", c.header)
	body, err := io.ReadAll(resp.Body)
	assert.NoError(t, err)
	assert.Equal(t, wholeStream, string(body))
	if resp.Close {
		caller = callRaw(t, l)
	}
	body, err = io.ReadAll(caller.send(t, c.proto, "/stream/", c.header).Body)
	assert.Error(t, err, "%q", body)
	_, err = caller.reader.ReadByte()
	assert.Error(t, err, "the connection is closed")
}

// Guards against a stream that a node ends with its own server and that looks complete.
func TestAStreamCutByTheNodesServerNeverLooksComplete(t *testing.T) {
	ends := []struct {
		name string
		end  func(l *ingress.Listener)
	}{
		{"it aborts", func(l *ingress.Listener) { _ = l.Abort() }},
		{"it closes", func(l *ingress.Listener) { _ = l.Close() }},
	}
	for _, c := range callerKinds {
		for _, e := range ends {
			t.Run(c.name+"/"+e.name, func(t *testing.T) {
				f := newFleet(t, 1000, eventsThenHang(3))
				l := f.behindIngress(t)
				resp := callRaw(t, l).send(t, c.proto, "/stream/", c.header)
				_, err := io.ReadFull(resp.Body, make([]byte, len(eventsText(0, 3))))
				require.NoError(t, err)
				e.end(l)
				_, err = io.ReadAll(resp.Body)
				assert.Error(t, err)
			})
		}
	}
}

// between is a node that opens tunnels to one endpoint, and whose connections a test may end.
type between struct {
	net.Listener
	endpoint engine.Engine
	near     chan net.Conn
}

func (b *between) IsNode(tunnel.Identity) bool           { return true }
func (b *between) Endpoint(string) (engine.Engine, bool) { return b.endpoint, true }
func (b *between) Declines(string) string                { return "" }
func (b *between) Vouches(string) bool                   { return true }
func (b *between) Meter(c net.Conn) net.Conn             { return c }

// Accept implements net.Listener.
func (b *between) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err == nil {
		b.near <- c
	}
	return c, err
}

// dialBetween opens tunnels through a node.
type dialBetween struct {
	fakeTunnels
	dialer *tunnel.Dialer
}

func (d *dialBetween) Dial(ctx context.Context, e engine.Engine) (net.Conn, string, error) {
	return d.dialer.Dial(ctx, e)
}

// Guards against a stream without a length that looks complete as the node in between ends.
func TestAnUnframedStreamThroughANodeThatEndsNeverLooksComplete(t *testing.T) {
	ends := []struct {
		name string
		end  func(c *net.TCPConn)
	}{
		{"its sockets are closed in order", func(c *net.TCPConn) { _ = c.Close() }},
		{"its sockets are reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
	}
	for _, c := range ends {
		t.Run(c.name, func(t *testing.T) {
			listener := dialtest.Listen(t)
			b := &between{Listener: listener, near: make(chan net.Conn, 1)}
			f := newFleet(t, 1000, writes(byClose, eventsText(0, 3), 0, turnsMute))
			b.endpoint = f.engines[0]
			server := &http.Server{Handler: tunnel.NewServer(b, memory.NewBudget(0), &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, nil)}
			go func() { _ = server.Serve(b) }()
			t.Cleanup(func() { _ = server.Close() })
			node := tunnel.Node{Name: "n2", Address: listener.Addr().String()}
			d := &dialBetween{dialer: tunnel.NewDialer(tunnel.Identity{}, func(engine.Engine) []tunnel.Node { return []tunnel.Node{node} })}
			d.needed.Store(true)
			f.connections.WithTunnels(d)
			resp, err := f.Client().Do(f.request(t, "POST", "/stream/", ""))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadFull(resp.Body, make([]byte, len(eventsText(0, 3))))
			require.NoError(t, err)
			c.end((<-b.near).(*net.TCPConn))
			_, err = io.ReadAll(resp.Body)
			assert.Error(t, err)
		})
	}
}
