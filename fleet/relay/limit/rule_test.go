package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// testRule is the promised bound of an endpoint that names a limit.
var testRule = limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}

// Whatever limit an endpoint names, the shares of nodes with a settled list and of those without
// stay within the promised bound together. Four fifths of a limit can be used with a settled
// list, three fifths while nodes come and go, and one call now and then even if the limit is 0,
// since only an answer shows that it is over.
func TestTheBoundOfALimit(t *testing.T) {
	rates := []float64{0, 0.01, 0.1, 0.2, 0.25, 0.3, 0.5, 0.7, 1, 1.2, 1.5, 2, 3, 7.7, 40, 300, 1e6, 1e9, 1e300}
	for _, perSecond := range rates {
		b := testRule.Bound(perSecond)
		most := testRule.MaxCalls(perSecond)
		assert.GreaterOrEqual(t, b.Calls, 1, "%v", perSecond)
		assert.GreaterOrEqual(t, b.Unsure, 1, "%v", perSecond)
		assert.LessOrEqual(t, b.Calls+b.Unsure, most, "%v", perSecond)
		assert.GreaterOrEqual(t, b.Window, testRule.Window, "%v", perSecond)
		assert.LessOrEqual(t, b.Window, bound.MaxWindow, "%v", perSecond)
		if perSecond >= 0.1 && perSecond <= 1e6 {
			assert.GreaterOrEqual(t, float64(b.Calls), 0.8*perSecond*b.Window.Seconds(), "%v", perSecond)
			assert.LessOrEqual(t, float64(b.Calls), 1.01*perSecond*b.Window.Seconds(), "%v: no more than it accepts", perSecond)
		}
		if perSecond >= 0.1 && perSecond <= 3 {
			assert.GreaterOrEqual(t, float64(b.Unsure), 0.6*perSecond*b.Window.Seconds(), "%v", perSecond)
		}
	}
}
