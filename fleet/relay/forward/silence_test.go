package forward_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// A silent endpoint keeps a repeatable call for a multiple of its expected time, and any other call
// until its deadline. The clock is synthetic: only the relay's timers take time.
func TestRepeatableCallLeavesASilentEndpoint(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		slow   time.Duration // of each connect
		status int
		runs   int
		took   time.Duration
	}{
		{"may be repeated", "/repeat/", 0, 200, 2, 300 * time.Millisecond},
		{"may be resumed", "/resume/", 0, 200, 2, 300 * time.Millisecond},
		{"may run once", "/once/", 0, 504, 1, 1200 * time.Millisecond},
		{"may be repeated, slow to reach", "/repeat/", 290 * time.Millisecond, 200, 2, 880 * time.Millisecond},
		{"may run once, slow to reach", "/once/", 290 * time.Millisecond, 504, 1, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var once sync.Once
				first := func(f *fleet, w http.ResponseWriter, r *http.Request) {
					silent := false
					once.Do(func() { silent = true })
					if silent {
						hang(f, w, r)
						return
					}
					events(0, 3, true)(f, w, r)
				}
				network := newPipeNetwork()
				network.connecting = c.slow
				f := newFleetOn(t, network, 1000, first, first)
				began := time.Now()
				got := f.do(t, f.request(t, "POST", c.path, "body", "Deadline", "1200"))
				assert.Equal(t, c.status, got.status)
				assert.Equal(t, c.took, time.Since(began))
				assert.Len(t, f.received(), c.runs)
			})
		})
	}
}

// silenceableListener is a listener whose open connections can be silenced without a reset, while new
// ones work.
type silenceableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silenceableConn
}

type silenceableConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (m *silenceableListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	one := &silenceableConn{Conn: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, one)
	return one, nil
}

// silence makes all open connections discard what they receive and returns their number.
func (m *silenceableListener) silence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(m.conns)
}

func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent || err != nil {
			return n, err
		}
	}
}

// When one connection falls silent, the idle ones to the same address are dropped. They are as old
// and otherwise cost a call each.
func TestASilentConnectionCostsOneCall(t *testing.T) {
	const together = 4
	var gate sync.WaitGroup
	var held atomic.Bool
	held.Store(true)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if held.Load() {
			gate.Done()
			gate.Wait() // until all connections are open
		}
		w.Header().Set("Call", r.Header.Get("Call"))
		_, _ = io.WriteString(w, "answer")
	})
	server := httptest.NewUnstartedServer(handler)
	listener := &silenceableListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	f := &fleet{policy: testPolicy(), allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
	f.start(t, []engine.Engine{{ID: "e0", Service: "s", Address: server.Listener.Addr().String(), Slots: 8}})
	gate.Add(together)
	var calls sync.WaitGroup
	for i := range together {
		calls.Go(func() {
			assert.Equal(t, 200, f.do(t, f.request(t, "POST", "/repeat/", "body", "Call", "c"+strconv.Itoa(i))).status)
		})
	}
	calls.Wait()
	held.Store(false)
	require.Equal(t, together, listener.silence())
	failed := 0
	for i := range together {
		if f.do(t, f.request(t, "POST", "/repeat/", "body", "Call", "d"+strconv.Itoa(i), "Deadline", "1000")).status != 200 {
			failed++
		}
	}
	assert.Equal(t, 1, failed)
}
