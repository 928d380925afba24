package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
)

var w3c = propagation.TraceContext{}

// startSpan returns the request with a span under the caller's, if any, and a function that ends it.
func (h *Handler) startSpan(r *http.Request) (*http.Request, func()) {
	if h.Tracer == nil {
		return r, func() {}
	}
	ctx := w3c.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.Tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
	return r.WithContext(ctx), func() { span.End() }
}

// annotateSpan records on the call's span how the call ended.
func (j *job) annotateSpan(reason string, status int) {
	if j.Tracer == nil {
		return
	}
	trace.SpanFromContext(j.r.Context()).SetAttributes(
		attribute.String("request", j.call.ID), attribute.String("route", j.route.Name), attribute.String("tenant", j.tenant.Name),
		attribute.String("reason", reason), attribute.Int("status", status), attribute.Int("attempts", j.attempts))
}

// startAttemptSpan returns the context of one attempt with its span, and a function that ends it.
func (j *job) startAttemptSpan(ctx context.Context, t *choice.Placement) (context.Context, func(outcome)) {
	if j.Tracer == nil {
		return ctx, func(outcome) {}
	}
	ctx, span := j.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", t.Engine.ID), attribute.String("address", t.Engine.Address), attribute.String("zone", t.Engine.Zone)))
	return ctx, func(o outcome) {
		if j.via != "" {
			span.SetAttributes(attribute.String("via", j.via))
		}
		endAttempt(span, o)
		span.End()
	}
}

func endAttempt(span trace.Span, o outcome) {
	switch o := o.(type) {
	case neverSent:
		span.SetStatus(codes.Error, o.err.Error())
	case failed:
		span.SetStatus(codes.Error, o.err.Error())
	case rejected:
		span.SetAttributes(attribute.Bool("notRun", true), attribute.Int("status", o.status))
	case answered:
		span.SetAttributes(attribute.Int("status", o.resp.StatusCode))
	}
}
