package forward

import (
	"context"
	"time"

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
// with which several endpoints ended is quarantined and no longer sent, whatever its call id. So is
// a part of prompts: requests that have it may each come for the first time.

// print identifies the call's request under any call id. It is computed once and on demand,
// since it reads the whole body.
func (j *job) print() quarantine.Fingerprint {
	if j.cachedFingerprint == (quarantine.Fingerprint{}) {
		j.cachedFingerprint = quarantine.FingerprintOf(j.tenant.Name, j.r.Method, j.r.Host, j.r.RequestURI, j.body)
	}
	return j.cachedFingerprint
}

// partPrints returns the fingerprints of the parts of the call's prompt that other calls may share, in
// the prompt's order.
func (j *job) partPrints() []quarantine.Fingerprint {
	if j.cachedParts == nil {
		j.cachedParts = lo.Map(j.call.Shared(), func(p call.Part, _ int) quarantine.Fingerprint {
			return quarantine.FingerprintOfPart(j.tenant.Name, j.service.Name, p.ID)
		})
	}
	return j.cachedParts
}

// prints returns the fingerprints under which the call may be quarantined: its own and those of the
// parts of its prompt.
func (j *job) prints() []quarantine.Fingerprint {
	return append([]quarantine.Fingerprint{j.print()}, j.partPrints()...)
}

// quarantined reports whether the request must not be sent: it or a part of its prompt is
// quarantined, and this call is not the probe or has made its attempt.
func (j *job) quarantined() bool {
	held := j.inQuarantine()
	if len(held) == 0 || j.attempts == 0 && j.isProbe(held) {
		return false
	}
	j.noteQuarantined(held[0])
	return true
}

// refusedOnArrival reports whether the request is quarantined and no probe of it is due.
func (j *job) refusedOnArrival() bool {
	unarmed := lo.Reject(j.inQuarantine(), func(p quarantine.Fingerprint, _ int) bool { return j.Quarantine.Armed(p, clock.Now()) })
	if len(unarmed) == 0 {
		return false
	}
	j.noteQuarantined(unarmed[0])
	return true
}

func (j *job) noteQuarantined(p quarantine.Fingerprint) {
	j.note = "fingerprint " + p.String()
	if at := lo.IndexOf(j.partPrints(), p); at >= 0 {
		j.note = "part " + quarantine.PartName(j.call.Parts[at].ID) + " of its prompt, " + j.note
	}
}

// inQuarantine returns the fingerprints of the call that are quarantined.
func (j *job) inQuarantine() []quarantine.Fingerprint {
	if j.Quarantine == nil || !j.Quarantine.Watches(j.tenant.Name) {
		return nil
	}
	now := clock.Now()
	return lo.Filter(j.prints(), func(p quarantine.Fingerprint, _ int) bool { return j.Quarantine.IsQuarantined(p, now) })
}

// probe is a quarantined request or part that a call probes.
type probe struct {
	print quarantine.Fingerprint
	round int
}

// isProbe reports whether this call probes whether endpoints survive all that is quarantined of it.
func (j *job) isProbe(held []quarantine.Fingerprint) bool {
	for _, p := range held {
		if lo.ContainsBy(j.probes, func(taken probe) bool { return taken.print == p }) {
			continue
		}
		round, ok := j.Quarantine.Probe(p, clock.Now())
		if !ok {
			return false
		}
		j.probes = append(j.probes, probe{p, round})
		j.Log.WithFields(log.Fields{"request": j.call.ID, "print": p.String(), "customer": j.tenant.Name}).Info("quarantined request is probed by this call")
	}
	return true
}

// returnProbe lets another call be the probe if this one reached no endpoint.
func (j *job) returnProbe() {
	if j.attempts > 0 {
		return
	}
	for _, p := range j.probes {
		j.Quarantine.ReturnProbe(p.print, p.round)
	}
}

// nearQuarantine reports whether the end of one more endpoint would quarantine the request.
func (j *job) nearQuarantine() bool {
	if j.Quarantine == nil || !j.Quarantine.Watches(j.tenant.Name) {
		return false
	}
	now := clock.Now()
	return lo.SomeBy(j.prints(), func(p quarantine.Fingerprint) bool { return j.Quarantine.ForbidsRetry(p, now) })
}

// recordInterrupted records a call that its endpoint interrupted, possibly by ending.
func (j *job) recordInterrupted(ctx context.Context, t *choice.Placement, p quarantine.Progress) {
	if j.Quarantine == nil || ctx.Err() != nil {
		return
	}
	whole := quarantine.Suspect{Fingerprint: j.print(), Progress: p, Customer: j.tenant.Name, Route: j.route.Name}
	suspects := []quarantine.Suspect{whole}
	for i, print := range j.partPrints() {
		part := whole
		part.Fingerprint, part.Part, part.Depth = print, quarantine.PartName(j.call.Parts[i].ID), i+1
		suspects = append(suspects, part)
	}
	j.Quarantine.Interrupted(t.Engine, suspects, clock.Now())
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
	j.recordPartsSurvived(now)
}

// recordPartsSurvived records that an endpoint has survived the parts of the prompt: it goes on after
// it has begun the answer. A long stream need not end before its parts are cleared.
func (j *job) recordPartsSurvived(now time.Time) {
	if j.Quarantine == nil || j.partsSurvived {
		return
	}
	j.partsSurvived = true
	watched := j.Quarantine.Watches(j.tenant.Name)
	for _, p := range j.partPrints() {
		j.Quarantine.PartAnswered(p, now)
		if watched {
			j.Quarantine.Served(p, now)
		}
	}
}

// logBroken logs a broken stream. The lines of one endpoint show which calls were interrupted
// together, and those of one fingerprint whether the same request was interrupted before.
func (j *job) logBroken(t *choice.Placement, s *streamRelay, err error) {
	fields := log.Fields{
		"request": j.call.ID, "print": j.print().String(), "endpoint": t.Engine.ID, "address": t.Engine.Address, "attempt": j.attempts,
		"events": s.events, "part": s.part.String(), "left": j.r.Context().Err() != nil, "error": err.Error(),
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
