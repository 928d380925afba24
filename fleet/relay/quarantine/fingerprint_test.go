package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that share a fingerprint although their customer, method, host, target
// or body differ, also where bytes move from one field to the next.
func TestFingerprintIdentifiesARequest(t *testing.T) {
	print := FingerprintOf("customer", "POST", "host", "/path/x", []byte("body"))
	assert.Equal(t, print, FingerprintOf("customer", "POST", "host", "/path/x", []byte("body")))
	others := []Fingerprint{
		FingerprintOf("other", "POST", "host", "/path/x", []byte("body")),
		FingerprintOf("customer", "PUT", "host", "/path/x", []byte("body")),
		FingerprintOf("customer", "POST", "h", "/path/x", []byte("body")),
		FingerprintOf("customer", "POST", "host", "/path/y", []byte("body")),
		FingerprintOf("customer", "POST", "host", "/path/x", []byte("bodY")),
		FingerprintOf("customer", "POST", "host", "/path/", []byte("xbody")),
		FingerprintOf("customerP", "OST", "host", "/path/x", []byte("body")),
		FingerprintOf("customer", "POST", "host/path", "/x", []byte("body")),
	}
	for _, other := range others {
		assert.NotEqual(t, print, other)
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	print := FingerprintOf("customer", "POST", "host", "/path/x", []byte("body"))
	data, err := json.Marshal(print)
	require.NoError(t, err)
	var back Fingerprint
	require.NoError(t, json.Unmarshal(data, &back))
	assert.Equal(t, print, back)
	for _, bad := range []string{`""`, `"00"`, `"zz"`, `"` + print.String() + `00"`} {
		assert.Error(t, json.Unmarshal([]byte(bad), &back), bad)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 40_000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("customer", "POST", "host", "/path", body)
	}
}
