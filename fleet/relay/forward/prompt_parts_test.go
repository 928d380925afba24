package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
)

// Prompt parts of calls with different allowed regions are kept separate, though their ids are the
// same. The call that is sent to the endpoint keeps the caller's ids.
func TestPromptPartsAreSeparateByRegions(t *testing.T) {
	parts := []call.Part{{ID: "system", Tokens: 5000}, {ID: "own", Tokens: 10}}
	partID := func(route, customer policy.Regions) string {
		j := &job{call: call.Call{Parts: parts}, regions: allowedRegionsOf(policy.Route{AllowedRegions: route}, policy.Tenant{AllowedRegions: customer})}
		placed := j.regionScopedCall()
		assert.Equal(t, parts, j.call.Parts)
		assert.Equal(t, parts[0].Tokens, placed.Parts[0].Tokens)
		return placed.Parts[0].ID
	}
	cases := []struct {
		name            string
		route, customer policy.Regions
		same            bool // as those of calls with regions r1 and r2
	}{
		{"none", nil, nil, false},
		{"the same", policy.Regions{"r1", "r2"}, nil, true},
		{"in another order", policy.Regions{"r2", "r1"}, nil, true},
		{"the customer's", nil, policy.Regions{"r2", "r1"}, true},
		{"what both allow", policy.Regions{"r1", "r2", "r3"}, policy.Regions{"r1", "r2", "r4"}, true},
		{"one of them", policy.Regions{"r1"}, nil, false},
		{"more", policy.Regions{"r1", "r2", "r3"}, nil, false},
	}
	bound := partID(policy.Regions{"r1", "r2"}, nil)
	for _, c := range cases {
		assert.Equal(t, c.same, partID(c.route, c.customer) == bound, c.name)
	}
	assert.Equal(t, "system", partID(nil, nil))
}
