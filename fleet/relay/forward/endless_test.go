package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

// endless writes bytes without end, once for the first call, until the relay closes the connection.
type endless struct {
	head  string        // before them; CALL stands for the id of the call
	bytes string        // written again and again
	pause time.Duration // between two writes
	sound script        // for later calls

	began   atomic.Bool
	written atomic.Int64
	paused  atomic.Int64 // nanoseconds between its writes, in which there was nothing to read
}

func (e *endless) serve(f *fleet, w http.ResponseWriter, r *http.Request) {
	if e.began.Swap(true) {
		e.sound(f, w, r)
		return
	}
	connection, _, _ := w.(http.Hijacker).Hijack()
	defer connection.Close()
	_ = connection.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	_, err := io.WriteString(connection, strings.ReplaceAll(e.head, "CALL", r.Header.Get("Call")))
	for n := 0; err == nil; e.rest() {
		n, err = io.WriteString(connection, e.bytes)
		e.written.Add(int64(n))
	}
	f.left.Add(1)
}

func (e *endless) rest() {
	began := time.Now()
	time.Sleep(max(e.pause, fastPause))
	e.paused.Add(int64(time.Since(began)))
}

// streamFrom streams the events that a call lacks, up to a number of them.
func streamFrom(count int) script {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) {
		first := 0
		if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			first = last + 1
		}
		events(first, count, true)(f, w, r)
	}
}

// eventLines returns the lines of a stream's events, without comments and empty lines.
func eventLines(stream string) []string {
	return slices.DeleteFunc(strings.Split(stream, "\n"), func(line string) bool { return line == "" || strings.HasPrefix(line, ":") })
}

const (
	fastPause    = 200 * time.Microsecond // between two writes of 16 KiB
	socketBuffer = 64 << 10               // bytes on their way while nothing is read
	endlessMost  = 6 << 20                // bytes of one answer that are written until its connection is closed
	heldMost     = 6 << 20                // bytes that the calls of a node hold meanwhile
	plainHead    = "HTTP/1.1 200 OK\r\nCall: CALL\r\nContent-Type: text/plain\r\n"
	streamHead   = "HTTP/1.1 200 OK\r\nCall: CALL\r\nContent-Type: text/event-stream\r\n\r\n"
	twoEvents    = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
	fourEvents   = twoEvents + "id: 2\ndata: x\n\nid: 3\ndata: x\n\n"
)

