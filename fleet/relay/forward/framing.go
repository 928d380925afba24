package forward

import "net/http"

// framing is what tells where the body of an answer ends.
type framing string

// Framings.
const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	unframed       framing = "connection" // the body ends with the connection
)

func framingOf(resp *http.Response) framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return framedByChunks
	case resp.ContentLength >= 0, resp.Request != nil && resp.Request.Method == http.MethodHead:
		return framedByLength
	default:
		return unframed
	}
}
