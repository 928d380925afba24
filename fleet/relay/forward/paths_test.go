package forward

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Every call to an endpoint must be placed by the choice, which enforces the bounds shared by all
// nodes. So a single place in the source sends, and it is reached only from an attempt.
func TestOnePlaceSendsToEndpoints(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	counts := map[string]int{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, sends := range []string{"Transport.RoundTrip(", "j.exchange(", "http.Client{", "http.Get(", "Picker.Pick("} {
			counts[sends] += strings.Count(string(text), sends)
		}
	}
	assert.Equal(t, map[string]int{"Transport.RoundTrip(": 1, "j.exchange(": 1, "http.Client{": 0, "http.Get(": 0, "Picker.Pick(": 2}, counts)
}
