package dialtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// EarlyServer answers uploads with bytes as they stand before it has read them, and resets the connection
// while they are still being written. Other requests get an empty answer.
type EarlyServer struct {
	Answer  string // CALL stands for the request's header Call
	Reads   int64  // bytes of an upload that are read before it is answered
	InOrder bool   // connections end in order, and what is left of the upload is read
	Before  func() // called before an upload is answered; nil: nothing is
	Calls   atomic.Int32

	listener net.Listener
}

// receiveBuffer is the socket buffer for an upload, in bytes: more of it is not taken unread.
const receiveBuffer = 64 << 10

// Start serves at a loopback port until the test ends.
func (s *EarlyServer) Start(t testing.TB) *EarlyServer {
	t.Helper()
	s.listener = Listen(t)
	t.Cleanup(func() { _ = s.listener.Close() })
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

// Address returns the server's address.
func (s *EarlyServer) Address() string { return s.listener.Addr().String() }

func (s *EarlyServer) serve(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetReadBuffer(receiveBuffer)
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if req.Method == http.MethodGet {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	s.Calls.Add(1)
	if s.Before != nil {
		s.Before()
	}
	_, _ = io.CopyN(io.Discard, req.Body, s.Reads)
	_, _ = io.WriteString(c, strings.ReplaceAll(s.Answer, "CALL", req.Header.Get("Call")))
	if !s.InOrder {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, req.Body)
}
