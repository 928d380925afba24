package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// Limits on the attempts of a call.
const (
	maxUnreached = 3                     // unreachable endpoints before the call is refused
	maxDropped   = 8                     // connections that this node had closed itself, which cost no time
	minRemaining = 10 * time.Millisecond // until the deadline; with less, an attempt is not worthwhile
)

// run sends the call until it has an answer or may not be sent again.
func (j *job) run() {
	j.Retries.Arrived(j.service.Name, j.start)
	defer j.returnProbe()
	ctx, cancel := j.context()
	defer cancel()
	tried := map[engine.Incarnation]bool{}
	unreached, dropped := 0, 0
	for {
		if j.attempts == 0 && j.outlastsStop() {
			j.refuse(refuseLeaving)
			return
		}
		if j.quarantined() { // it may have been quarantined since it arrived or since its last attempt
			j.refuse(refuseQuarantined)
			return
		}
		placement, ok := j.pickOrWait(ctx, tried)
		if !ok {
			j.refuse(j.refusalWithoutEndpoint(tried))
			return
		}
		tried[placement.Engine.Incarnation()] = true
		j.engine, j.placed = placement.Engine.ID, placement
		out := j.send(ctx, placement, j.call.LastEventID)
		next, retry := j.decide(ctx, placement, out)
		j.logAttempt(placement, out, retry)
		if retry {
			switch unsent, ok := out.(neverSent); {
			case ok && unsent.mayUseAnother():
				delete(tried, placement.Engine.Incarnation())
				dropped++
			case ok:
				unreached++
			}
			if unreached >= maxUnreached || dropped >= maxDropped {
				j.refuse(refuseNoEngine)
				return
			}
			continue
		}
		if next != nil {
			j.refuse(*next)
		}
		return
	}
}

// logAttempt logs an attempt without an answer, and whether the call is sent again.
func (j *job) logAttempt(t *choice.Placement, out outcome, retry bool) {
	fields := log.Fields{"request": j.call.ID, "endpoint": t.Engine.ID, "address": t.Engine.Address, "attempt": j.attempts, "again": retry, "expectedMs": int64(t.FirstMs)}
	describeVersion(fields, t)
	switch o := out.(type) {
	case neverSent:
		j.describePath(fields)
		j.Log.WithFields(fields).WithField("error", o.err.Error()).Info("attempt not sent")
	case rejected:
		j.describeNotices(fields)
		j.Log.WithFields(fields).WithField("status", o.status).Info("attempt refused as not run")
	case failed:
		fields["print"] = j.print().String()
		j.describeParts(fields)
		j.describePath(fields)
		j.Log.WithFields(fields).WithField("error", o.err.Error()).Info("attempt failed")
	case answered:
	}
}

func (j *job) pick(tried map[engine.Incarnation]bool) (*choice.Placement, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return nil, false
	}
	j.refreshRegions()
	r := j.choiceRequest(tried, clock.Now())
	j.reported = reported{}
	t := j.trial()
	if t == nil {
		r.Engines = j.candidates(engines)
		return j.Picker.Pick(r)
	}
	if j.began != nil {
		version := engines.ResolveVersion(j.began.Version)
		r.Trial = version == t.lists.Rollout.Target
		return j.pickAmong(t, t.ofVersion(version), r)
	}
	return j.pickByVersion(t, r)
}

// choiceRequest returns the input for the choice of an endpoint, without the candidates.
func (j *job) choiceRequest(tried map[engine.Incarnation]bool, now time.Time) choice.Request {
	return choice.Request{
		Call: j.regionScopedCall(), AllowedRegions: j.regions.regions, Exclude: tried, Profile: profile(j.service),
		Repeatable: j.route.MayRepeat(), HasMoreAttempts: j.attempts+1 < j.route.Attempts, Objective: j.route.Objective - now.Sub(j.start), Gap: j.route.Gap, Bytes: j.transferBytes(), Cap: j.cap(), Now: now,
	}
}

