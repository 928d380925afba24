package choice

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// zones is what connects show of whole availability zones: one that is cut off in
// silence costs each connect its whole bound, and there are many endpoints in it.
type zones map[string]*zone

type zone struct {
	failed  map[string]bool // endpoints that could not be reached since one could
	avoided time.Time       // until then no other of the zone is tried
}

// zoneFailures is how many endpoints of a zone have to fail, with none that was
// reached in between, for all of them to be avoided.
const zoneFailures = 2

// unreached notes an endpoint that could not be reached.
func (z zones) unreached(e engine.Engine, now time.Time, avoid time.Duration) {
	of, ok := z[e.Zone]
	if !ok {
		of = &zone{failed: map[string]bool{}}
		z[e.Zone] = of
	}
	of.failed[e.ID] = true
	if n := len(of.failed); n >= zoneFailures {
		of.avoided = now.Add(avoid * time.Duration(min(n-1, mostFailures)))
	}
}

// reached notes an endpoint of a zone that answered.
func (z zones) reached(name string) { delete(z, name) }

// unreachable is whether an availability zone is avoided now; the node's own never is.
func (p *Picker) unreachable(name string, now time.Time) bool {
	of, ok := p.zones[name]
	return ok && name != p.places.Zone() && now.Before(of.avoided)
}
