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

// The reasons for which the entry itself stops reading a stream.
var (
	errStalled   = errors.New("the endpoint sent nothing for too long")
	errOverCap   = errors.New("the output is over its cap")
	errNoRoom    = errors.New("a part of the output does not fit into the memory for calls")
	errOverShare = errors.New("the output holds as much of the memory for calls as one answer may")
)

// cancelTimeout is how long an engine has to confirm a cancellation.
const cancelTimeout = time.Second

// chatJob runs the attempts of an admitted chat completion.
type chatJob struct {
	job
	call chatCall

	resumes    int
	spent      holder.Usage     // cost of earlier attempts
	awaiting   []holder.Attempt // earlier attempts of unknown cost
	notStarted []holder.Attempt // earlier attempts that had not started when they were cancelled
	lastChunk  string           // chunk with the usage, relayed after the settlement
}

// runAttempts runs attempts until one is complete or the retry policy gives up.
func (j *chatJob) runAttempts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, j.call.service.Timeout)
	defer cancel()
	resume := false
	for {
		usage, err := j.runAttempt(ctx, resume)
		if err == nil {
			j.entry.Dispatch.Release(j.grant, dispatch.Succeeded)
			j.complete(ctx, usage)
			return
		}
		if ctx.Err() != nil || errors.Is(err, errOverCap) {
			j.abort(ctx, err)
			return
		}
		j.explain(event.Stream, "attempt failed", err.Error())
		if errors.Is(err, errOverShare) { // the rest would not fit either
			j.giveUp(ctx, err)
			return
		}
		switch j.nextStep(ctx, err) {
		case attempt.Resume:
			resume = true
			j.resumes++
			j.entry.Metrics.Resumed(ctx)
			j.explain(event.Resume, "asked for the rest", "")
			j.waitBeforeResume(ctx)
		case attempt.Retry:
			resume = false
			if !j.retry(ctx, err) {
				return
			}
		case attempt.GiveUp:
			j.giveUp(ctx, err)
			return
		}
	}
}

// resumeBackoff is the delay before the first resume, multiplied by the number of resumes. It
// gives an endpoint time to recover after a broken connection.
const resumeBackoff = 100 * time.Millisecond

func (j *chatJob) waitBeforeResume(ctx context.Context) {
	timer := j.entry.Clock.NewTimer(time.Duration(j.resumes) * resumeBackoff)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// runAttempt sends or resumes an attempt and relays its stream to the end.
func (j *chatJob) runAttempt(ctx context.Context, resume bool) (holder.Usage, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watchdog := j.entry.Clock.AfterFunc(j.entry.options.AnswerTimeout, func() { stop(errStalled) })
	defer watchdog.Stop()
	stream, err := j.open(ctx, resume)
	if err != nil {
		return holder.Usage{}, causeOf(ctx, err)
	}
	defer stream.Close()
	watchdog.Reset(j.entry.options.StallTimeout + max(0, j.req.Deadline.Sub(j.entry.Clock.Now())))
	usage, err := j.relay(ctx, stream, func() { watchdog.Reset(j.entry.options.StallTimeout) })
	return usage, causeOf(ctx, err)
}

// causeOf returns errStalled for an error that a stall caused by cancelling the context.
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
	if j.isStale() {
		return nil, errStaleIncarnation
	}
	j.explain(event.Send, "sent", "")
	return j.entry.Backend.Start(ctx, j.attempt(), j.record.Request, j.record.Customer, j.call.body)
}