// openRequest returns the input for the choice among all candidates, whatever an order says; false if
// no endpoint is known yet.
func (j *job) openRequest(tried map[engine.Incarnation]bool) (choice.Request, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return choice.Request{}, false
	}
	r := j.choiceRequest(tried, clock.Now())
	r.Engines = j.candidates(engines)
	return r, true
}

// bytesPerToken is the minimum size of a generated token in an answer: its text alone.
const bytesPerToken = 4

// transferBytes estimates the bytes sent to an endpoint and back, from what is known in advance.
func (j *job) transferBytes() int64 { return int64(len(j.body)) + bytesPerToken*j.call.OutputMax }

func profile(s policy.Service) choice.Profile {
	return choice.Profile{
		Service: s.Name, Tokens: s.KVCapacity > 0, Capacity: s.KVCapacity,
		TokenBytes: s.TokenBytes, LinkMbps: s.LinkMbps,
		ColdStart: s.ColdStart, ColdPerSecond: s.ColdPerSecond,
	}
}

// cap returns this node's share of an endpoint's connections.
func (j *job) cap() int {
	if j.service.MaxConnections <= 0 {
		return idlePerHost
	}
	return min(max(j.service.MaxConnections/(max(j.Nodes(), 1)+2), 2), idlePerHost)
}

func (j *job) refusalWithoutEndpoint(tried map[engine.Incarnation]bool) refusal {
	switch {
	case j.noAllowedRegion():
		return refuseNoRegion
	case j.versionGone():
		return j.refusalOfVersion()
	}
	j.noteExcluded(tried)
	if f, limited := j.allLimited(); limited {
		return f
	}
	if f, resting := j.allResting(); resting {
		return f
	}
	if len(tried) > 0 {
		return refuseFull
	}
	return refuseNoEngine
}

// noteExcluded notes why no endpoint may take the call, for the log.
func (j *job) noteExcluded(tried map[engine.Incarnation]bool) {
	r, ok := j.openRequest(tried)
	if !ok {
		return
	}
	why := "endpoints: " + j.Picker.LeftOut(r).String()
	if j.note != "" {
		why = j.note + "; " + why // keep the result of the last attempt
	}
	j.note = why
}

// allLimited returns the refusal of a call if all endpoints of its service set rate limits. Its
// Retry-After spreads the callers over this node's share of the total rate.
func (j *job) allLimited() (refusal, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return refusal{}, false
	}
	perSecond, all := j.Picker.Limits(j.candidates(engines))
	if !all {
		return refusal{}, false
	}
	f := refuseLimited
	f.after = j.RetrySchedule.After(j.service.Name, perSecond/float64(max(j.Nodes(), 1)), clock.Now())
	j.note = fmt.Sprintf("all endpoints set rate limits: %.2f calls/s in total", perSecond)
	return f, true
}

// allResting returns the refusal of a call if all endpoints of its service have asked this node to
// send nothing for a while.
func (j *job) allResting() (refusal, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return refusal{}, false
	}
	wait, all := j.Picker.Resting(j.candidates(engines), clock.Now())
	f := refuseResting
	f.after = wait
	return f, all
}

// turnedAway returns the refusal of a call that an endpoint did not run and that may not be sent again.
func (j *job) turnedAway() refusal {
	if f, resting := j.allResting(); resting {
		return f
	}
	if lo.SomeBy(j.notices, func(n call.Notice) bool { _, rest := n.(call.Rest); return rest }) {
		return refuseTurnedAway
	}
	return refuseFull
}

