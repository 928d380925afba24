// Package dialtest provides addresses for tests of connections.
package dialtest

import (
	"net"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"
)

// DownAddress returns a loopback address that refuses connections. Its port stays taken until the test
// ends, so that no other server of the test gets it.
func DownAddress(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}
