package recent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against entries that are dropped within their period, and against a map that grows.
func TestEntriesStayForTheirPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New[int, string](10, time.Minute)
	m.Put(1, "a", now)
	now = now.Add(59 * time.Second)
	m.Put(2, "b", now)
	now = now.Add(time.Minute)
	m.Put(3, "c", now)
	value, ok := m.Get(2)
	assert.True(t, ok)
	assert.Equal(t, "b", value)
	seen := map[int]string{}
	m.All(func(key int, value string) { seen[key] = value })
	assert.Equal(t, map[int]string{1: "a", 2: "b", 3: "c"}, seen)
	m.Put(4, "d", now.Add(time.Minute))
	_, ok = m.Get(1)
	assert.False(t, ok)
	for i := range 100 {
		m.Put(100+i, "x", now)
	}
	assert.LessOrEqual(t, len(m.current)+len(m.previous), 20)
}
