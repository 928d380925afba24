package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// errMaySendTwice ends an attempt that the transport was about to send again although the endpoint may
// have received it.
var errMaySendTwice = errors.New("the connection ended, and the endpoint may have received the request")

// WriteCounter is a connection that counts the bytes written to it. The network's connections should be
// of this kind: only then does a request leave a dead connection of which nothing was written.
type WriteCounter interface{ Written() int64 }

// newOnceRequest returns a request that reaches an endpoint once. The transport by itself sends a
// request again on another connection if its method may be repeated by the standard, which not every
// service allows.
func newOnceRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	var used WriteCounter
	var before int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if used, _ = info.Conn.(WriteCounter); used != nil {
			before = used.Written()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil || !isRepeatedByTransport(method) {
		return req, err
	}
	again := func() io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
	req.Body = again() // also of an empty body, so that GetBody is asked
	req.GetBody = func() (io.ReadCloser, error) {
		if used == nil || used.Written() > before {
			return nil, errMaySendTwice
		}
		return again(), nil
	}
	return req, nil
}

func isRepeatedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
