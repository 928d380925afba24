package ingress

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

// Errors of ReadBody. Nothing of the call has been passed on, and its connection closes with its answer.
var (
	ErrNoMemory = errors.New("the node has no memory for the body")
	ErrBodyLate = errors.New("the body did not come in time")
)

// LeaseOf returns the lease of a call's connection, or a new one of the budget for a connection that a
// Listener did not accept. What a call takes of it, it returns; the function that is returned is called last.
func LeaseOf(ctx context.Context, b *memory.Budget) (l *memory.Lease, end func()) {
	if c, ok := ctx.Value(connContextKey{}).(*conn); ok && c.listener.memory == b {
		return c.lease, func() { c.lease.SetOwner("") }
	}
	l = b.Lease(nil)
	return l, l.End
}

// ReadBody reads the whole body of a call, of at most limit bytes, within some time, and reserves its
// memory. It returns what it reserved, also with an error: ErrNoMemory, ErrBodyLate, or an
// *http.MaxBytesError beyond the limit.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration, l *memory.Lease) (body []byte, reserved int64, err error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	deadline := http.NewResponseController(w)
	_ = deadline.SetReadDeadline(time.Now().Add(within))
	if c, ok := r.Context().Value(connContextKey{}).(*conn); ok {
		c.beginBody()
		defer c.endBody()
	}
	body, reserved, err = memory.ReadAll(LimitBody(w, r, limit), r.ContentLength, limit, l)
	switch {
	case l.Ended(), errors.Is(err, memory.ErrFull):
		err = ErrNoMemory
	case err == nil:
		_ = deadline.SetReadDeadline(time.Time{})
		return body, reserved, nil
	case errors.Is(err, memory.ErrTooLong):
		err = &http.MaxBytesError{Limit: limit}
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrBodyLate
	}
	w.Header().Set("Connection", "close") // also keeps net/http from reading the rest before it answers
	return nil, reserved, err
}

func (c *conn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodySince = time.Now()
}

func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodySince = time.Time{}
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}
