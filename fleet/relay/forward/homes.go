package forward

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
)

// homes are the regions to which a call's route and customer bind it.
type homes struct {
	bound   bool
	regions policy.Homes // in order; with none the call can't run
}

func homesOf(r policy.Route, t policy.Tenant) homes {
	if len(r.Homes) == 0 && len(t.Homes) == 0 {
		return homes{}
	}
	regions := r.Homes.With(t.Homes)
	slices.Sort(regions)
	return homes{bound: true, regions: regions}
}

// allow is whether the call may run in a region; one that is not known is none.
func (h homes) allow(region string) bool {
	return !h.bound || region != "" && slices.Contains(h.regions, region)
}

// nowhere is whether there is no region in which the call may run: its route and its
// customer allow none in common, or none that any availability zone lies in.
func (j *job) nowhere() bool {
	return j.homes.bound && !lo.SomeBy(j.homes.regions, j.Places.Has)
}

// renewHomes takes the homes of the policy in force: a call that is sent again after its
// homes have changed is bound by the new ones. What the new policy does not name is as
// before.
func (j *job) renewHomes() {
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
	j.homes = homesOf(route, tenant)
}

// atHome returns the endpoints at which the call may run.
func (j *job) atHome(engines []engine.Engine) []engine.Engine {
	if !j.homes.bound {
		return engines
	}
	return lo.Filter(engines, func(e engine.Engine, _ int) bool { return j.homes.allow(j.Places.Region(e.Zone)) })
}

// placedCall is the call as the choice of endpoints sees it. Parts of prompts of calls that
// have homes are apart from all others, so that they are neither looked for nor told of
// where they may not be kept, and no call without these homes takes them from there.
func (j *job) placedCall() call.Call {
	if !j.homes.bound || len(j.call.Parts) == 0 {
		return j.call
	}
	c := j.call
	mark := strings.Join(j.homes.regions, ",") + "/"
	c.Parts = lo.Map(c.Parts, func(p call.Part, _ int) call.Part { return call.Part{ID: mark + p.ID, Tokens: p.Tokens} })
	return c
}
