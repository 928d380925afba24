package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/attempt"
	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// The causes for which the fleet itself ends the reading of a stream.
var (
	errStalled = errors.New("the endpoint sent nothing for too long")
	errOverCap = errors.New("the output is over its cap")
)

// cancelTime bounds the wait for an engine to confirm a cancellation.
const cancelTime = time.Second

// chatJob takes an admitted chat completion through its attempts.
type chatJob struct {
	job
	call chatCall

	resumes  int
	spent    holder.Usage     // of earlier attempts
	awaiting []holder.Attempt // earlier attempts whose cost is not known
	doubtful []holder.Attempt // earlier attempts that had not started when they were stopped
	last     string           // the chunk with the usage
}

// do runs attempts until one is whole or the policy gives up.
func (j *chatJob) do(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, j.call.service.Timeout)
	defer cancel()
	resume := false
	for {
		usage, err := j.once(ctx, resume)
		if err == nil {
			j.entry.Dispatch.Release(j.grant, dispatch.Succeeded)
			j.whole(ctx, usage)
			return
		}
		if ctx.Err() != nil || errors.Is(err, errOverCap) {
			j.cut(ctx, err)
			return
		}
		j.explain(event.Stream, "attempt failed", err.Error())
		switch j.next(ctx, err) {
		case attempt.Resume:
			resume = true
			j.resumes++
			j.entry.Metrics.Resumed(ctx)
			j.explain(event.Resume, "asked for the rest", "")
			j.pause(ctx)
		case attempt.Retry:
			resume = false
			if !j.again(ctx, err) {
				return
			}
		case attempt.GiveUp:
			j.giveUp(ctx, err)
			return
		}
	}
}

// resumePause lets a broken connection's endpoint come back before it is asked again.
const resumePause = 100 * time.Millisecond

