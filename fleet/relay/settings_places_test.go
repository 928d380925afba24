package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/distance"
)

// The regions and prices of the settings determine the costs of leaving a zone and a region.
func TestPlacesOfTheSettings(t *testing.T) {
	const rest = `"node":"n","zone":"a1","listen":"127.0.0.1:1","ready":{"address":"127.0.0.1:2"},"peer":"127.0.0.1:3","store":"127.0.0.1:4",
		"regions":{"a1":"a","a2":"a","b1":"b"}`
	cases := []struct {
		name, text string
		near, far  float64 // for a megabyte of a call without value
	}{
		{"the default", ``, 0, 40_000},
		{"one of an operator's prices", `,"bytes":{"regionTokens":4000}`, 0, 4000},
		{"an operator's prices", `,"bytes":{"zoneTokens":100,"regionTokens":4000}`, 100, 4000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := ParseSettings([]byte(`{` + rest + c.text + `}`))
			require.NoError(t, err)
			p := s.Places()
			assert.Equal(t, distance.SameRegion, p.Class("a2"))
			assert.Equal(t, distance.OtherRegion, p.Class("b1"))
			assert.InDelta(t, c.near, p.To("a2", time.Now()).Call(0, 1_000_000), 0.01)
			assert.InDelta(t, c.far, p.To("b1", time.Now()).Call(0, 1_000_000), 0.01)
		})
	}
	s, err := ParseSettings([]byte(`{"disable":["zone-preference"],` + rest + `}`))
	require.NoError(t, err)
	assert.Zero(t, s.Places().To("b1", time.Now()).Plain())
	_, err = ParseSettings([]byte(`{"bytes":{"zoneTokens":-1},` + rest + `}`))
	assert.Error(t, err)
}
