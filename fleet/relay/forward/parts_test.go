package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
)

// Parts of prompts of calls with homes are apart from those of all calls with others,
// though they have the same ids; what the endpoint is told is as the caller said it.
func TestPartsOfCallsWithHomesAreApart(t *testing.T) {
	parts := []call.Part{{ID: "system", Tokens: 5000}, {ID: "own", Tokens: 10}}
	seen := func(route, customer policy.Homes) string {
		j := &job{call: call.Call{Parts: parts}, homes: homesOf(policy.Route{Homes: route}, policy.Tenant{Homes: customer})}
		placed := j.placedCall()
		assert.Equal(t, parts, j.call.Parts)
		assert.Equal(t, parts[0].Tokens, placed.Parts[0].Tokens)
		return placed.Parts[0].ID
	}
	cases := []struct {
		name            string
		route, customer policy.Homes
		same            bool // as those of calls with homes r1 and r2
	}{
		{"none", nil, nil, false},
		{"the same", policy.Homes{"r1", "r2"}, nil, true},
		{"in another order", policy.Homes{"r2", "r1"}, nil, true},
		{"the customer's", nil, policy.Homes{"r2", "r1"}, true},
		{"what both allow", policy.Homes{"r1", "r2", "r3"}, policy.Homes{"r1", "r2", "r4"}, true},
		{"one of them", policy.Homes{"r1"}, nil, false},
		{"more", policy.Homes{"r1", "r2", "r3"}, nil, false},
	}
	bound := seen(policy.Homes{"r1", "r2"}, nil)
	for _, c := range cases {
		assert.Equal(t, c.same, seen(c.route, c.customer) == bound, c.name)
	}
	assert.Equal(t, "system", seen(nil, nil))
}
