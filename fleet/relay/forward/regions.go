package forward

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
)

// allowedRegions are the regions in which a call may run by its route and its customer.
type allowedRegions struct {
	restricted bool
	regions    policy.Regions // sorted; if empty, the call can't run
}

func allowedRegionsOf(r policy.Route, t policy.Tenant) allowedRegions {
	if len(r.AllowedRegions) == 0 && len(t.AllowedRegions) == 0 {
		return allowedRegions{}
	}
	regions := r.AllowedRegions.Intersect(t.AllowedRegions)
	slices.Sort(regions)
	return allowedRegions{restricted: true, regions: regions}
}

// allows reports whether the call may run in a region; an unknown region ("") is never allowed to a
// restricted call.
func (r allowedRegions) allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.regions, region)
}

// noAllowedRegion reports whether the call may run in no region: its route and its customer
// allow none in common, or none that has an availability zone.
func (j *job) noAllowedRegion() bool {
	return j.regions.restricted && !lo.SomeBy(j.regions.regions, j.Places.Has)
}

// refreshRegions applies the regions of the policy in force, so that a retry after a change of
// policy obeys the new one. A route or customer that the new policy lacks keeps the old regions.
func (j *job) refreshRegions() {
	now := j.Policy.Load()
	if now == nil || j.policy == nil || now.Version == j.policy.Version {
		return
	}
	route, tenant := j.route, j.tenant
	if r, ok := now.Match(j.r.Host, j.r.URL.Path); ok {
		route = r
	}
	if t, ok := now.TenantOf(j.call.Key); ok {
		tenant = t
	}
	j.regions = allowedRegionsOf(route, tenant)
}

// inAllowedRegions returns the endpoints at which the call may run.
func (j *job) inAllowedRegions(engines []engine.Engine) []engine.Engine {
	if !j.regions.restricted {
		return engines
	}
	return lo.Filter(engines, func(e engine.Engine, _ int) bool { return j.regions.allows(j.Places.Region(e.Zone)) })
}

// regionScopedCall returns the call for the choice of endpoints. The prompt parts of a restricted
// call get ids of their own: they are neither looked up nor announced where they may not be kept,
// and calls with other allowed regions don't fetch them.
func (j *job) regionScopedCall() call.Call {
	if !j.regions.restricted || len(j.call.Parts) == 0 {
		return j.call
	}
	c := j.call
	prefix := strings.Join(j.regions.regions, ",") + "/"
	c.Parts = lo.Map(c.Parts, func(p call.Part, _ int) call.Part { return call.Part{ID: prefix + p.ID, Tokens: p.Tokens} })
	return c
}
