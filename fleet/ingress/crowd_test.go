package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/memory"
)

// bodyTime is how long the calls of these tests may take to bring their bodies.
const bodyTime = 200 * time.Millisecond

// bodyHandler reads the body of each call within some time and answers with its outcome.
func bodyHandler(b *memory.Budget, within time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		l, end := ingress.LeaseOf(r.Context(), b)
		defer end()
		body, reserved, err := ingress.ReadBody(w, r, 1<<20, within, l)
		defer l.Return(reserved)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, err.Error())
			return
		}
		_, _ = w.Write(body)
	}
}

// openBounded serves calls from a budget on at most some connections.
func openBounded(t *testing.T, bytes int64, conns int, within time.Duration) (*ingress.Listener, *memory.Budget) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	b := memory.NewBudget(bytes)
	l := ingress.NewListener(inner, bodyHandler(b, within), discardLog()).WithMemory(b).WithMaxConns(conns)
	go func() { _ = l.Serve() }()
	t.Cleanup(func() { _ = l.Close() })
	return l, b
}

// begin sends the beginning of a call on a new connection.
func begin(t *testing.T, l *ingress.Listener, text string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp4", l.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

// outcome reads an answer, and whether its connection is closed after it.
func outcome(t *testing.T, r *bufio.Reader) (status int, body string, closes bool) {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text), resp.Close
}

const unfinished = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"

// Guards against a call that is never answered since its body does not come, or that is answered only
// once it has: its deadline passes, or it is refused before the body is read.
func TestACallWhoseBodyDoesNotComeIsAnswered(t *testing.T) {
	cases := []struct {
		name, text string
		status     int
		body       string
	}{
		{"in chunks", unfinished, http.StatusServiceUnavailable, ingress.ErrBodyLate.Error()},
		{"with a length", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nbody", http.StatusServiceUnavailable, ingress.ErrBodyLate.Error()},
		{"refused, in chunks", strings.Replace(unfinished, "/x", "/refused", 1), http.StatusUnauthorized, ""},
		{"refused, with a length", "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nbody", http.StatusUnauthorized, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, b := openBounded(t, 1<<20, 0, bodyTime)
			_, r := begin(t, l, c.text)
			status, body, closes := outcome(t, r)
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.body, body)
			assert.True(t, closes)
			assert.Eventually(t, func() bool { return l.Open() == 0 && b.State().Held == 0 }, waitTimeout, time.Millisecond)
		})
	}
}

// Guards against a connection that is closed after a refusal although the body came, or a whole call whose
// caller counts as gone once the time for bodies has passed.
func TestWholeCallsKeepTheirConnections(t *testing.T) {
	l, _ := openBounded(t, 1<<20, 0, bodyTime)
	c, r := begin(t, l, "")
	for _, path := range []string{"/x", "/refused", "/x"} {
		_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		require.NoError(t, err)
		_, _, closes := outcome(t, r)
		assert.False(t, closes, path)
		time.Sleep(2 * bodyTime)
	}
}

// Guards against callers that are refused for want of memory or connections, which others hold who have not
// sent what they announced.
func TestCallersThatHoldBackMakeRoom(t *testing.T) {
	const crowd = 20
	for name, text := range map[string]string{"bodies": unfinished, "heads": "POST /x HTTP/1.1\r\nHost: h\r\n", "nothing": ""} {
		for bound, open := range map[string]func() (*ingress.Listener, *memory.Budget){
			"memory":      func() (*ingress.Listener, *memory.Budget) { return openBounded(t, crowd*30<<10, 0, waitTimeout) },
			"connections": func() (*ingress.Listener, *memory.Budget) { return openBounded(t, 0, crowd, waitTimeout) },
		} {
			t.Run(name+", "+bound, func(t *testing.T) {
				l, b := open()
				for range 3 * crowd {
					begin(t, l, text)
				}
				time.Sleep(300 * time.Millisecond) // as long as an unfinished call is spared
				served := false
				for range 20 {
					c, err := net.Dial("tcp4", l.Address().String())
					require.NoError(t, err)
					_ = c.SetDeadline(time.Now().Add(waitTimeout))
					_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					_ = c.Close()
					if served = err == nil && resp.StatusCode == http.StatusOK; served {
						break
					}
				}
				assert.True(t, served)
				if bound := b.State().Bound; bound > 0 {
					assert.LessOrEqual(t, b.State().Peak, bound)
				}
			})
		}
	}
}

// Guards against answers that are held for ever for callers who don't read them.
func TestACallerThatReadsNothingLosesItsConnection(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	long, failed := make([]byte, 64<<20), make(chan error, 1)
	l := ingress.NewListener(inner, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(long)
		failed <- err
	}), discardLog()).WithUnreadTimeout(bodyTime)
	go func() { _ = l.Serve() }()
	defer l.Close()
	_, _ = begin(t, l, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case err := <-failed:
		assert.Error(t, err)
	case <-time.After(waitTimeout):
		assert.Fail(t, "the answer is still being written")
	}
	assert.Eventually(t, func() bool { return l.Open() == 0 }, waitTimeout, time.Millisecond)
}

// Guards against a refusal that a reset discards, since its caller still sends the body.
func TestACallerThatStillSendsGetsItsRefusal(t *testing.T) {
	l, _ := openBounded(t, 1<<20, 0, bodyTime)
	l.WithLingerTime(waitTimeout)
	c, r := begin(t, l, "POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	stop := time.After(700 * time.Millisecond) // longer than the node waits for the body
	for sending := true; sending; {
		select {
		case <-stop:
			sending = false
		default:
			_, err := io.WriteString(c, "1\r\nx\r\n")
			require.NoError(t, err)
			time.Sleep(5 * time.Millisecond)
		}
	}
	status, _, _ := outcome(t, r)
	assert.Equal(t, http.StatusUnauthorized, status)
}

// Guards against an evicted call that is not answered, or whose answer does not say that it has not run.
func TestAnEvictedCallIsRefused(t *testing.T) {
	l, b := openBounded(t, 100<<10, 0, waitTimeout)
	_, r := begin(t, l, unfinished)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, body, closes := outcome(t, r)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Equal(t, ingress.ErrNoMemory.Error(), body)
		assert.True(t, closes)
	}()
	other := b.Lease(nil)
	defer other.End()
	require.Eventually(t, func() bool { return b.State().WaitingBytes > 10<<10 }, waitTimeout, time.Millisecond)
	assert.True(t, other.Take(90<<10))
	<-answered
	assert.Equal(t, int64(1), b.State().Evicted)
}
