package link_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/link"
)

func TestUtilizationSinceTheLastReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		meter := link.NewMeter(8) // 1,000,000 bytes a second
		c := meter.Conn(near)
		reader := meter.Reader()
		go func() {
			_, _ = far.Write(make([]byte, 300_000))
			_, _ = io.Copy(io.Discard, far)
		}()
		_, err := io.ReadFull(c, make([]byte, 300_000))
		require.NoError(t, err)
		_, err = c.Write(make([]byte, 100_000))
		require.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
		u := reader.Read()
		assert.InDelta(t, 0.6, u.In, 1e-9)
		assert.InDelta(t, 0.2, u.Out, 1e-9)
		assert.InDelta(t, 0.6, u.Max(), 1e-9)
		time.Sleep(time.Second)
		assert.Zero(t, reader.Read().Max())
		require.NoError(t, c.Close())
	})
}

func TestLinkOfUnknownCapacityIsNeverFull(t *testing.T) {
	meter := link.NewMeter(0)
	assert.False(t, meter.Known())
	assert.Zero(t, meter.Reader().Read().Max())
}

// CloseWrite must reach the wrapped connection: otherwise callers get a reset in place of a refusal.
func TestCloseWriteReachesTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_ = link.NewMeter(1).Conn(c).CloseWrite()
		}
	}()
	c, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
