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

// Bounds of one call's attempts.
const (
	maxUnreached = 3                     // endpoints that could not be reached before the call is refused
	maxDropped   = 8                     // connections that this node had closed itself, which cost no time
	leastLeft    = 10 * time.Millisecond // less than this until the deadline is not worth an attempt
)

// run sends the call until it has an answer or may not be sent again.
func (j *job) run() {
	j.Retries.Arrived(j.service.Name, j.start)
	defer j.returnProbe()
	ctx, cancel := j.context()
	defer cancel()
	tried := map[engine.Life]bool{}
	unreached, dropped := 0, 0
	for {
		if j.quarantined() { // since it came in, or since its last attempt
			j.refuse(refuseQuarantined)
			return
		}
		placement, ok := j.pick(tried)
		if !ok {
			j.refuse(j.whenNone(tried))
			return
		}
		tried[placement.Engine.Life()] = true
		j.engine, j.placed = placement.Engine.ID, placement
		out := j.send(ctx, placement, j.call.LastEventID)
		next, again := j.judge(ctx, placement, out)
		j.logAttempt(placement, out, again)
		if again {
			switch lost, ok := out.(neverSent); {
			case ok && lost.connected:
				delete(tried, placement.Engine.Life()) // another connection there may do
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

// logAttempt tells of an attempt that brought no answer, and what follows.
func (j *job) logAttempt(t *choice.Placement, out outcome, again bool) {
	fields := log.Fields{"request": j.call.ID, "endpoint": t.Engine.ID, "address": t.Engine.Address, "attempt": j.attempts, "again": again, "expectedMs": int64(t.FirstMs)}
	switch o := out.(type) {
	case neverSent:
		j.Log.WithFields(fields).WithField("error", o.err.Error()).Info("attempt not sent")
	case rejected:
		j.describeNotices(fields)
		j.Log.WithFields(fields).WithField("status", o.status).Info("attempt refused as not run")
	case failed:
		fields["print"] = j.print().String()
		j.Log.WithFields(fields).WithField("error", o.err.Error()).Info("attempt failed")
	case answered:
	}
}

func (j *job) pick(tried map[engine.Life]bool) (*choice.Placement, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return nil, false
	}
	j.renewHomes()
	r := j.choiceOf(tried, clock.Now())
	j.told = told{}
	if t := j.trial(); t != nil {
		return j.pickBySide(t, r)
	}
	r.Engines = j.atHome(engines.Of(j.service.Name))
	return j.Picker.Pick(r)
}

// choiceOf is what the choice of an endpoint depends on, but for which there are.
func (j *job) choiceOf(tried map[engine.Life]bool, now time.Time) choice.Request {
	return choice.Request{
		Call: j.placedCall(), Homes: j.homes.regions, Exclude: tried, Profile: profile(j.service),
		Again: j.route.MayRepeat(), Elsewhere: j.attempts+1 < j.route.Attempts, Objective: j.route.Objective - now.Sub(j.start), Gap: j.route.Gap, Bytes: j.bytes(), Cap: j.cap(), Now: now,
	}
}

// answerToken is how many bytes of an answer a generated token takes, at the least: text
// alone.
const answerToken = 4

// bytes are what goes to an endpoint and back, as far as it is known before.
func (j *job) bytes() int64 { return int64(len(j.body)) + answerToken*j.call.OutputMax }

func profile(s policy.Service) choice.Profile {
	return choice.Profile{
		Service: s.Name, Tokens: s.KVCapacity > 0, Capacity: s.KVCapacity,
		TokenBytes: s.TokenBytes, LinkMbps: s.LinkMbps,
		ColdStart: s.ColdStart, ColdPerSecond: s.ColdPerSecond,
	}
}

// cap is this node's part of an endpoint's connections.
func (j *job) cap() int {
	if j.service.MaxConnections <= 0 {
		return idlePerHost
	}
	return min(max(j.service.MaxConnections/(max(j.Nodes(), 1)+2), 2), idlePerHost)
}

func (j *job) whenNone(tried map[engine.Life]bool) refusal {
	switch {
	case j.nowhere():
		return refuseNoHome
	}
	j.noteLeftOut(tried)
	if f, limited := j.limited(); limited {
		return f
	}
	if f, resting := j.resting(); resting {
		return f
	}
	if len(tried) > 0 {
		return refuseFull
	}
	return refuseNoEngine
}

// noteLeftOut keeps why no endpoint may take the call, for the log.
func (j *job) noteLeftOut(tried map[engine.Life]bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return
	}
	r := j.choiceOf(tried, clock.Now())
	r.Engines = j.atHome(engines.Of(j.service.Name))
	why := "endpoints: " + j.Picker.LeftOut(r).String()
	if j.note != "" {
		why = j.note + "; " + why // what the last attempt showed
	}
	j.note = why
}

// limited is the refusal of a call where all endpoints of its service name limits. The caller is
// told to come back as fast as they allow, shared among all nodes.
func (j *job) limited() (refusal, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return refusal{}, false
	}
	perSecond, all := j.Picker.Limits(j.atHome(engines.Of(j.service.Name)))
	if !all {
		return refusal{}, false
	}
	f := refuseLimited
	f.after = j.Returns.After(j.service.Name, perSecond/float64(max(j.Nodes(), 1)), clock.Now())
	j.note = fmt.Sprintf("all endpoints name limits: %.2f calls a second in all", perSecond)
	return f, true
}

// resting is the refusal of a call where all endpoints of its service want nothing from this node
// for a while.
func (j *job) resting() (refusal, bool) {
	engines := j.Engines.Load()
	if engines == nil {
		return refusal{}, false
	}
	wait, all := j.Picker.Resting(j.atHome(engines.Of(j.service.Name)), clock.Now())
	f := refuseResting
	f.after = wait
	return f, all
}

// turnedAway is the refusal of a call that an endpoint did not run, and that may not be sent again.
func (j *job) turnedAway() refusal {
	if f, resting := j.resting(); resting {
		return f
	}
	if lo.SomeBy(j.notices, func(n call.Notice) bool { _, rest := n.(call.Rest); return rest }) {
		return refuseTurnedAway
	}
	return refuseFull
}

// judge decides what an attempt's outcome means for the call: send it again,
// refuse it (nil: it is already answered).
func (j *job) judge(ctx context.Context, t *choice.Placement, out outcome) (*refusal, bool) {
	switch o := out.(type) {
	case neverSent:
		j.close(t, resultOf(ctx, resultOfUnsent(o)), took{})
		j.note = o.err.Error()
		return j.ifOver(ctx, refuseUnstarted)
	case rejected:
		j.close(t, resultOfRejection(o), took{})
		if j.mayRepeat(ctx) {
			return nil, true
		}
		f := j.turnedAway()
		return &f, false
	case failed:
		j.told.heard = o.heard
		j.close(t, resultOf(ctx, resultOfFailure(o)), took{})
		j.note = o.err.Error()
		if isCut(o) {
			j.cut(ctx, t, quarantine.Nothing)
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

// resultOf an attempt that failed in some way: where the caller left, it says nothing.
func resultOf(ctx context.Context, failed choice.Result) choice.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return choice.Neutral
	}
	return failed
}

// resultOfFailure tells an endpoint that ended the connection from one that answered
// something else, or nothing in time.
func resultOfFailure(o failed) choice.Result {
	var network net.Error
	timeout := errors.As(o.err, &network) && network.Timeout()
	switch {
	case o.heard, timeout, errors.Is(o.err, errSilent), errors.Is(o.err, errTwice), errors.Is(o.err, context.Canceled):
		return choice.Bad
	}
	return choice.Cut
}

// resultOfUnsent tells an endpoint that can't be reached from a connection of this node's.
func resultOfUnsent(o neverSent) choice.Result {
	if o.connected {
		return choice.Neutral
	}
	return choice.Unreached
}

// resultOfRejection tells an endpoint that is full from one that is never back.
func resultOfRejection(o rejected) choice.Result {
	if o.moved {
		return choice.Gone
	}
	return choice.Rejected
}

func (j *job) ifOver(ctx context.Context, f refusal) (*refusal, bool) {
	if ctx.Err() != nil {
		return &f, false
	}
	return nil, true
}

func (j *job) afterFailure(ctx context.Context) *refusal {
	if j.r.Context().Err() != nil {
		return &refuseLeft
	}
	if isOverdue(ctx) {
		return &refuseTimedOut
	}
	return &refuseUnknown
}

// mayRunAgain is whether a call that may have run may run once more.
func (j *job) mayRunAgain(ctx context.Context) bool {
	return j.route.MayRepeat() && !j.wary() && j.mayRepeat(ctx)
}

// mayRepeat is whether the call may be sent to one more endpoint; true counts it.
func (j *job) mayRepeat(ctx context.Context) bool { return j.mayNotRepeat(ctx) == "" }

// mayNotRepeat is why the call may not be sent to one more endpoint; "" is that it may, and
// counts it.
func (j *job) mayNotRepeat(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return "the call is over"
	case clock.Until(j.end) < leastLeft:
		return "too little time is left"
	case j.attempts >= max(j.route.Attempts, 1):
		return "its attempts are used up"
	case !j.Retries.Take(j.service.Name, clock.Now()):
		return "the service's retries are used up"
	default:
		return ""
	}
}

// answer passes an endpoint's answer on.
func (j *job) answer(ctx context.Context, t *choice.Placement, o answered) (*refusal, bool) {
	j.told.heard = true
	if o.resp.StatusCode >= http.StatusInternalServerError && j.mayRunAgain(ctx) {
		drop(o.resp)
		j.close(t, choice.Bad, took{})
		return nil, true
	}
	if isStream(o.resp) {
		j.stream(ctx, t, o)
		return nil, false
	}
	return j.whole(ctx, t, o)
}