// relay relays chunks to the run, except the one with the usage, which follows the settlement.
func (j *chatJob) relay(ctx context.Context, stream *backend.Stream, onChunk func()) (holder.Usage, error) {
	var usage *holder.Usage
	sent := j.entry.Clock.Now()
	var first time.Time
	count := 0
	defer func() { j.recordTokenInterval(first, count) }()
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return holder.Usage{}, err
		}
		onChunk()
		switch {
		case chunk.Done && usage == nil:
			return holder.Usage{}, errors.Mark(errors.New("the stream ended without its token count"), backend.ErrTruncated)
		case chunk.Done:
			return *usage, nil
		case chunk.Usage != nil:
			usage, j.lastChunk = chunk.Usage, chunk.Data
		case int64(j.run.relayed()) >= j.call.cap:
			return holder.Usage{}, errOverCap
		default:
			if j.run.relayed() == 0 {
				j.entry.Metrics.FirstToken(ctx, j.entry.Clock.Since(sent))
			}
			if count++; count == 1 {
				first = j.entry.Clock.Now()
			}
			if err := j.run.tryRelay(chunk.Data); err != nil {
				return holder.Usage{}, err
			}
		}
	}
	return holder.Usage{}, backend.ErrTruncated
}

// minIntervalTokens is the minimum number of tokens of a stream for its mean interval to be recorded.
const minIntervalTokens = 8

func (j *chatJob) recordTokenInterval(first time.Time, count int) {
	if count >= minIntervalTokens {
		j.entry.Dispatch.RecordTokenInterval(j.grant, j.entry.Clock.Since(first)/time.Duration(count-1))
	}
}

// nextStep classifies a failure and returns the step that the retry policy selects.
func (j *chatJob) nextStep(ctx context.Context, err error) attempt.Step {
	failure := attempt.Broken
	switch {
	case errors.Is(err, backend.ErrNotStarted) && j.run.relayed() == 0 && j.resumes == 0:
		failure = attempt.NotStarted
	case errors.Is(err, backend.ErrRejected):
		failure = attempt.Rejected
	case errors.Is(err, backend.ErrWrongAttempt):
		failure = attempt.Foreign
	}
	resumable := true
	if failure != attempt.NotStarted && j.run.relayed() == 0 {
		// Nothing was relayed. If the engine never started the request, another one may run it.
		o, outcomeErr := j.entry.Backend.Outcome(ctx, j.attempt(), j.record.Request)
		resumable = outcomeErr == nil && o.State != backend.StateNeverStarted
		if outcomeErr == nil && o.State == backend.StateNeverStarted && failure != attempt.Rejected {
			failure = attempt.NotStarted
		}
	}
	return attempt.Next(attempt.Situation{
		Failure:    failure,
		Attempts:   len(j.record.Attempts),
		Resumes:    j.resumes,
		Relayed:    j.run.relayed() > 0,
		Resumable:  resumable,
		Repeatable: true, // an answer of which nothing was relayed can be generated again
		Left:       j.remaining(),
		Budget:     j.entry.retryBudget(),
	})
}