func (j *chatJob) pause(ctx context.Context) {
	timer := j.entry.Clock.NewTimer(time.Duration(j.resumes) * resumePause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// once sends or resumes an attempt and relays it to its end.
func (j *chatJob) once(ctx context.Context, resume bool) (holder.Usage, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := j.entry.Clock.AfterFunc(j.entry.options.AnswerTime, func() { stop(errStalled) })
	defer watch.Stop()
	stream, err := j.open(ctx, resume)
	if err != nil {
		return holder.Usage{}, causeOf(ctx, err)
	}
	defer stream.Close()
	watch.Reset(j.entry.options.StallTime + max(0, j.ask.Deadline.Sub(j.entry.Clock.Now())))
	usage, err := j.relay(ctx, stream, func() { watch.Reset(j.entry.options.StallTime) })
	return usage, causeOf(ctx, err)
}

// causeOf names a stall instead of the cancelled context that it led to.
func causeOf(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

func (j *chatJob) open(ctx context.Context, resume bool) (*backend.Stream, error) {
	if resume {
		return j.entry.Backend.Resume(ctx, j.attempt(), j.record.Request, j.run.relayed())
	}
	if j.isOver() {
		return nil, errOver
	}
	j.explain(event.Send, "sent", "")
	return j.entry.Backend.Start(ctx, j.attempt(), j.record.Request, j.record.Customer, j.call.body)
}

// relay passes chunks on to the run; the one with the usage waits for the settlement.
func (j *chatJob) relay(ctx context.Context, stream *backend.Stream, alive func()) (holder.Usage, error) {
	var usage *holder.Usage
	sent := j.entry.Clock.Now()
	var first time.Time
	count := 0
	defer func() { j.pace(first, count) }()
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return holder.Usage{}, err
		}
		alive()
		switch {
		case chunk.Done && usage == nil:
			return holder.Usage{}, errors.Mark(errors.New("the stream ended without its token count"), backend.ErrTruncated)
		case chunk.Done:
			return *usage, nil
		case chunk.Usage != nil:
			usage, j.last = chunk.Usage, chunk.Data
		case int64(j.run.relayed()) >= j.call.cap:
			return holder.Usage{}, errOverCap
		default:
			if j.run.relayed() == 0 {
				j.entry.Metrics.FirstToken(ctx, j.entry.Clock.Since(sent))
			}
			if count++; count == 1 {
				first = j.entry.Clock.Now()
			}
			j.run.relay(chunk.Data)
		}
	}
	return holder.Usage{}, backend.ErrTruncated
}

// pacedTokens is how many tokens a stream must have for its pace to count.
const pacedTokens = 8

func (j *chatJob) pace(first time.Time, count int) {
	if count >= pacedTokens {
		j.entry.Dispatch.RecordTokenInterval(j.grant, j.entry.Clock.Since(first)/time.Duration(count-1))
	}
}

// next asks the policy what to do after a failure.
func (j *chatJob) next(ctx context.Context, err error) attempt.Step {
	failure := attempt.Broken
	switch {
	case errors.Is(err, backend.ErrNotStarted) && j.run.relayed() == 0 && j.resumes == 0:
		failure = attempt.NotStarted
	case errors.Is(err, backend.ErrRejected):
		failure = attempt.Rejected
	case errors.Is(err, backend.ErrForeign):
		failure = attempt.Foreign
	}
	resumable := true
	if failure != attempt.NotStarted && j.run.relayed() == 0 {
		// Nothing has come: if the engine never began, another one may.
		o, askErr := j.entry.Backend.Outcome(ctx, j.attempt(), j.record.Request)
		resumable = askErr == nil && o.State != backend.StateNever
		if askErr == nil && o.State == backend.StateNever && failure != attempt.Rejected {
			failure = attempt.NotStarted
		}
	}
	return attempt.Next(attempt.Situation{
		Failure:    failure,
		Attempts:   len(j.record.Attempts),
		Resumes:    j.resumes,
		Relayed:    j.run.relayed() > 0,
		Resumable:  resumable,
		Repeatable: true, // an answer that nobody has seen may be made anew
		Left:       j.left(),
		Budget:     j.entry.retryBudget(),
	})
}

// left is how long the call may still look for an endpoint.
func (j *chatJob) left() time.Duration {
	if j.run.relayed() > 0 {
		return j.call.service.Timeout
	}
	return j.ask.Deadline.Sub(j.entry.Clock.Now())
}

func (e *Entry) retryBudget() attempt.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries
}

func (e *Entry) countRetry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retries = e.retries.WithRetry()
}

// again moves the request to another endpoint; false where it had to end.
func (j *chatJob) again(ctx context.Context, cause error) bool {
	j.entry.Dispatch.Release(j.grant, dispatch.Failed)
	j.abandonAttempt(ctx)
	j.ask.Excluded = append(j.ask.Excluded, j.attempt().Endpoint)
	grant, refusal := j.entry.acquire(ctx, j.record.Request, j.ask)
	if refusal != nil {
		j.finishWithout(ctx, refusal)
		return false
	}
	j.grant = grant
	next := attemptAt(len(j.record.Attempts)+1, grant.Endpoint())
	if !j.entry.note(ctx, j.record, next, j.extra()) {
		j.entry.Dispatch.Release(grant, dispatch.NotSent)
		j.finishWithout(ctx, problem.New(problem.NoHolder, "the holder did not take a further attempt"))
		return false
	}
	j.record.Bound += j.extra()
	j.record = j.record.WithAttempt(next)
	j.resumes = 0
	j.entry.countRetry()
	j.entry.Metrics.Retried(ctx)
	j.explain(event.Retry, "tries another endpoint", cause.Error())
	return true
}

// extra is what a further attempt needs beyond what is reserved: the cost of
// earlier ones, in the worst case where it is not known.
func (j *chatJob) extra() int64 {
	used := j.spent.Tokens() + int64(len(j.awaiting))*j.call.bound
	return max(0, used+j.call.bound-j.record.Bound)
}

