package forward

import (
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// atHome returns the endpoints at which the call may run: where its route or its
// customer has homes, those of a zone in a region that both allow. A zone whose region
// is not known is in none.
func (j *job) atHome(engines []engine.Engine) []engine.Engine {
	if len(j.route.Homes) == 0 && len(j.tenant.Homes) == 0 {
		return engines
	}
	return lo.Filter(engines, func(e engine.Engine, _ int) bool {
		region := j.Places.Region(e.Zone)
		return j.route.Homes.Allow(region) && j.tenant.Homes.Allow(region)
	})
}
