package choice

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
)

// Guards against a model of endpoints' caches that callers fill without a bound: by parts of no tokens, of
// few, or with long ids.
func TestModelledPartsAreBounded(t *testing.T) {
	const endpoints, each = 40, 6000
	for name, part := range map[string]func(n int) call.Part{
		"no tokens":  func(n int) call.Part { return call.Part{ID: fmt.Sprint(n)} },
		"one token":  func(n int) call.Part { return call.Part{ID: fmt.Sprint(n), Tokens: 1} },
		"a long id":  func(n int) call.Part { return call.Part{ID: strings.Repeat("x", 1000) + fmt.Sprint(n), Tokens: 1} },
		"large ones": func(n int) call.Part { return call.Part{ID: fmt.Sprint(n), Tokens: 1000} },
	} {
		t.Run(name, func(t *testing.T) {
			h, all := holders{}, 0
			caches := make([]*prefixCache, endpoints)
			for i := range caches {
				caches[i] = newPrefixCache(400_000, fmt.Sprint("e", i), h, &all)
				for n := range each {
					caches[i].read(part(i*each+n), true)
				}
				assert.LessOrEqual(t, caches[i].order.Len(), maxCachedParts)
			}
			assert.LessOrEqual(t, all, maxAllParts+endpoints)
			assert.Len(t, h, all)
			for _, c := range caches {
				c.clear()
			}
			assert.Zero(t, all)
			assert.Empty(t, h)
		})
	}
}
