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
	Usable      Reason = iota
	Ending             // it says that it ends, in its entry or in answers
	Emptied            // its availability zone is to get no new work
	Tried              // the call was there
	Replaced           // another endpoint has its address, or another life its id
	Busy               // this node has as many calls in flight there as it may
	Suspected          // it failed or refused a call of this node of late
	Unreachable        // its availability zone can't be reached
	Resting            // it wants nothing for a while
	Doubted            // nodes tell of failures there
	Bounded            // this node's part of what a cold endpoint, or one under a limit, gets is used
	reasons
)

// String is the reason as an operator reads it.
func (r Reason) String() string {
	return [reasons]string{"usable", "ending", "emptied", "tried", "replaced", "busy", "suspected", "zone-unreachable", "resting", "doubted", "bounded"}[r]
}

// usable is the one place that says whether an endpoint may get a call, and why not.
func (p *Picker) usable(r *Request, e *engine.Engine, key uint64, with care) (*endpoint, Reason) {
	if why := r.barred(e, with); why != Usable {
		return nil, why
	}
	if p.rests(r, e, with) {
		return nil, Resting
	}
	s := p.endpoint(e.Life(), r.Profile.Capacity)
	switch {
	case s.gone:
		return s, Replaced
	case s.inFlight >= r.Cap:
		return s, Busy
	case with == sound && r.Now.Before(s.suspected):
		return s, Suspected
	case with == sound && p.unreachable(e.Zone, r.Now):
		return s, Unreachable
	case with != whichever && p.doubts != nil && p.doubts.Avoids(e.Life(), r.Again, key, r.Now):
		return s, Doubted
	case !p.may(*r, *e):
		return s, Bounded
	}
	return s, Usable
}

// barred is what an endpoint, or an operator, says of new calls, and where the call was. One that says
// in its answers that it leaves still serves for a while: that is better for a call than a refusal, and
// worse than any other endpoint.
func (r *Request) barred(e *engine.Engine, with care) Reason {
	lastResort := e.State == engine.Leaving && with == whichever && r.Now.Before(e.LeavesBy)
	switch {
	case e.State == engine.Evacuated:
		return Emptied
	case e.State != engine.Ready && !lastResort:
		return Ending
	case r.Exclude[e.Life()]:
		return Tried
	}
	return Usable
}

// LeftOut counts endpoints by why they may not get a call.
type LeftOut [reasons]int

// LeftOut says why no endpoint may get a call, for the log of its refusal.
func (p *Picker) LeftOut(r Request) LeftOut {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all LeftOut
	key := xxhash.Sum64String(r.Call.ID)
	for i := range r.Engines {
		_, why := p.usable(&r, &r.Engines[i], key, whichever)
		all[why]++
	}
	return all
}

// String lists the reasons that left endpoints out, and how many each did.
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
