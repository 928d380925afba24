package choice

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Reason is why an endpoint may not get a call now.
type Reason int

// The reasons.
const (
	Usable            Reason = iota
	Ending                   // it signals its end, in its entry or in answers
	Evacuated                // its availability zone is being evacuated
	Tried                    // the call was already there
	Replaced                 // another endpoint has its address, or another incarnation its id
	Busy                     // this node's maximum of calls in flight there is reached
	Suspected                // it failed or refused a call of this node lately
	Unreachable              // its availability zone is unreachable
	Resting                  // it asked for no calls for a while
	SuspectedByOthers        // several nodes report failures there
	Bounded                  // this node's share of a bound is used: the endpoint is cold or names a limit
	NoRoom                   // all of this node's share of its slots is used, and it would crash by rejections
	reasons
)

// String returns the reason as shown to operators.
func (r Reason) String() string {
	return [reasons]string{"usable", "ending", "emptied", "tried", "replaced", "busy", "suspected", "zone-unreachable", "resting", "doubted", "bounded", "no-room"}[r]
}

// usable decides whether an endpoint may get a call, and why not. All such rules are combined
// here.
func (p *Picker) usable(r *Request, e *engine.Engine, key uint64, level tolerance) (*endpoint, Reason) {
	if why := r.ineligible(e, level); why != Usable {
		return nil, why
	}
	if p.excludedByRest(r, e, level) {
		return nil, Resting
	}
	s := p.endpoint(e.Incarnation(), r.Profile.Capacity)
	switch {
	case s.isGoneAt(e.Address):
		return s, Replaced
	case s.inFlight >= r.Cap:
		return s, Busy
	case level == healthyOnly && r.Now.Before(s.suspectedUntil):
		return s, Suspected
	case level == healthyOnly && p.unreachable(e.Zone, r.Now):
		return s, Unreachable
	case level != allowAll && p.suspicions != nil && p.suspicions.Avoids(e.Incarnation(), r.Repeatable, key, r.Now):
		return s, SuspectedByOthers
	case !p.withinBounds(*r, *e):
		return s, Bounded
	case !p.hasRoom(r, e, s):
		return s, NoRoom
	}
	return s, Usable
}

// ineligible applies the state of the endpoint and the call's earlier attempts. An endpoint
// whose answers say that it leaves still serves for a while: it is the last resort, since it is
// better than a refusal and worse than any other endpoint.
func (r *Request) ineligible(e *engine.Engine, level tolerance) Reason {
	lastResort := e.State == engine.Leaving && level == allowAll && r.Now.Before(e.LeavesBy)
	switch {
	case e.State == engine.Evacuated:
		return Evacuated
	case e.State != engine.Ready && !lastResort:
		return Ending
	case r.Exclude[e.Incarnation()]:
		return Tried
	}
	return Usable
}

// LeftOut counts endpoints by the reason why they may not get a call.
type LeftOut [reasons]int

// LeftOut explains why no endpoint may get a call, for the log of the refusal.
func (p *Picker) LeftOut(r Request) LeftOut {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all LeftOut
	key := xxhash.Sum64String(r.Call.ID)
	for i := range r.Engines {
		_, why := p.usable(&r, &r.Engines[i], key, allowAll)
		all[why]++
	}
	return all
}

// String lists the reasons with the number of endpoints of each.
func (l LeftOut) String() string {
	var parts []string
	for why := Usable; why < reasons; why++ {
		if l[why] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", l[why], why))
		}
	}
	if len(parts) == 0 {
		return "no endpoint is known"
	}
	return strings.Join(parts, ", ")
}
