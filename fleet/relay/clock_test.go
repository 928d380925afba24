package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The steady clock alone does not decide either: it stands still while the VM is
// suspended. What is decided by age goes by fleet/clock. The link's pace is of this machine
// alone, and stands still with it.
func TestWhatDecidesCountsSuspensions(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == "link" {
			return err
		}
		data, err := os.ReadFile(path)
		for _, word := range []string{"time.Now", "time.Since", "time.Until", "context.WithDeadline"} {
			assert.NotContains(t, string(data), word, path)
		}
		return err
	})
	require.NoError(t, err)
}

// The time of day may jump; only the steady clock decides. Times that Go's clock
// gave compare by the steady clock as long as nothing turns them into a date or
// reads them from outside.
func TestOnlyTheSteadyClockDecides(t *testing.T) {
	words := []string{".Unix(", ".UnixMilli(", ".UnixMicro(", ".UnixNano(", "time.Unix", "time.Date(", "time.Parse", ".Round(0)", ".UTC()", ".Truncate("}
	files := 0
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		data, err := os.ReadFile(path)
		for _, word := range words {
			assert.NotContains(t, string(data), word, path)
		}
		return err
	})
	require.NoError(t, err)
	assert.Greater(t, files, 30)
}
