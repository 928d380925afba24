package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/attempt"
	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// plainTimeout is the maximum duration of a plain call.
const plainTimeout = 30 * time.Second

// maxStoredAnswer is the maximum size of an answer that is stored for retries, in bytes.
const maxStoredAnswer = 64 << 10

// plainJob runs the attempts of a call of a plain service.
type plainJob struct {
	job
	call        plainCall
	holderKnows bool // the slot's holder has a record of the call
	// started reports whether an attempt may have started.
	started bool
}

func (e *Entry) runPlain(ctx context.Context, r *run, call plainCall) {
	j := &plainJob{job: job{entry: e, run: r}, call: call}
	j.req = dispatch.Request{
		Customer: call.customer.Name,
		Service:  call.service.Name,
		Weight:   e.Catalog().CustomerWeight(call.customer.Name, call.service.Name),
		Priority: call.service.Priority,
		Cost:     1,
		Deadline: e.deadlineOf(call.headers, call.service.Priority),
	}
	var refusal *problem.Problem
	if j.grant, refusal = e.acquireFirst(ctx, r.id, j.req, call.timeout()); refusal != nil {
		e.refuseRun(r, refusal)
		return
	}
	j.record = e.newRecord(r, call.headers, call.service, call.hash, j.grant.Endpoint())
	j.record.Repeatable = call.repeatable
	limits := e.limitsFor(call.headers, call.service.Name)
	j.record.Limits = lo.Map(limits, func(l limit.Line, _ int) string { return l.Name })
	if j.record.Key != "" || len(limits) > 0 {
		var ok bool
		if j.record, ok = e.admitRun(ctx, r, j.grant, peer.AdmitRequest{Record: j.record, Limits: limits, Try: call.attemptNumber}); !ok {
			return
		}
		j.holderKnows = true
	} else {
		r.begin(j.record)
	}
	j.runAttempts(ctx)
}

func (j *plainJob) runAttempts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, j.call.timeout())
	defer cancel()
	for {
		answer, err := j.runAttempt(ctx)
		if err == nil {
			j.entry.Dispatch.Release(j.grant, dispatch.Succeeded)
			j.answered(ctx, answer)
			return
		}
		j.started = j.started || !errors.Is(err, backend.ErrNotStarted)
		j.explain(event.Send, "attempt failed", err.Error())
		if j.nextStep(err) != attempt.Retry || ctx.Err() != nil || !j.retry(ctx, err) {
			j.giveUp(ctx, err)
			return
		}
	}
}

func (j *plainJob) runAttempt(ctx context.Context) (holder.Answer, error) {
	if j.holderKnows && j.isStale() {
		return holder.Answer{}, errStaleIncarnation
	}
	j.explain(event.Send, "sent", "")
	call := j.call.call
	call.Request, call.Memory = j.record.Request, j.run.lease
	return j.entry.Backend.CallService(ctx, j.attempt(), call)
}

func (j *plainJob) nextStep(err error) attempt.Step {
	failure := lo.Ternary(errors.Is(err, backend.ErrNotStarted), attempt.NotStarted, attempt.Broken)
	return attempt.Next(attempt.Situation{
		Failure:    failure,
		Attempts:   len(j.record.Attempts),
		Repeatable: j.call.repeatable,
		Left:       j.req.Deadline.Sub(j.entry.Clock.Now()),
		Budget:     j.entry.retryBudget(),
	})
}

func (j *plainJob) retry(ctx context.Context, cause error) bool {
	j.req.Excluded = append(j.req.Excluded, j.attempt().Endpoint)
	grant, refusal := j.entry.acquire(ctx, j.record.Request, j.req)
	if refusal != nil {
		return false
	}
	j.entry.Dispatch.Release(j.grant, dispatch.Failed)
	j.grant = grant
	next := attemptAt(len(j.record.Attempts)+1, grant.Endpoint())
	if j.holderKnows && !j.entry.noteAttempt(ctx, j.record, next, 0) {
		return false
	}
	j.record = j.record.WithAttempt(next)
	j.entry.countRetry()
	j.entry.Metrics.Retried(ctx)
	j.explain(event.Retry, "tries another endpoint", cause.Error())
	return true
}

func (j *plainJob) answered(ctx context.Context, answer holder.Answer) {
	if j.holderKnows {
		stored := &answer
		if len(answer.Body) > maxStoredAnswer {
			stored = nil
		}
		j.entry.end(context.WithoutCancel(ctx), peer.EndRequest{Record: j.record, Answer: stored})
	}
	j.run.finish(holder.Usage{}, &answer, j.entry.Clock.Now())
}

// giveUp ends the call without an answer. If an attempt may have started, the outcome is unknown.
func (j *plainJob) giveUp(ctx context.Context, cause error) {
	j.entry.Dispatch.Release(j.grant, dispatch.Failed)
	peerName := string(j.attempt().Endpoint)
	if !j.started {
		if j.holderKnows {
			j.entry.end(context.WithoutCancel(ctx), peer.EndRequest{Record: j.record, NotRun: true})
		}
		j.entry.refuseRun(j.run, problem.New(problem.NoEndpoint, cause.Error()).At(string(event.Send), peerName))
		return
	}
	if j.holderKnows {
		j.entry.end(context.WithoutCancel(ctx), peer.EndRequest{Record: j.record})
	}
	p := problem.New(problem.EndpointFailed, cause.Error()).At(string(event.Send), peerName)
	j.run.fail(p.WithOutcome(problem.Unknown), RunFailed, holder.Usage{}, j.entry.Clock.Now())
}
