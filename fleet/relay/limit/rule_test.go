package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/bound"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
)

// promised is what is promised of an endpoint that names a limit.
var promised = limit.Rule{Overrun: 1.5, Tolerance: 5, Window: 4 * time.Second}

// Whatever an endpoint names, the parts of nodes that are sure of their list and of those that
// are not stay within what is promised together; four fifths of a limit can be used
// where the list holds, three fifths where nodes come and go, and one call now and then where
// nothing else would tell that the limit is over.
func TestTheBoundOfALimit(t *testing.T) {
	rates := []float64{0, 0.01, 0.1, 0.2, 0.25, 0.3, 0.5, 0.7, 1, 1.2, 1.5, 2, 3, 7.7, 40, 300, 1e6, 1e9, 1e300}
	for _, perSecond := range rates {
		b := promised.Bound(perSecond)
		most := promised.Most(perSecond)
		assert.GreaterOrEqual(t, b.Calls, 1, "%v", perSecond)
		assert.GreaterOrEqual(t, b.Unsure, 1, "%v", perSecond)
		assert.LessOrEqual(t, b.Calls+b.Unsure, most, "%v", perSecond)
		assert.GreaterOrEqual(t, b.Window, promised.Window, "%v", perSecond)
		assert.LessOrEqual(t, b.Window, bound.Longest, "%v", perSecond)
		if perSecond >= 0.1 && perSecond <= 1e6 {
			assert.GreaterOrEqual(t, float64(b.Calls), 0.8*perSecond*b.Window.Seconds(), "%v", perSecond)
			assert.LessOrEqual(t, float64(b.Calls), 1.01*perSecond*b.Window.Seconds(), "%v: no more than it takes", perSecond)
		}
		if perSecond >= 0.1 && perSecond <= 3 {
			assert.GreaterOrEqual(t, float64(b.Unsure), 0.6*perSecond*b.Window.Seconds(), "%v", perSecond)
		}
	}
}
