package relay

import (
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

// mechanism is a feature of the choice of endpoints that the settings can disable, so that its
// benefit can be measured.
type mechanism struct {
	name string
	off  func(t *choice.Tuning)
}

var mechanisms = []mechanism{
	{"fetch", func(t *choice.Tuning) { t.Fetch = false }},              // parts of prompts are fetched from another endpoint
	{"homes", func(t *choice.Tuning) { t.Homes = false }},              // prompts go where all nodes expect their parts
	{"harm", func(t *choice.Tuning) { t.Harm = false }},                // the delay that a prompt causes to the streams running there
	{"pauses", func(t *choice.Tuning) { t.Pauses = false }},            // how often streams paused there
	{"reads-gossip", func(t *choice.Tuning) { t.Gossip = false }},      // reports of peers on where prompts were read
	{"zone-preference", func(t *choice.Tuning) { t.Distance = false }}, // preference for the same zone and region
	{"affinity", func(t *choice.Tuning) { t.AffinityTrust = 0 }},       // trust in the affinity target
}

// Mechanisms outside the choice of endpoints.
const (
	delegatesMechanism      = "delegates"     // some nodes watch the store for the others
	redirectMechanism       = "hand-on"       // an overloaded node redirects callers
	failureReportsMechanism = "told-failures" // endpoints at which other nodes report failures are avoided
	quarantineMechanism     = "quarantine"    // requests under which endpoints end are quarantined
	limitsMechanism         = "limits"        // limits that endpoints name are kept
	noticesMechanism        = "notices"       // notices that endpoints give in their answers are followed
	tunnelsMechanism        = "tunnels"       // connections to endpoints lead through other nodes where this node's own paths are cut
	fragileMechanism        = "fragile"       // endpoints that crash when they reject too many calls are spared
	originsMechanism        = "origins"       // streams are resumed at the software version that began them
	confirmationMechanism   = "confirmations" // nodes answer others only with what the store confirmed recently
	steerMechanism          = "steer"         // a node whose link one customer fills gets no new connections
)

func mechanismNames() []string {
	return append(lo.Map(mechanisms, func(m mechanism, _ int) string { return m.name }), delegatesMechanism, redirectMechanism, steerMechanism, failureReportsMechanism, quarantineMechanism, limitsMechanism, noticesMechanism, tunnelsMechanism, fragileMechanism, originsMechanism, confirmationMechanism)
}

// Enabled reports whether a mechanism is not disabled.
func (s Settings) Enabled(mechanism string) bool { return !slices.Contains(s.Disable, mechanism) }

// Choice returns the tuning of the choice of endpoints without the disabled mechanisms.
func (s Settings) Choice() choice.Tuning {
	t := choice.DefaultTuning()
	for _, m := range mechanisms {
		if !s.Enabled(m.name) {
			m.off(&t)
		}
	}
	return t
}
