package settings_test

import (
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/settings"
	"github.com/lynxshed/lynxshed/fleet/settings/schema"
)

func TestExampleIsValid(t *testing.T) {
	data, err := os.ReadFile("../example.settings.jsonc")
	require.NoError(t, err)
	s, err := settings.Parse(data)
	require.NoError(t, err)
	assert.Equal(t, "sofia-a-1", s.Node)
	assert.Equal(t, settings.Default().Timing, s.Timing, "the example shows the defaults")
	assert.Equal(t, settings.Default().Limits, s.Limits)
}

const requiredFields = `"zone": "a", "listen": "127.0.0.1:1", "advertise": "http://127.0.0.1:1", "platform": "http://127.0.0.1:2",
"fleetKeyFile": "k", "operatorHashesFile": "o"`

func TestParseNamesEveryFault(t *testing.T) {
	cases := []struct {
		name string
		text string
		want schema.Faults
	}{
		{"invalid JSON", "{", schema.Faults{{Line: 1, Column: 2}}},
		{"no object", "[]", schema.Faults{{Line: 1, Column: 1, Expected: "an object in braces"}}},
		{"two at once", "{\"node\": 7,\n  \"slots\": -1, " + requiredFields + "}", schema.Faults{
			{Line: 1, Column: 10, Field: "node", Expected: "text in quotes"},
			{Line: 2, Column: 12, Field: "slots", Expected: "a whole number from 1 to 4096"},
		}},
		{"unknown and missing", "{\"nod\": \"x\", " + requiredFields + "}", schema.Faults{
			{Line: 1, Column: 2, Field: "nod"},
			{Line: 1, Column: 1, Field: "node", Expected: "the field to be there"},
		}},
		{"nested field", "{\"node\": \"x\", \"log\": {\"level\": \"loud\"}, " + requiredFields + "}", schema.Faults{
			{Line: 1, Column: 32, Field: "log.level", Expected: "one of debug, info, warn, error"},
		}},
		{"huge number", "{\"node\": \"x\", \"timing\": {\"beatMs\": 1e300}, " + requiredFields + "}", schema.Faults{
			{Line: 1, Column: 36, Field: "timing.beatMs", Expected: "a whole number from 10 to 3600000"},
		}},
		{"twice", "{\"node\": \"x\", \"node\": \"y\", " + requiredFields + "}", schema.Faults{
			{Line: 1, Column: 15, Field: "node", Expected: "the field only once"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(c.text))
			var faults schema.Faults
			require.True(t, errors.As(err, &faults))
			require.Len(t, faults, len(c.want))
			for i, want := range c.want {
				assert.Equal(t, want.Line, faults[i].Line)
				assert.Equal(t, want.Column, faults[i].Column)
				assert.Equal(t, want.Field, faults[i].Field)
				if want.Expected != "" {
					assert.Equal(t, want.Expected, faults[i].Expected)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"node": "a", // comment` + "\n}"))
	f.Add([]byte(`{"timing": {"beatMs": "x"}}`))
	f.Add([]byte(`[1e400]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse(data)
		var faults schema.Faults
		if errors.As(err, &faults) && len(faults) == 0 {
			t.Fatal("an error without a fault")
		}
	})
}
