package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func members(n int) []Member {
	all := make([]Member, 0, n)
	for i := range n {
		all = append(all, Member{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%4)})
	}
	return all
}

func TestWriters(t *testing.T) {
	cases := []struct {
		name  string
		fit   []Member
		fleet int
		want  int
	}{
		{"a small fleet", members(8), 8, 8},
		{"a small fleet, some not eligible", members(3), 8, 8},
		{"a large fleet", members(73), 73, 8},
		{"a large fleet, few eligible", members(10), 73, 8},
		{"one node eligible", members(73)[:1], 73, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fit := func() []Member { return c.fit }
			writers := Writers(members(c.fleet), fit)
			assert.Len(t, writers, c.want)
			inZone := map[string]int{}
			for _, m := range c.fit {
				if writers[m.Name] {
					inZone[m.Zone]++
				}
			}
			if c.fleet > allWrite {
				for zone, n := range inZone {
					assert.LessOrEqual(t, n, zoneWriters, zone)
				}
			}
			assert.Equal(t, writers, Writers(members(c.fleet), fit), "the same on all nodes with the same list")
		})
	}
}
