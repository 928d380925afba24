package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// zones tracks connect failures by availability zone. Each connect to a partitioned zone takes
// the whole connect timeout, and such a zone has many endpoints.
type zones map[string]*zone

type zone struct {
	failed       map[string]bool // endpoints whose connects failed since one of the zone was last reached
	avoidedUntil time.Time       // no other endpoint of the zone is tried until then
}

// zoneFailures is how many endpoints of a zone have to fail, with none reached in between,
// before the whole zone is avoided.
const zoneFailures = 2

// unreached records a failed connect to an endpoint.
func (z zones) unreached(e engine.Engine, now time.Time, avoid time.Duration) {
	failing, ok := z[e.Zone]
	if !ok {
		failing = &zone{failed: map[string]bool{}}
		z[e.Zone] = failing
	}
	failing.failed[e.ID] = true
	if n := len(failing.failed); n >= zoneFailures {
		failing.avoidedUntil = now.Add(avoid * time.Duration(min(n-1, maxFailures)))
	}
}

// reached records that an endpoint of a zone answered.
func (z zones) reached(name string) { delete(z, name) }

// unreachable reports whether an availability zone is avoided now. The node's own zone never is.
func (p *Picker) unreachable(name string, now time.Time) bool {
	zone, ok := p.zones[name]
	return ok && name != p.places.Zone() && now.Before(zone.avoidedUntil)
}
