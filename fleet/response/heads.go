package response

import (
	"bytes"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrChunks means that an answer below HTTP/1.1, which has no chunks, names an encoding of its transfer.
// net/http ignores that, so that raw chunks would be the body.
var ErrChunks = errors.Mark(errors.New("the answer is below HTTP/1.1 and names an encoding of its transfer"), ErrFraming)

// ErrFolded means that a line of an answer's head begins with a blank. net/http takes it for more of the line
// before, so that a field which tells where the body ends would not count.
var ErrFolded = errors.Mark(errors.New("a line of the answer's head is folded"), ErrFraming)

// Heads looks for heads among what is read from a client's connection, since net/http drops or joins the lines
// that matter in an answer. It is safe for one reader beside one writer.
type Heads struct {
	asked   atomic.Bool // something was written since the last head
	place   place
	line    []byte // start of a line that is not complete
	old     bool   // the head is below HTTP/1.1
	interim bool   // another head follows
}

// place is where in an answer the next byte is.
type place int

const (
	inStatus place = iota // where a connection begins, also if its other end writes first
	inLines
	inBody
)

// lineStart is how much of a line is looked at, in bytes.
const lineStart = 32

// Wrote records that something was written, which a head may answer.
func (h *Heads) Wrote() { h.asked.Store(true) }

// Read looks at the next bytes. After an error none of them may be used.
func (h *Heads) Read(data []byte) error {
	if len(data) > 0 && h.asked.Swap(false) && h.place == inBody {
		h.place = inStatus
	}
	for h.place != inBody {
		start, rest, complete := bytes.Cut(data, []byte("\n"))
		h.line = append(h.line, start[:min(len(start), lineStart-len(h.line))]...)
		if h.place == inStatus && !mayBeStatus(h.line) {
			h.place, h.line = inBody, h.line[:0]
			return nil
		}
		if !complete {
			return nil
		}
		if err := h.endLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, data = h.line[:0], rest
	}
	return nil
}

func (h *Heads) endLine(line []byte) error {
	switch {
	case h.place == inStatus:
		h.beginHead(line)
	case len(line) == 0 && h.interim:
		h.place = inStatus
	case len(line) == 0:
		h.place = inBody
	case line[0] == ' ', line[0] == '\t':
		return ErrFolded
	case h.old && isTransferEncoding(line):
		return ErrChunks
	}
	return nil
}

// mayBeStatus reports whether a line begins as the first one of a head. The rest of a body that comes while
// its request is still written does not.
func mayBeStatus(line []byte) bool {
	const protocol = "HTTP/"
	n := min(len(line), len(protocol))
	return string(line[:n]) == protocol[:n]
}

func (h *Heads) beginHead(status []byte) {
	version, code, _ := bytes.Cut(status, []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(version))
	if !ok {
		h.place = inBody
		return
	}
	h.place, h.old, h.interim = inLines, major < 1 || major == 1 && minor < 1, bytes.HasPrefix(bytes.TrimLeft(code, " "), []byte("1"))
}

func isTransferEncoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(bytes.TrimRight(name, " \t"), []byte("Transfer-Encoding"))
}
