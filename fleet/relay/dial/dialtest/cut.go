package dialtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// CutServer answers HTTP requests with bytes as they stand, and ends the connection.
type CutServer struct {
	Answer string
	Kept   string        // answer to the first request of each connection, which stays open; "": none does
	Resets bool          // connections end by a reset
	Early  bool          // Answer is sent before a request is read
	Pause  time.Duration // between two bytes of Answer; 0: they come at once
	Calls  atomic.Int32

	listener net.Listener
}

// Start serves at a loopback port until Close.
func (s *CutServer) Start(t testing.TB) *CutServer {
	t.Helper()
	l := Listen(t)
	s.listener = l
	t.Cleanup(s.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

// Address returns the server's address.
func (s *CutServer) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *CutServer) Close() { _ = s.listener.Close() }

// WriteSlowly writes bytes one by one with pauses, or at once if the pause is 0.
func WriteSlowly(to io.Writer, text string, pause time.Duration) {
	if pause == 0 {
		_, _ = io.WriteString(to, text)
		return
	}
	for i := range len(text) {
		_, _ = io.WriteString(to, text[i:i+1])
		time.Sleep(pause)
	}
}

func (s *CutServer) serve(c *net.TCPConn) {
	defer c.Close()
	if s.Early {
		_, _ = io.WriteString(c, s.Answer)
	}
	reader := bufio.NewReader(c)
	for kept := s.Kept; ; kept = "" {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.Calls.Add(1)
		if kept != "" {
			_, _ = io.WriteString(c, kept)
			continue
		}
		if !s.Early {
			WriteSlowly(c, s.Answer, s.Pause)
		}
		if s.Resets {
			_ = c.SetLinger(0)
		}
		return
	}
}
