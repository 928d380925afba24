package forward

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// A request may end every endpoint that begins it, and its caller may send it again as a
// new call, to any node. What may be sent again is counted by call and by service, and
// knows nothing of that: so calls that are cut with their endpoints are noted by what they
// ask for, and one under which several ended is sent nowhere, whatever its id.

// print tells the call's request again under any id. It is worked out once, and only
// where it is asked for, since it reads the whole body.
func (j *job) print() quarantine.Print {
	if j.printed == (quarantine.Print{}) {
		j.printed = quarantine.PrintOf(j.tenant.Name, j.r.Method, j.r.Host, j.r.RequestURI, j.body)
	}
	return j.printed
}

// quarantined is whether the request is to reach no endpoint. A probe of one that is held
// back reaches one.
func (j *job) quarantined() bool {
	if !j.heldBack() || j.attempts == 0 && j.probes() {
		return false
	}
	j.note = "print " + j.print().String()
	return true
}

// refusedAtOnce is whether the request is to reach no endpoint, and this call is no probe of it.
func (j *job) refusedAtOnce() bool {
	if !j.heldBack() || j.Quarantine.Armed(j.print(), clock.Now()) {
		return false
	}
	j.note = "print " + j.print().String()
	return true
}

func (j *job) heldBack() bool {
	return j.Quarantine != nil && j.Quarantine.Watches(j.tenant.Name) && j.Quarantine.Holds(j.print(), clock.Now())
}

// probes is whether this call shows whether endpoints bear a request that is held back.
func (j *job) probes() bool {
	if j.probe > 0 {
		return true
	}
	round, ok := j.Quarantine.Probe(j.print(), clock.Now())
	if ok {
		j.probe = round
		j.Log.WithFields(log.Fields{"request": j.call.ID, "print": j.print().String(), "customer": j.tenant.Name}).Info("request held back is probed: this call is sent on")
	}
	return ok
}

// returnProbe lets another call be the probe where this one reached no endpoint.
func (j *job) returnProbe() {
	if j.probe > 0 && j.attempts == 0 {
		j.Quarantine.Unsent(j.print(), j.probe)
	}
}

// wary is whether one more endpoint might end under the request that would be one too many.
func (j *job) wary() bool {
	return j.Quarantine != nil && j.Quarantine.Watches(j.tenant.Name) && j.Quarantine.Wary(j.print(), clock.Now())
}

// cut notes a call that was ended by its endpoint, or with it.
func (j *job) cut(ctx context.Context, t *choice.Placement, p quarantine.Progress) {
	if j.Quarantine == nil || ctx.Err() != nil {
		return
	}
	s := quarantine.Suspect{Print: j.print(), Progress: p, Customer: j.tenant.Name, Route: j.route.Name}
	j.Quarantine.Cut(t.Engine, s, clock.Now())
}

// isCut is whether a failed attempt may have ended with its endpoint: nothing answered,
// and it was not this node that gave it up.
func isCut(o failed) bool {
	return !o.heard && !errors.Is(o.err, errSilent) && !errors.Is(o.err, errTwice) && !errors.Is(o.err, context.Canceled)
}

// served notes that an endpoint answered the request whole.
func (j *job) served() {
	if j.Quarantine == nil {
		return
	}
	now := clock.Now()
	j.Quarantine.Answered(j.print(), now)
	if j.Quarantine.Watches(j.tenant.Name) {
		j.Quarantine.Served(j.print(), now)
	}
}

// logBroken tells of a stream that broke off: what was cut together, and whether the same
// request was cut before, can be read from the lines of one endpoint, and of one print.
func (j *job) logBroken(t *choice.Placement, events int64, err error) {
	j.Log.WithFields(log.Fields{
		"request": j.call.ID, "print": j.print().String(), "endpoint": t.Engine.ID, "address": t.Engine.Address, "attempt": j.attempts,
		"events": events, "left": j.r.Context().Err() != nil, "error": err.Error(),
	}).Info("stream broke off")
}
