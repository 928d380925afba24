package ingress

import (
	"io"
	"net/http"
)

// trackCalls passes calls to a handler and records their progress at their connection. If the
// handler panics, as it does to abort an answer, the phase of the connection stays as it is.
func (l *Listener) trackCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connContextKey{}).(*conn)
		if !c.begin() {
			panic(http.ErrAbortHandler) // the handler has received nothing of the call
		}
		c.settleHead(r.Header)
		rw := &responseWriter{ResponseWriter: w, conn: c}
		if r.ContentLength != 0 {
			rw.body = &trackedBody{ReadCloser: r.Body}
			r = r.WithContext(r.Context()) // a copy: net/http keeps its own body
			r.Body = rw.body
		}
		if mayEndWithConnection(r) {
			c.setLinger(closesByReset) // also if the process is killed
		}
		h.ServeHTTP(rw, r)
		if !rw.headerWritten {
			rw.WriteHeader(http.StatusOK) // as net/http does
		}
		if mayEndWithConnection(r) {
			c.setLinger(closesInOrder)
		}
		c.end()
	})
}

// mayEndWithConnection reports whether the answer to a call may have neither a length nor chunks. Its
// caller takes an orderly close for the end of the answer.
func mayEndWithConnection(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) }

// responseWriter adds "Connection: close" to an answer whose header is written after a stop was
// announced, even if the call came before, so that the caller uses another connection next. It bounds
// the time in which net/http waits for the rest of a body that the handler did not read.
type responseWriter struct {
	http.ResponseWriter
	conn          *conn
	body          *trackedBody // nil: the call has none
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (rw *responseWriter) WriteHeader(status int) {
	if !rw.headerWritten && rw.conn.listener.closing.Load() {
		rw.Header().Set("Connection", "close")
	}
	if !rw.headerWritten && status >= http.StatusOK && rw.body != nil && !rw.body.ended {
		rw.conn.boundUnread()
	}
	rw.headerWritten = rw.headerWritten || status >= http.StatusOK
	rw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (rw *responseWriter) Write(b []byte) (int, error) {
	if !rw.headerWritten {
		rw.WriteHeader(http.StatusOK)
	}
	return rw.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the methods of the underlying writer.
func (rw *responseWriter) Unwrap() http.ResponseWriter { return rw.ResponseWriter }

// LimitBody limits a call's body like http.MaxBytesReader. It unwraps the writer first, since
// http.MaxBytesReader closes the connection of a too large body only with net/http's own writer.
func LimitBody(w http.ResponseWriter, r *http.Request, limit int64) io.ReadCloser {
	for {
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, r.Body, limit)
		}
		w = wrapped.Unwrap()
	}
}
