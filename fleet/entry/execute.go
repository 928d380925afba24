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

// admitTime bounds an admission; it is not cut short when a caller leaves, so
// that what was reserved is known.
const admitTime = 4 * time.Second

// startChat runs a chat completion apart from the caller's connection.
func (e *Entry) startChat(ctx context.Context, call chatCall) *run {
	return e.start(ctx, call.headers, func(ctx context.Context, r *run) { e.runChat(ctx, r, call) })
}

func (e *Entry) startPlain(ctx context.Context, call plainCall) *run {
	return e.start(ctx, call.headers, func(ctx context.Context, r *run) { e.runPlain(ctx, r, call) })
}

func (e *Entry) start(ctx context.Context, h headers, work func(context.Context, *run)) *run {
	slot := e.Keeper.SlotOf(h.customer.Name)
	id := ident.NewRequest(e.Self.Zone, slot, e.NewSerial())
	return e.launch(ctx, newRun(id, h.customer.Name, h.key != "", nil, e.Clock.Now()), work)
}

func (e *Entry) launch(ctx context.Context, r *run, work func(context.Context, *run)) *run {
	ctx, cancel := context.WithCancel(trace.ContextWithSpan(e.base, trace.SpanFromContext(ctx)))
	r.cancel = cancel
	e.register(r)
	go func() {
		defer cancel()
		defer e.finished(r)
		work(ctx, r)
	}()
	return r
}

// deadlineOf is until when a call may wait for an endpoint.
func (e *Entry) deadlineOf(h headers, p catalog.Priority) time.Time {
	wait := h.deadline
	if wait == 0 {
		wait = lo.Ternary(p == catalog.Batch, e.options.BatchDeadline, e.options.Deadline)
	}
	return e.Clock.Now().Add(wait)
}

// acquire waits for an endpoint and explains the choice.
func (e *Entry) acquire(ctx context.Context, id ident.Request, ask dispatch.Request) (dispatch.Grant, *problem.Problem) {
	ctx, span := e.Tracer.Start(ctx, "queue")
	defer span.End()
	grant, refusal := e.Dispatch.Acquire(ctx, ask)
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
	why := "least loaded"
	if c.Affinity {
		why = "prefix affinity"
	}
	if c.Remote {
		why += ", no endpoint of the own zone was free"
	}
	if c.RunnerUp != "" {
		why += ", before " + string(c.RunnerUp)
	}
	return why
}

func attemptAt(number int, e catalog.Endpoint) holder.Attempt {
	return holder.Attempt{Number: number, Endpoint: e.Name, URL: e.URL}
}

// newRecord is what the holder is asked to admit.
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

// budgetsFor lists the budgets that may pay, the one that the caller named alone.
func (e *Entry) budgetsFor(h headers, s ident.Service) ([]holder.BudgetLine, *problem.Problem) {
	fitting := e.Catalog().Fitting(h.customer.Name, s)
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

// refuseRun ends a run that did not run.
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
	ask := dispatch.Request{
		Customer: call.customer.Name,
		Service:  call.service.Name,
		Weight:   e.Catalog().CustomerWeight(call.customer.Name, call.service.Name),
		Priority: call.priority,
		Prefix:   routing.HashPrefix(call.body.Messages[0].Content),
		Cost:     call.bound,
		Deadline: e.deadlineOf(call.headers, call.priority),
	}
	grant, refusal := e.acquire(ctx, r.id, ask)
	if refusal != nil {
		e.refuseRun(r, refusal)
		return
	}
	record := e.newRecord(r, call.headers, call.service, call.hash, grant.Endpoint())
	record.Bound = call.bound
	limits := e.limitsFor(call.headers, call.service.Name)
	record.Limits = lo.Map(limits, func(l limit.Line, _ int) string { return l.Name })
	admitted, ok := e.admitRun(ctx, r, grant, peer.Admission{Record: record, Budgets: budgets, Limits: limits, Weight: ask.Weight, Try: call.try})
	if !ok {
		return
	}
	j := &chatJob{job: job{entry: e, run: r, ask: ask, record: admitted, grant: grant}, call: call}
	j.do(ctx)
}

// admitRun asks for admission and deals with every answer but the one to run.
func (e *Entry) admitRun(ctx context.Context, r *run, grant dispatch.Grant, a peer.Admission) (holder.Record, bool) {
	asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTime)
	verdict := e.admit(asking, a)
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
		e.end(context.WithoutCancel(ctx), peer.Ending{Record: *verdict.Admitted, NotRun: true})
		r.fail(problem.New(problem.Cancelled, "cancelled before it was sent"), RunCancelled, holder.Usage{}, e.Clock.Now())
		return holder.Record{}, false
	}
	r.begin(*verdict.Admitted)
	return *verdict.Admitted, true
}
