// Package quarantine identifies requests that repeatedly end the endpoints they run on, by
// their content rather than their id, and decides which of them are sent to no endpoint.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Fingerprint is the fingerprint of a request. It stays the same when the caller sends the request
// again under another id. It is a cryptographic hash, so that nobody can make another customer's
// request look like this one, and no part of a body is kept or sent.
type Fingerprint [fingerprintBytes]byte

// fingerprintBytes is the length of the truncated hash: 128 bits are too many for a search.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request: its customer, method, host, target and body.
func FingerprintOf(customer, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{customer, method, host, target} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(field))) // a hash's Write never fails
		h.Write([]byte(field))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// FingerprintOfPart returns the fingerprint of a part of a customer's prompts at a service. It differs
// from that of another customer's: nobody can make another customer's prompts look harmful.
func FingerprintOfPart(customer, service, part string) Fingerprint {
	return FingerprintOf(customer, "", service, part, nil)
}

// maxPartName bounds the name of a part in reports: callers choose the ids.
const maxPartName = 32

// PartName returns the name of a part by its id, which is the same for all customers.
func PartName(id string) string {
	if len(id) <= maxPartName {
		return id
	}
	return FingerprintOfPart("", "", id).String()
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != fingerprintBytes {
		return errors.Newf("%.40q is no print of a request", text)
	}
	*f = Fingerprint(data)
	return nil
}
