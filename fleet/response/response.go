// Package response rejects answers that net/http takes although their head is malformed, or
// does not tell reliably where the body ends.
package response

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrFraming means that an answer's head may hide where its body ends.
var ErrFraming = errors.New("the head of the answer may hide where its body ends")

// ErrStatus means that an answer's status is none that ends a request.
var ErrStatus = errors.New("the status of the answer ends no request")

// statusEnd is above all statuses of HTTP (RFC 9110, 15).
const statusEnd = 600

// Check returns an error if the head of an answer has no final status, or is malformed in a way that may
// hide a length or chunks.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= statusEnd {
		return errors.Wrapf(ErrStatus, "%q", resp.Status)
	}
	if resp.ProtoMajor != 1 {
		return errors.Wrapf(ErrFraming, "it is of %q", resp.Proto)
	}
	if strings.Contains(resp.Status, "\r") {
		return errors.Wrapf(ErrFraming, "there is a bare return in its status %q", resp.Status)
	}
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return errors.Wrapf(ErrFraming, "there is a space in the name %q", name)
		}
	}
	return nil
}