// Guards against answers without end that fill a node's memory, or keep a call until its deadline though
// another endpoint could answer it.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	many := func(text string) string { return strings.Repeat(text, 16<<10/len(text)+1) }
	chunk := fmt.Sprintf("4000\r\n%s\r\n", strings.Repeat("x", 0x4000))
	slow := 20 * time.Millisecond
	plain, stream := good("whole"), streamFrom(4)
	cases := []struct {
		name  string
		from  *endless
		again string // path of a call that may run again
		once  string // path of one that may not; "": the case is not for it
		body  string // that the caller of the former gets
	}{
		{"a head without a line end", &endless{head: "HTTP/1.1 200 OK\r\nX: ", bytes: many("x"), sound: plain}, "/repeat/", "/single/", "whole"},
		{"head lines", &endless{head: "HTTP/1.1 200 OK\r\n", bytes: many("X: x\r\n"), sound: plain}, "/repeat/", "/single/", "whole"},
		{"informational heads", &endless{bytes: many("HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n"), sound: plain}, "/repeat/", "/single/", "whole"},
		{"slow head lines", &endless{head: "HTTP/1.1 200 OK\r\n", bytes: "X: x\r\n", pause: slow, sound: plain}, "/repeat/", "", "whole"},
		{"a chunk size", &endless{head: plainHead + "Transfer-Encoding: chunked\r\n\r\n", bytes: many("0"), sound: plain}, "/repeat/", "/single/", "whole"},
		{"chunks", &endless{head: plainHead + "Transfer-Encoding: chunked\r\n\r\n", bytes: chunk, sound: plain}, "/repeat/", "/single/", "whole"},
		{"trailers", &endless{head: plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", bytes: many("X: x\r\n"), sound: plain}, "/repeat/", "/single/", "whole"},
		{"a body without a length", &endless{head: plainHead + "\r\n", bytes: many("x"), sound: plain}, "/repeat/", "/single/", "whole"},
		{"a slow body without a length", &endless{head: plainHead + "\r\n", bytes: "x", pause: slow, sound: plain}, "/repeat/", "", "whole"},
		{"a slow body with a length", &endless{head: plainHead + "Content-Length: 1000000\r\n\r\n", bytes: "x", pause: slow, sound: plain}, "/repeat/", "", "whole"},
		{"a first event", &endless{head: streamHead, bytes: many("data: x"), sound: stream}, "/resume/", "/stream/", fourEvents},
		{"a first event in lines", &endless{head: streamHead, bytes: many("data: x\n"), sound: stream}, "/resume/", "/stream/", fourEvents},
		{"a slow first event", &endless{head: streamHead, bytes: "x", pause: slow, sound: stream}, "/resume/", "", fourEvents},
		{"a later event", &endless{head: streamHead + twoEvents, bytes: many("data: x"), sound: stream}, "/resume/", "/stream/", fourEvents},
		{"a slow later event", &endless{head: streamHead + twoEvents, bytes: "x", pause: slow, sound: stream}, "/resume/", "", fourEvents},
		{"empty lines", &endless{head: streamHead + twoEvents, bytes: many("\n"), sound: stream}, "/resume/", "/stream/", fourEvents},
		{"comments", &endless{head: streamHead + twoEvents, bytes: many(": x\n\n"), sound: stream}, "/resume/", "/stream/", fourEvents},
	}
	for _, c := range cases {
		for _, path := range []string{c.again, c.once} {
			if path == "" {
				continue
			}
			t.Run(c.name+" "+path, func(t *testing.T) {
				from := &endless{head: c.from.head, bytes: c.from.bytes, pause: c.from.pause, sound: c.from.sound}
				f := newFleet(t, 1000, from.serve, from.serve)
				began := time.Now()
				got := f.do(t, f.request(t, "POST", path, "", "Deadline", fmt.Sprint(lo.Ternary(from.pause == 0, 30000, 5000))))
				took := time.Since(began)
				if from.pause == 0 { // it is given up by its bytes, so that only the time in which there were any counts
					took -= time.Duration(from.paused.Load())
				}
				assert.Less(t, took, 2500*time.Millisecond, "%d bytes written", from.written.Load())
				assert.NotEqual(t, http.StatusGatewayTimeout, got.status)
				assert.Less(t, from.written.Load(), int64(endlessMost))
				assert.Less(t, f.memory.State().Peak, int64(heldMost))
				assert.Eventually(t, func() bool { return f.left.Load() == 1 }, time.Second, 10*time.Millisecond, "the connection is closed")
				if path == c.again {
					assert.NoError(t, got.err)
					assert.Equal(t, http.StatusOK, got.status)
					assert.Equal(t, eventLines(c.body), eventLines(got.body))
					return
				}
				assert.True(t, got.err != nil || got.status >= http.StatusInternalServerError, "a part must not look whole: %d %.100q", got.status, got.body)
				assert.Len(t, f.received(), 1, "a call that may run once")
			})
		}
	}
}

// Guards against long answers that are lost since they don't fit into the memory, or look whole though they broke off.
func TestLongAnswersArePassedOnAsTheyArrive(t *testing.T) {
	const long = 5 << 20
	chunk := strings.Repeat("x", 64<<10)
	answer := func(whole bool) script {
		return func(_ *fleet, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Call", r.Header.Get("Call"))
			w.Header().Set("Content-Length", strconv.Itoa(long))
			for sent := 0; sent < long && (whole || sent < long/2); sent += len(chunk) {
				_, _ = io.WriteString(w, chunk)
			}
		}
	}
	for _, whole := range []bool{true, false} {
		f := newFleet(t, 1000, answer(whole))
		got := f.do(t, f.request(t, "POST", "/single/", ""))
		assert.Equal(t, whole, got.err == nil && len(got.body) == long)
		assert.Less(t, f.memory.State().Peak, int64(1<<20))
	}
}

// Guards against answers that together exceed the memory for calls.
func TestAnswersTakeMemoryOfTheNode(t *testing.T) {
	f := newFleet(t, 1000, good(strings.Repeat("x", 300<<10)))
	for _, c := range []struct {
		bytes int64
		fits  bool
	}{{1 << 20, true}, {200 << 10, false}} {
		f.memory = memory.NewBudget(c.bytes)
		f.start(t, f.engines)
		got := f.do(t, f.request(t, "POST", "/single/", ""))
		assert.Equal(t, c.fits, got.status == http.StatusOK, got.status)
		assert.Eventually(t, func() bool { return f.memory.State().Held == 0 }, time.Second, time.Millisecond)
	}
}
