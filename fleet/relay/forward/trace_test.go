package forward_test

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// A call's span is a child of the caller's, and each attempt's span a child of the call's.
func TestEachHopHasASpan(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	f := newFleet(t, 1000, status(503, true), good("answer"))
	f.handler.Tracer = provider.Tracer("test")
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	got := f.do(t, f.request(t, "POST", "/once/x", "", "Deadline", "5000", "Traceparent", caller))
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)

	all := spans.GetSpans()
	call, ok := lo.Find(all, func(s tracetest.SpanStub) bool { return s.Name == "call" })
	require.True(t, ok)
	assert.Equal(t, "0af7651916cd43dd8448eb211c80319c", call.SpanContext.TraceID().String())
	assert.Equal(t, "b7ad6b7169203331", call.Parent.SpanID().String())
	attempts := lo.Filter(all, func(s tracetest.SpanStub, _ int) bool { return s.Name == "attempt" })
	assert.Len(t, attempts, len(f.received()))
	for _, a := range attempts {
		assert.Equal(t, call.SpanContext.SpanID(), a.Parent.SpanID())
	}
}
