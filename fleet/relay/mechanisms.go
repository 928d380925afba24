package relay

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// mechanism is a part of the policy that the settings can switch off, so that
// what it is worth can be measured.
type mechanism struct {
	name string
	off  func(t *choice.Tuning)
}

var mechanisms = []mechanism{
	{"fetch", func(t *choice.Tuning) { t.Fetch = false }},              // parts of prompts taken from another endpoint
	{"homes", func(t *choice.Tuning) { t.Homes = false }},              // prompts go where all nodes expect their parts
	{"harm", func(t *choice.Tuning) { t.Harm = false }},                // what a prompt does to the streams that run there
	{"pauses", func(t *choice.Tuning) { t.Pauses = false }},            // how often streams paused there
	{"reads-gossip", func(t *choice.Tuning) { t.Gossip = false }},      // peers' word on where prompts were read
	{"zone-preference", func(t *choice.Tuning) { t.Distance = false }}, // staying in the zone and the region
	{"affinity", func(t *choice.Tuning) { t.AffinityTrust = 0 }},       // belief in the affinity target
}

// Mechanisms that are no part of the choice.
const (
	delegatesMechanism  = "delegates"     // some nodes watch the store for the others
	handOnMechanism     = "hand-on"       // an overloaded node hands callers on
	toldMechanism       = "told-failures" // endpoints that other nodes tell of are avoided
	quarantineMechanism = "quarantine"    // requests under which endpoints end are held back
	limitsMechanism     = "limits"        // what endpoints name as their limit is kept
	noticesMechanism    = "notices"       // what endpoints say in their answers about the calls that they want is heeded
	steerMechanism      = "steer"         // a node whose link one customer fills gets no new connections
)

func mechanismNames() []string {
	return append(lo.Map(mechanisms, func(m mechanism, _ int) string { return m.name }), delegatesMechanism, handOnMechanism, steerMechanism, toldMechanism, quarantineMechanism, limitsMechanism, noticesMechanism)
}

// Enabled is whether a mechanism is not switched off.
func (s Settings) Enabled(mechanism string) bool { return !slices.Contains(s.Disable, mechanism) }

// Choice is the tuning of the choice without what the settings switch off.
func (s Settings) Choice() choice.Tuning {
	t := choice.DefaultTuning()
	for _, m := range mechanisms {
		if !s.Enabled(m.name) {
			m.off(&t)
		}
	}
	return t
}
