package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/routing"
)

// admitTimeout limits an admission. The admission is not interrupted when the caller leaves, so
// that it is known what was reserved.
const admitTimeout = 4 * time.Second

// startChat starts a chat completion that does not depend on the caller's connection.
func (e *Entry) startChat(ctx context.Context, call chatCall) *run {
	return e.start(ctx, call.headers, func(ctx context.Context, r *run) { e.runChat(ctx, r, call) })
}

func (e *Entry) startPlain(ctx context.Context, call plainCall) *run {
	return e.start(ctx, call.headers, func(ctx context.Context, r *run) { e.runPlain(ctx, r, call) })
}

func (e *Entry) start(ctx context.Context, h headers, body func(context.Context, *run)) *run {
	slot := e.Keeper.SlotOf(h.customer.Name)
	id := ident.NewRequest(e.Self.Zone, slot, e.NewSerial())
	return e.launch(ctx, e.newRun(id, h.customer.Name, h.key != ""), body)
}

func (e *Entry) launch(ctx context.Context, r *run, body func(context.Context, *run)) *run {
	ctx, cancel := context.WithCancel(trace.ContextWithSpan(e.base, trace.SpanFromContext(ctx)))
	r.cancel = cancel
	e.register(r)
	go func() {
		defer cancel()
		defer e.finished(r)
		body(ctx, r)
	}()
	return r
}

// deadlineOf returns the time until which a call may wait for an endpoint.
func (e *Entry) deadlineOf(h headers, p catalog.Priority) time.Time {
	wait := h.deadline
	if wait == 0 {
		wait = lo.Ternary(p == catalog.Batch, e.options.BatchDeadline, e.options.Deadline)
	}
	return e.Clock.Now().Add(wait)
}

// acquireFirst waits for an endpoint for a call that has not been sent yet and may take some time. It is
// refused once it may outlast a planned stop of this node, which would cut it off.
func (e *Entry) acquireFirst(ctx context.Context, id ident.Request, req dispatch.Request, timeout time.Duration) (dispatch.Grant, *problem.Problem) {
	waiting, giveUp := context.WithCancel(ctx)
	defer giveUp()
	defer context.AfterFunc(e.leaving, func() {
		if e.outlastsStop(timeout) {
			giveUp()
		}
	})()
	grant, refusal := e.acquire(waiting, id, req)
	if ctx.Err() != nil || !e.outlastsStop(timeout) {
		return grant, refusal
	}
	if refusal == nil {
		e.Dispatch.Release(grant, dispatch.NotSent)
	}
	return dispatch.Grant{}, problem.New(problem.Draining, "this node is stopping; ask another").At(string(event.Queue), string(e.Self.Node))
}

// acquire waits for an endpoint and records the choice as events.
func (e *Entry) acquire(ctx context.Context, id ident.Request, req dispatch.Request) (dispatch.Grant, *problem.Problem) {
	ctx, span := e.Tracer.Start(ctx, "queue")
	defer span.End()
	grant, refusal := e.Dispatch.Acquire(ctx, req)
	if refusal != nil {
		e.Events.Add(event.Event{Request: id, Step: event.Queue, Decision: "refused", Reason: string(refusal.Reason) + ": " + refusal.Detail})
		return grant, refusal.At(string(event.Queue), string(e.Self.Node))
	}
	e.Metrics.Waited(ctx, grant.Waited)
	e.Events.Add(event.Event{Request: id, Step: event.Queue, Decision: "waited " + grant.Waited.Round(time.Microsecond).String()})
	e.Events.Add(event.Event{Request: id, Step: event.Choose, Peer: string(grant.Endpoint().Name), Decision: "chosen", Reason: describeChoice(grant.Choice)})
	return grant, nil
}

func describeChoice(c routing.Choice) string {
	reason := "least loaded"
	if c.Affinity {
		reason = "prefix affinity"
	}
	if c.Remote {
		reason += ", no endpoint of the own zone was free"
	}
	if c.RunnerUp != "" {
		reason += ", before " + string(c.RunnerUp)
	}
	return reason
}

func attemptAt(number int, e catalog.Endpoint) holder.Attempt {
	return holder.Attempt{Number: number, Endpoint: e.Name, URL: e.URL}
}

// newRecord returns the record that the holder is asked to admit.
func (e *Entry) newRecord(r *run, h headers, s catalog.Service, hash string, at catalog.Endpoint) holder.Record {
	record := holder.Record{
		Request:  r.id,
		Slot:     e.Keeper.SlotOf(h.customer.Name),
		Customer: h.customer.Name,
		Service:  s.Name,
		BodyHash: hash,
		Model:    s.Model,
		Entry:    e.Keeper.Incarnation(),
		EntryURL: e.Self.URL,
		Attempts: []holder.Attempt{attemptAt(1, at)},
		At:       e.Clock.Now(),
	}
	if h.key != "" {
		record.Key = holder.NewKeyID(h.customer.Name, h.key)
	}
	return record
}

