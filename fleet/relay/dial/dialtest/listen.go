package dialtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Listen listens at a random loopback address. Once a listener at 127.0.0.1 is closed, another test may get
// its port, and the calls that are still sent there.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// NewServer starts an HTTP server as httptest.NewServer does, at an address of Listen.
func NewServer(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	s := &httptest.Server{Listener: Listen(t), Config: &http.Server{Handler: h}}
	s.Start()
	return s
}