// remaining returns how long the call may still be retried or resumed.
func (j *chatJob) remaining() time.Duration {
	if j.run.relayed() > 0 {
		return j.call.service.Timeout
	}
	return j.req.Deadline.Sub(j.entry.Clock.Now())
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

// retry moves the request to another endpoint. It returns false if the run ended instead.
func (j *chatJob) retry(ctx context.Context, cause error) bool {
	j.entry.Dispatch.Release(j.grant, dispatch.Failed)
	j.abandonAttempt(ctx)
	j.req.Excluded = append(j.req.Excluded, j.attempt().Endpoint)
	grant, refusal := j.entry.acquire(ctx, j.record.Request, j.req)
	if refusal != nil {
		j.finishUnanswered(ctx, refusal)
		return false
	}
	j.grant = grant
	next := attemptAt(len(j.record.Attempts)+1, grant.Endpoint())
	if !j.entry.noteAttempt(ctx, j.record, next, j.extraReserve()) {
		j.entry.Dispatch.Release(grant, dispatch.NotSent)
		j.finishUnanswered(ctx, problem.New(problem.NoHolder, "the holder did not take a further attempt"))
		return false
	}
	j.record.Bound += j.extraReserve()
	j.record = j.record.WithAttempt(next)
	j.resumes = 0
	j.entry.countRetry()
	j.entry.Metrics.Retried(ctx)
	j.explain(event.Retry, "tries another endpoint", cause.Error())
	return true
}

// extraReserve returns the tokens that a further attempt needs beyond the current reserve: the
// cost of earlier attempts, or their bound where the cost is unknown.
func (j *chatJob) extraReserve() int64 {
	used := j.spent.Tokens() + int64(len(j.awaiting))*j.call.bound
	return max(0, used+j.call.bound-j.record.Bound)
}

// abandonAttempt cancels the current attempt at its engine and records its cost.
func (j *chatJob) abandonAttempt(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	o, err := j.entry.Backend.Cancel(ctx, j.attempt(), j.record.Request)
	if err != nil {
		j.awaiting = append(j.awaiting, j.attempt())
		j.explain(event.Cancel, "cost not known yet", err.Error())
		return
	}
	if o.State == backend.StateNeverStarted {
		j.notStarted = append(j.notStarted, j.attempt())
	}
	j.spent = j.spent.Plus(o.Usage())
	j.explain(event.Cancel, "stopped at the engine", string(o.State))
}

// complete settles a complete answer and only then relays its last chunk.
func (j *chatJob) complete(ctx context.Context, usage holder.Usage) {
	j.spent = j.spent.Plus(usage)
	total := j.settle(ctx)
	j.run.relay(j.lastChunk)
	j.run.finish(total, nil, j.entry.Clock.Now())
}

// settle reports the cost of all attempts to the holder and returns it.
func (j *chatJob) settle(ctx context.Context) holder.Usage {
	ctx = context.WithoutCancel(ctx)
	j.recheck(ctx)
	j.entry.Metrics.Billed(ctx, j.spent.Tokens())
	j.entry.end(ctx, peer.EndRequest{Record: j.record, Usage: j.spent, Awaiting: j.awaiting})
	return j.spent
}

// recheck cancels once more the earlier attempts that had not started when they were cancelled,
// since an engine may have started one later.
func (j *chatJob) recheck(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for _, a := range j.notStarted {
		o, err := j.entry.Backend.Cancel(ctx, a, j.record.Request)
		if err != nil {
			j.awaiting = append(j.awaiting, a)
			continue
		}
		j.spent = j.spent.Plus(o.Usage())
	}
	j.notStarted = nil
}

// abort ends a run whose caller left, that timed out or that exceeded its output cap. It
// cancels the attempt at the engine and bills what ran.
func (j *chatJob) abort(ctx context.Context, cause error) {
	j.entry.Dispatch.Release(j.grant, dispatch.Succeeded)
	j.abandonAttempt(ctx)
	j.settle(ctx)
	if errors.Is(cause, errOverCap) {
		j.run.fail(problem.New(problem.EndpointFailed, "the endpoint sent more than the cap").WithOutcome(problem.Ran).At(string(event.Stream), string(j.attempt().Endpoint)), RunFailed, j.spent, j.entry.Clock.Now())
		return
	}
	j.run.fail(problem.New(problem.Cancelled, "the request was cancelled; what ran is billed").WithOutcome(problem.Ran).At(string(event.Cancel), string(j.attempt().Endpoint)), RunCancelled, j.spent, j.entry.Clock.Now())
}

// giveUp ends a run after its last attempt failed.
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
		reason = problem.NoEndpoint // nothing has run, so that a later retry may succeed
	}
	j.finishUnanswered(ctx, problem.New(reason, cause.Error()))
}

// finishUnanswered ends a run without an answer. Only if no attempt has cost anything is it
// reported as not run.
func (j *chatJob) finishUnanswered(ctx context.Context, p *problem.Problem) {
	p = p.At(string(event.Send), string(j.attempt().Endpoint))
	switch {
	case len(j.awaiting) > 0:
		p = p.WithOutcome(problem.Unknown)
	case j.spent.Tokens() > 0 || j.run.relayed() > 0:
		p = p.WithOutcome(problem.Ran)
	default:
		j.entry.end(context.WithoutCancel(ctx), peer.EndRequest{Record: j.record, NotRun: true})
		j.entry.refuseRun(j.run, p)
		return
	}
	j.settle(ctx)
	j.run.fail(p, RunFailed, j.spent, j.entry.Clock.Now())
}