// budgetsFor returns the budgets that may pay for a call, or only the one that the caller named.
func (e *Entry) budgetsFor(h headers, s ident.Service) ([]holder.BudgetLine, *problem.Problem) {
	fitting := e.Catalog().BudgetsFor(h.customer.Name, s)
	if h.budget != "" {
		fitting = lo.Filter(fitting, func(b catalog.Budget, _ int) bool { return string(b.Name) == h.budget })
	}
	if len(fitting) == 0 {
		return nil, problem.New(problem.UnknownBudget, "customer "+string(h.customer.Name)+" has no such budget that covers "+string(s)).At(string(event.Admit), string(e.Self.Node))
	}
	return lo.Map(fitting, func(b catalog.Budget, _ int) holder.BudgetLine {
		return holder.BudgetLine{Name: b.Name, Limit: b.Limit, Version: b.Version}
	}), nil
}

func (e *Entry) limitsFor(h headers, s ident.Service) []limit.Line {
	return lo.Map(e.Catalog().Limits(h.customer.Name, s), func(l catalog.Limit, _ int) limit.Line {
		return limit.Line{Name: l.Name, RequestsPerSecond: l.RequestsPerSecond, TokensPerSecond: l.TokensPerSecond, MaxInFlight: l.MaxInFlight, Common: l.Customer == ""}
	})
}

// refuseRun ends a run of which nothing was executed.
func (e *Entry) refuseRun(r *run, p *problem.Problem) {
	e.Events.Add(event.Event{Request: r.id, Step: event.Step(lo.CoalesceOrEmpty(p.Step, string(event.Admit))), Peer: p.Peer, Decision: "refused", Reason: string(p.Reason) + ": " + p.Detail})
	r.fail(p, RunRefused, holder.Usage{}, e.Clock.Now())
}

func (e *Entry) runChat(ctx context.Context, r *run, call chatCall) {
	budgets, refusal := e.budgetsFor(call.headers, call.service.Name)
	if refusal != nil {
		e.refuseRun(r, refusal)
		return
	}
	req := dispatch.Request{
		Customer: call.customer.Name,
		Service:  call.service.Name,
		Weight:   e.Catalog().CustomerWeight(call.customer.Name, call.service.Name),
		Priority: call.priority,
		Prefix:   routing.HashPrefix(call.body.Messages[0].Content),
		Cost:     call.bound,
		Deadline: e.deadlineOf(call.headers, call.priority),
	}
	grant, refusal := e.acquireFirst(ctx, r.id, req, call.service.Timeout)
	if refusal != nil {
		e.refuseRun(r, refusal)
		return
	}
	record := e.newRecord(r, call.headers, call.service, call.hash, grant.Endpoint())
	record.Bound = call.bound
	limits := e.limitsFor(call.headers, call.service.Name)
	record.Limits = lo.Map(limits, func(l limit.Line, _ int) string { return l.Name })
	admitted, ok := e.admitRun(ctx, r, grant, peer.AdmitRequest{Record: record, Budgets: budgets, Limits: limits, Weight: req.Weight, Try: call.attemptNumber})
	if !ok {
		return
	}
	j := &chatJob{job: job{entry: e, run: r, req: req, record: admitted, grant: grant}, call: call}
	j.runAttempts(ctx)
}

// admitRun asks for admission. It returns false if the call is not to run here: it was refused,
// it repeats a request that it now follows, or the caller left.
func (e *Entry) admitRun(ctx context.Context, r *run, grant dispatch.Grant, a peer.AdmitRequest) (holder.Record, bool) {
	admitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
	verdict := e.admit(admitCtx, a)
	cancel()
	switch {
	case verdict.Existing != nil:
		e.Dispatch.Release(grant, dispatch.NotSent)
		e.follow(ctx, r, *verdict.Existing)
		return holder.Record{}, false
	case verdict.Admitted == nil:
		e.Dispatch.Release(grant, dispatch.NotSent)
		e.refuseRun(r, verdict.Refused)
		return holder.Record{}, false
	case ctx.Err() != nil:
		e.Dispatch.Release(grant, dispatch.NotSent)
		e.end(context.WithoutCancel(ctx), peer.EndRequest{Record: *verdict.Admitted, NotRun: true})
		r.fail(problem.New(problem.Cancelled, "cancelled before it was sent"), RunCancelled, holder.Usage{}, e.Clock.Now())
		return holder.Record{}, false
	}
	r.begin(*verdict.Admitted)
	return *verdict.Admitted, true
}
