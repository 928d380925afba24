package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against decisions by age that use the monotonic clock alone: it stops while the VM is
// suspended. They use fleet/clock. The pace of the link concerns only this VM and stops with it.
func TestDecisionsCountSuspendedTime(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == "link" {
			return err
		}
		data, err := os.ReadFile(path)
		for _, call := range []string{"time.Now", "time.Since", "time.Until", "context.WithDeadline"} {
			assert.NotContains(t, string(data), call, path)
		}
		return err
	})
	require.NoError(t, err)
}

// Guards against decisions by the wall clock, which may jump. Times of Go compare by the monotonic
// clock as long as they are neither converted to dates nor read from outside.
func TestDecisionsUseTheMonotonicClock(t *testing.T) {
	calls := []string{".Unix(", ".UnixMilli(", ".UnixMicro(", ".UnixNano(", "time.Unix", "time.Date(", "time.Parse", ".Round(0)", ".UTC()", ".Truncate("}
	files := 0
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		data, err := os.ReadFile(path)
		for _, call := range calls {
			assert.NotContains(t, string(data), call, path)
		}
		return err
	})
	require.NoError(t, err)
	assert.Greater(t, files, 30)
}
