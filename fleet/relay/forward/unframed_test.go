package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// unframed answers with neither a length nor chunks, and ends with its connection: by a regular close
// or a reset.
func unframed(contentType, body string, resets bool) script {
	return func(_ *fleet, w http.ResponseWriter, r *http.Request) {
		connection, buffer, _ := w.(http.Hijacker).Hijack()
		defer connection.Close()
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: seal\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("Call"), contentType, body)
		_ = buffer.Flush()
		if resets {
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against answers that end with their connection and are taken for broken ones, and against broken ones that look whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const plain, stream = "text/plain", "text/event-stream"
	const events = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
	tests := []struct {
		name   string
		path   string
		script script
		whole  bool
		body   string // what the caller gets at least
	}{
		{"a plain answer", "/single/", unframed(plain, "whole", false), true, "whole"},
		{"a plain answer without a body", "/single/", unframed(plain, "", false), true, ""},
		{"a plain answer that is reset", "/single/", unframed(plain, "half", true), false, ""},
		{"a stream", "/stream/", unframed(stream, events, false), true, events},
		{"a stream that ends inside an event", "/stream/", unframed(stream, events+"id: 2\nda", false), false, ""},
		{"a stream that ends after the id of an event", "/stream/", unframed(stream, events+"id: 2\n", false), false, ""},
		{"a stream that is reset after an event", "/stream/", unframed(stream, events, true), false, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1000, c.script)
			got := f.do(t, f.request(t, "POST", c.path, ""))
			if !c.whole {
				assert.True(t, got.err != nil || got.status >= http.StatusInternalServerError, "%+v", got)
				return
			}
			assert.NoError(t, got.err)
			assert.Equal(t, http.StatusOK, got.status)
			assert.Equal(t, c.body, got.body)
		})
	}
}

// Guards against a stream without a length that is taken for complete where it may be resumed.
func TestAnUnframedStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	for range 20 { // until the endpoint that breaks off is chosen first
		f := newFleet(t, 1000, unframed("text/event-stream", "id: 0\ndata: x\n\nid: 1\nda", false), events(1, 4, true))
		got := f.do(t, f.request(t, "POST", "/resume/", ""))
		if f.received()[0].engine == "e0" {
			assert.NoError(t, got.err)
			assert.Equal(t, "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", got.body)
			return
		}
	}
	assert.Fail(t, "no stream broke off")
}
