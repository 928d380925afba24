package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/evacuation"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

func TestZonesFollowEvacuations(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	cases := []struct {
		name     string
		zones    evacuation.Zones
		active   []string
		returned map[string]time.Time
	}{
		{"none", evacuation.Zones{}, nil, map[string]time.Time{"a": {}}},
		{"two at once", evacuation.Zones{}.WithListed([]string{"b", "a"}, 3, now), []string{"a", "b"}, map[string]time.Time{"a": {}, "b": {}}},
		{"one given back", evacuation.Zones{}.WithBegun("a", 3).WithBegun("b", 4).WithEnded("a", 5, now), []string{"b"}, map[string]time.Time{"a": now, "b": {}}},
		{"given back and evacuated again", evacuation.Zones{}.WithBegun("a", 3).WithEnded("a", 4, now).WithBegun("a", 5), []string{"a"}, map[string]time.Time{"a": now}},
		{"given back twice", evacuation.Zones{}.WithBegun("a", 3).WithEnded("a", 4, now).WithBegun("a", 5).WithEnded("a", 6, later), nil, map[string]time.Time{"a": later}},
		{"one that was never evacuated", evacuation.Zones{}.WithEnded("a", 4, now), nil, map[string]time.Time{"a": {}}},
		{"a list without it", evacuation.Zones{}.WithBegun("a", 3).WithListed([]string{"b"}, 9, now), []string{"b"}, map[string]time.Time{"a": now, "b": {}}},
		{"the same list again", evacuation.Zones{}.WithListed([]string{"a"}, 3, now).WithListed([]string{"a"}, 9, later), []string{"a"}, map[string]time.Time{"a": {}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.ElementsMatch(t, c.active, c.zones.Names())
			for zone, at := range c.returned {
				assert.Equal(t, at, c.zones.ReturnedAt(zone), zone)
			}
		})
	}
}

func TestZonesAreImmutable(t *testing.T) {
	one := evacuation.Zones{}.WithBegun("a", 3)
	two := one.WithBegun("b", 4).WithEnded("a", 5, time.Unix(1, 0))
	assert.True(t, one.Active("a"))
	assert.False(t, one.Active("b"))
	assert.False(t, two.Active("a"))
	assert.Equal(t, store.Revision(3), one.Revision())
	assert.Equal(t, store.Revision(5), two.Revision())
}