// decide returns true if the call is to be sent again after an attempt's outcome. Otherwise it
// returns the refusal, or nil if the call has been answered.
func (j *job) decide(ctx context.Context, t *choice.Placement, out outcome) (*refusal, bool) {
	switch o := out.(type) {
	case neverSent:
		t.Unsent()
		j.close(t, resultOf(ctx, resultOfUnsent(o)), timing{})
		j.note = o.err.Error()
		return j.retryUnlessOver(ctx, refuseUnstarted)
	case rejected:
		j.close(t, resultOfRejection(o), timing{})
		if j.takeRetry(ctx) {
			return nil, true
		}
		f := j.turnedAway()
		return &f, false
	case failed:
		j.reported.answered = o.answered
		j.close(t, resultOf(ctx, resultOfFailure(o)), timing{})
		j.note = o.err.Error()
		if isInterrupted(o) {
			j.recordInterrupted(ctx, t, quarantine.Nothing)
		}
		if j.mayRunAgain(ctx) {
			return nil, true
		}
		return j.afterFailure(ctx), false
	case answered:
		return j.answer(ctx, t, o)
	}
	return &refuseUnknown, false
}

// resultOf returns the result of a failed attempt, which is Neutral if the caller has left.
func resultOf(ctx context.Context, failed choice.Result) choice.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return choice.Neutral
	}
	return failed
}

// resultOfFailure distinguishes an endpoint that closed the connection from one that answered
// something else or did not answer in time.
func resultOfFailure(o failed) choice.Result {
	var network net.Error
	timeout := errors.As(o.err, &network) && network.Timeout()
	switch {
	case o.answered, timeout, errors.Is(o.err, errSilent), errors.Is(o.err, errSentTwice), errors.Is(o.err, context.Canceled):
		return choice.Bad
	}
	return choice.Interrupted
}

// resultOfUnsent distinguishes an unreachable endpoint from a connection that this node closed.
func resultOfUnsent(o neverSent) choice.Result {
	if o.connected {
		return choice.Neutral
	}
	return choice.Unreached
}

// resultOfRejection distinguishes a full endpoint from one that is gone for good.
func resultOfRejection(o rejected) choice.Result {
	if o.moved {
		return choice.Gone
	}
	return choice.Rejected
}

// retryUnlessOver returns true if the call is to be sent again, and the refusal if it is over.
func (j *job) retryUnlessOver(ctx context.Context, f refusal) (*refusal, bool) {
	if ctx.Err() != nil {
		return &f, false
	}
	return nil, true
}

func (j *job) afterFailure(ctx context.Context) *refusal {
	if j.r.Context().Err() != nil {
		return &refuseLeft
	}
	if errors.Is(context.Cause(ctx), errQuarantined) {
		return &refuseQuarantined
	}
	if isOverdue(ctx) {
		return &refuseTimedOut
	}
	return &refuseUnknown
}

// mayRunAgain reports whether a call that may have run may run once more, and counts it if so.
func (j *job) mayRunAgain(ctx context.Context) bool {
	return j.route.MayRepeat() && !j.nearQuarantine() && j.takeRetry(ctx)
}

// takeRetry reports whether the call may be sent to one more endpoint, and counts it if so.
func (j *job) takeRetry(ctx context.Context) bool { return j.whyNoRetry(ctx) == "" }

// whyNoRetry returns why the call may not be sent to one more endpoint. If it may, it returns ""
// and counts the retry.
func (j *job) whyNoRetry(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return "the call is over"
	case clock.Until(j.end) < minRemaining:
		return "too little time is left"
	case j.attempts >= max(j.route.Attempts, 1):
		return "the attempts are used up"
	case !j.Retries.Take(j.service.Name, clock.Now()):
		return "the service's retries are used up"
	default:
		return ""
	}
}

// answer passes an endpoint's answer on.
func (j *job) answer(ctx context.Context, t *choice.Placement, o answered) (*refusal, bool) {
	j.reported.answered = true
	if o.resp.StatusCode >= http.StatusInternalServerError && j.mayRunAgain(ctx) {
		closeBody(o.resp)
		j.close(t, choice.Bad, timing{})
		return nil, true
	}
	j.framing = framingOf(o.resp)
	if isStream(o.resp) {
		j.relayStream(ctx, t, o)
		return nil, false
	}
	return j.passComplete(ctx, t, o)
}
