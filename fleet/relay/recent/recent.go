// Package recent remembers the latest entries of a map at a bounded size.
package recent

import "time"

// Map holds entries in two generations: each entry for at least a period after it was last put,
// unless more than the bound are put meanwhile. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	bound    int           // entries in one generation
	period   time.Duration // length of a generation
	current  map[K]V
	previous map[K]V
	since    time.Time // start of the current generation
}

// New returns an empty map.
func New[K comparable, V any](bound int, period time.Duration) *Map[K, V] {
	return &Map[K, V]{bound: bound, period: period}
}

// Put records an entry. One that keeps coming stays, however many others come once.
func (m *Map[K, V]) Put(key K, value V, now time.Time) {
	if m.current == nil || len(m.current) >= m.bound || now.Sub(m.since) >= m.period {
		m.previous, m.current, m.since = m.current, map[K]V{}, now
	}
	m.current[key] = value
}

// Get returns the latest entry of a key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if value, ok := m.current[key]; ok {
		return value, true
	}
	value, ok := m.previous[key]
	return value, ok
}

// All calls visit for each entry. A key that was put in both generations is visited in both.
func (m *Map[K, V]) All(visit func(key K, value V)) {
	for _, generation := range []map[K]V{m.current, m.previous} {
		for key, value := range generation {
			visit(key, value)
		}
	}
}
