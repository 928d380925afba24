package ingress

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a declined connection of which anything is read, or that waits.
func TestADeclinedConnectionIsClosedUnread(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var admits atomic.Bool
	var calls atomic.Int32
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	l := NewListener(inner, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }), quiet).WithAdmission(admits.Load)
	go func() { _ = l.Serve() }()
	defer l.Close()
	for _, admitted := range []bool{false, true} {
		admits.Store(admitted)
		c, err := net.Dial("tcp4", l.Address().String())
		require.NoError(t, err)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		answer, _ := io.ReadAll(c)
		assert.Equal(t, admitted, len(answer) > 0)
		_ = c.Close()
	}
	assert.EqualValues(t, 1, calls.Load())
}
