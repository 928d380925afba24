// Package quarantine finds requests under which endpoints end, whichever id they come
// under, and says which of them are sent to no endpoint any more.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Print tells a request again that its caller sends under another id. It is a strong
// hash, so that nobody can make another customer's request look like this one, and
// nothing of a body is kept or told.
type Print [printBytes]byte

// printBytes is how much of the hash is kept: 128 bits, more than can be searched.
const printBytes = 16

// PrintOf is the print of a request: who sent it, how and where to, and its body.
func PrintOf(customer, method, host, target string, body []byte) Print {
	h := sha256.New()
	for _, field := range []string{customer, method, host, target} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(field))) // a hash's Write never fails
		h.Write([]byte(field))
	}
	h.Write(body)
	return Print(h.Sum(nil)[:printBytes])
}

// String is the print in hex.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// MarshalText implements encoding.TextMarshaler.
func (p Print) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Print) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != printBytes {
		return errors.Newf("%.40q is no print of a request", text)
	}
	*p = Print(data)
	return nil
}
