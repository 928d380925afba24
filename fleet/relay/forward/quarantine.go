package forward

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// A request may crash every endpoint that starts it, and its caller may send it again as a new
// call to any node. Retry limits count by call and by service and don't detect that. So calls that
// are interrupted when their endpoint ends are recorded by the fingerprint of the request. A request
// with which several endpoints ended is quarantined and no longer sent, whatever its call id.

// print identifies the call's request under any call id. It is computed once and on demand,
// since it reads the whole body.
func (j *job) print() quarantine.Fingerprint {
	if j.cachedFingerprint == (quarantine.Fingerprint{}) {
		j.cachedFingerprint = quarantine.FingerprintOf(j.tenant.Name, j.r.Method, j.r.Host, j.r.RequestURI, j.body)
	}
	return j.cachedFingerprint
}

// quarantined reports whether the request must not be sent: it is quarantined, and this call is
// not its probe or has made its attempt.
func (j *job) quarantined() bool {
	if !j.inQuarantine() || j.attempts == 0 && j.isProbe() {
		return false
	}
	j.note = "fingerprint " + j.print().String()
	return true
}

// refusedOnArrival reports whether the request is quarantined and no probe of it is due.
func (j *job) refusedOnArrival() bool {
	if !j.inQuarantine() || j.Quarantine.Armed(j.print(), clock.Now()) {
		return false
	}
	j.note = "fingerprint " + j.print().String()
	return true
}

func (j *job) inQuarantine() bool {
	return j.Quarantine != nil && j.Quarantine.Watches(j.tenant.Name) && j.Quarantine.IsQuarantined(j.print(), clock.Now())
}

// isProbe reports whether this call probes whether endpoints survive a quarantined request.
func (j *job) isProbe() bool {
	if j.probeRound > 0 {
		return true
	}
	round, ok := j.Quarantine.Probe(j.print(), clock.Now())
	if ok {
		j.probeRound = round
		j.Log.WithFields(log.Fields{"request": j.call.ID, "print": j.print().String(), "customer": j.tenant.Name}).Info("quarantined request is probed by this call")
	}
	return ok
}

// returnProbe lets another call be the probe if this one reached no endpoint.
func (j *job) returnProbe() {
	if j.probeRound > 0 && j.attempts == 0 {
		j.Quarantine.ReturnProbe(j.print(), j.probeRound)
	}
}

// nearQuarantine reports whether the end of one more endpoint would quarantine the request.
func (j *job) nearQuarantine() bool {
	return j.Quarantine != nil && j.Quarantine.Watches(j.tenant.Name) && j.Quarantine.ForbidsRetry(j.print(), clock.Now())
}

// recordInterrupted records a call that its endpoint interrupted, possibly by ending.
func (j *job) recordInterrupted(ctx context.Context, t *choice.Placement, p quarantine.Progress) {
	if j.Quarantine == nil || ctx.Err() != nil {
		return
	}
	s := quarantine.Suspect{Fingerprint: j.print(), Progress: p, Customer: j.tenant.Name, Route: j.route.Name}
	j.Quarantine.Interrupted(t.Engine, s, clock.Now())
}

// isInterrupted reports whether a failed attempt may have ended with its endpoint: there was no
// answer, and this node did not abandon it.
func isInterrupted(o failed) bool {
	return !o.answered && !errors.Is(o.err, errSilent) && !errors.Is(o.err, errSentTwice) && !errors.Is(o.err, context.Canceled)
}

// recordServed records that an endpoint answered the request completely.
func (j *job) recordServed() {
	if j.Quarantine == nil {
		return
	}
	now := clock.Now()
	j.Quarantine.Answered(j.print(), now)
	if j.Quarantine.Watches(j.tenant.Name) {
		j.Quarantine.Served(j.print(), now)
	}
}

// logBroken logs a broken stream. The lines of one endpoint show which calls were interrupted
// together, and those of one fingerprint whether the same request was interrupted before.
func (j *job) logBroken(t *choice.Placement, events int64, err error) {
	fields := log.Fields{
		"request": j.call.ID, "print": j.print().String(), "endpoint": t.Engine.ID, "address": t.Engine.Address, "attempt": j.attempts,
		"events": events, "left": j.r.Context().Err() != nil, "error": err.Error(),
	}
	describeVersion(fields, t)
	j.describeParts(fields)
	j.Log.WithFields(fields).Info("stream broke off")
}

// maxLoggedParts is how many parts of a prompt a log line names.
const maxLoggedParts = 8

// describeParts adds to the log fields the parts of the prompt that other calls may share: those of
// the calls that are interrupted at several endpoints tell what these calls have in common.
func (j *job) describeParts(fields log.Fields) {
	shared := j.call.Shared()
	if len(shared) > 0 {
		fields["parts"] = lo.Map(shared[:min(len(shared), maxLoggedParts)], func(p call.Part, _ int) string { return p.ID })
	}
}
