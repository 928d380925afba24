package problem_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/problem"
)

// TestThePageListsEveryReason checks that docs/refusals.md and the code list the same reasons.
func TestThePageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/refusals.md")
	require.NoError(t, err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| reason") {
			rows++
		}
	}
	reasons := problem.Reasons()
	assert.Len(t, reasons, rows)
	for _, r := range reasons {
		want := fmt.Sprintf("| %s | %d | %s;", r, problem.Describe(r).Status, problem.Describe(r).Title)
		assert.Contains(t, string(page), want)
	}
}
