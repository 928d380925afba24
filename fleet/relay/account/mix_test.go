package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What is left of a budget within reach goes to smaller calls first once it would not
// last for long; where it would, every call gets what it asks for.
func TestWhatIsLeftIsKeptForSmallerCalls(t *testing.T) {
	const large, small = 9000, 1000 // two and six calls a second: 6,000 of 24,000 tokens a second are for small ones
	guarded := int64(DefaultTuning().Guard.Seconds() * 6000)
	cases := []struct {
		name         string
		drawn, pool  int64
		near         Near
		out          bool
		large, small Answer
	}{
		{"much is held here", guarded + 2*large, 0, Near{}, false, Reserved, Reserved},
		{"little is held, and much is left", large, 10 * guarded, Near{}, false, Reserved, Reserved},
		{"much is left, and the store is away", large, 10 * guarded, Near{}, true, Kept, Reserved},
		{"little is left", guarded, 0, Near{}, false, Kept, Reserved},
		{"little is held here, and much by peers", large, 0, Near{Free: 2 * guarded}, false, Reserved, Reserved},
		{"much elsewhere for much that is asked for there", large, 0, Near{Free: guarded, Rate: 96000}, false, Kept, Reserved},
		{"a part of what nobody has drawn", large, 0, Near{Pool: 3 * guarded, Rate: 24000}, false, Reserved, Reserved},
		{"nothing is left for a small call either", small / 2, 0, Near{}, false, Kept, Insufficient},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewAllowance("n", "n/1", DefaultTuning())
			p.Budget(map[string]int64{"t": 10_000_000})
			now := time.Unix(1000, 0)
			for range 40 { // half a second each
				now = now.Add(500 * time.Millisecond)
				p.Reserve("t", "large", large, now)
				for range 3 {
					p.Reserve("t", "small", small, now)
				}
			}
			k := p.quota("t")
			k.limit, k.pool, k.reserved = c.drawn, c.pool, 0
			p.Out(c.out)
			p.Fleets(map[string]Fleet{"t": {Near: c.near}}, now)
			assert.Equal(t, c.large, p.Reserve("t", "large", large, now))
			k.reserved = 0
			assert.Equal(t, c.small, p.Reserve("t", "small", small, now))
		})
	}
}

// Kinds are told apart by the size of their calls in the mean: one that is alone keeps
// nothing from itself, and a single large call of a small kind fares like its others.
func TestKindsAreToldApartByTheirMean(t *testing.T) {
	var m mix
	now := time.Unix(1000, 0)
	m.add("only", 5000, now)
	assert.Zero(t, m.smaller("only"))
	for range 9 {
		m.add("small", 1000, now)
	}
	m.add("small", 9000, now)
	for range 4 {
		m.add("large", 9000, now)
	}
	assert.Zero(t, m.smaller("small"))
	assert.InDelta(t, 18000.0/59000, m.smaller("only"), 1e-9)
	assert.InDelta(t, 23000.0/59000, m.smaller("large"), 1e-9)
	m.add("fresh", 9000, now.Add(time.Hour))
	assert.InDelta(t, 0, m.smaller("fresh"), 1e-6, "what was long ago counts for nothing")
}