// abandonAttempt stops the current attempt at its engine and books what it cost.
func (j *chatJob) abandonAttempt(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTime)
	defer cancel()
	o, err := j.entry.Backend.Cancel(ctx, j.attempt(), j.record.Request)
	if err != nil {
		j.awaiting = append(j.awaiting, j.attempt())
		j.explain(event.Cancel, "cost not known yet", err.Error())
		return
	}
	if o.State == backend.StateNever {
		j.doubtful = append(j.doubtful, j.attempt())
	}
	j.spent = j.spent.Plus(o.Usage())
	j.explain(event.Cancel, "stopped at the engine", string(o.State))
}

// whole settles a complete answer and only then passes its end on.
func (j *chatJob) whole(ctx context.Context, usage holder.Usage) {
	j.spent = j.spent.Plus(usage)
	total := j.settle(ctx)
	j.run.relay(j.last)
	j.run.finish(total, nil, j.entry.Clock.Now())
}

// settle reports what all attempts cost and returns it.
func (j *chatJob) settle(ctx context.Context) holder.Usage {
	ctx = context.WithoutCancel(ctx)
	j.recheck(ctx)
	j.entry.Metrics.Billed(ctx, j.spent.Tokens())
	j.entry.end(ctx, peer.Ending{Record: j.record, Usage: j.spent, Awaiting: j.awaiting})
	return j.spent
}

// recheck asks again about earlier attempts that had not started when they were
// stopped: an engine may have taken one up late.
func (j *chatJob) recheck(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTime)
	defer cancel()
	for _, a := range j.doubtful {
		o, err := j.entry.Backend.Cancel(ctx, a, j.record.Request)
		if err != nil {
			j.awaiting = append(j.awaiting, a)
			continue
		}
		j.spent = j.spent.Plus(o.Usage())
	}
	j.doubtful = nil
}

// cut ends a run that its caller left, that timed out or that passed its cap:
// the engine is told, and what ran is billed.
func (j *chatJob) cut(ctx context.Context, cause error) {
	j.entry.Dispatch.Release(j.grant, dispatch.Succeeded)
	j.abandonAttempt(ctx)
	j.settle(ctx)
	if errors.Is(cause, errOverCap) {
		j.run.fail(problem.New(problem.EndpointFailed, "the endpoint sent more than the cap").WithOutcome(problem.Ran).At(string(event.Stream), string(j.attempt().Endpoint)), RunFailed, j.spent, j.entry.Clock.Now())
		return
	}
	j.run.fail(problem.New(problem.Cancelled, "the request was cancelled; what ran is billed").WithOutcome(problem.Ran).At(string(event.Cancel), string(j.attempt().Endpoint)), RunCancelled, j.spent, j.entry.Clock.Now())
}

// giveUp ends a run whose attempts failed.
func (j *chatJob) giveUp(ctx context.Context, cause error) {
	j.entry.Dispatch.Release(j.grant, dispatch.Failed)
	j.abandonAttempt(ctx)
	reason := problem.EndpointFailed
	switch {
	case errors.Is(cause, backend.ErrRejected):
		reason = problem.EndpointRefused
	case j.run.relayed() > 0:
		reason = problem.StreamBroken
	case j.spent.Tokens() == 0 && len(j.awaiting) == 0:
		reason = problem.NoEndpoint // nothing has run: another time may do
	}
	j.finishWithout(ctx, problem.New(reason, cause.Error()))
}

// finishWithout ends a run without an answer; it did not run only if no attempt
// cost anything.
func (j *chatJob) finishWithout(ctx context.Context, p *problem.Problem) {
	p = p.At(string(event.Send), string(j.attempt().Endpoint))
	switch {
	case len(j.awaiting) > 0:
		p = p.WithOutcome(problem.Unknown)
	case j.spent.Tokens() > 0 || j.run.relayed() > 0:
		p = p.WithOutcome(problem.Ran)
	default:
		j.entry.end(context.WithoutCancel(ctx), peer.Ending{Record: j.record, NotRun: true})
		j.entry.refuseRun(j.run, p)
		return
	}
	j.settle(ctx)
	j.run.fail(p, RunFailed, j.spent, j.entry.Clock.Now())
}
