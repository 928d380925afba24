package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/retry"
)

func TestRetriesStayWithinTheBound(t *testing.T) {
	cases := []struct {
		name  string
		nodes int
		calls int // in the window
		most  int // retries allowed at once
	}{
		{"slack alone, one node", 1, 0, 35},
		{"slack shared by ten", 10, 0, 3},
		{"a share of the calls", 1, 100, 49},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := retry.NewBudget(retry.Rule{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, func() int { return c.nodes })
			now := time.Now()
			for range c.calls {
				b.Arrived("s", now)
			}
			taken := 0
			for b.Take("s", now) {
				taken++
			}
			assert.Equal(t, c.most, taken)
			assert.True(t, b.Take("another", now), "services have budgets of their own")
			assert.False(t, b.Take("s", now.Add(9*time.Second)))
			assert.Equal(t, true, b.Take("s", now.Add(11*time.Second)), "the window slides")
		})
	}
}
