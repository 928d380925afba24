// Package telemetry sets up tracing and metrics with OpenTelemetry.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const scope = "github.com/lynxshed/lynxshed"

// Options configure the telemetry. Spans are exported only if an endpoint or a file is set.
type Options struct {
	Node         string
	Zone         string
	OTLPEndpoint string // URL of an OTLP/HTTP collector
	TraceFile    string // path of a file of spans, one JSON object each
}

// Telemetry holds a node's tracer and metrics.
type Telemetry struct {
	Tracer  trace.Tracer
	Traces  bool // whether spans are exported
	Meter   metric.Meter
	Metrics *Metrics
	handler http.Handler
	closers []func(context.Context) error
}

// New starts the exporters.
func New(ctx context.Context, o Options) (*Telemetry, error) {
	t := &Telemetry{Tracer: noop.NewTracerProvider().Tracer(scope)}
	res := resource.NewSchemaless(attribute.String("service.name", "lynxshed"), attribute.String("node", o.Node), attribute.String("zone", o.Zone))
	if err := t.startTraces(ctx, o, res); err != nil {
		return nil, err
	}
	return t, t.startMetrics(res)
}

func (t *Telemetry) startTraces(ctx context.Context, o Options, res *resource.Resource) error {
	exporter, closer, err := newExporter(ctx, o)
	if err != nil || exporter == nil {
		return err
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(res))
	t.Tracer, t.Traces = provider.Tracer(scope), true
	t.closers = append(t.closers, provider.Shutdown)
	if closer != nil {
		t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
	}
	return nil
}

func newExporter(ctx context.Context, o Options) (sdktrace.SpanExporter, io.Closer, error) {
	switch {
	case o.OTLPEndpoint != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLPEndpoint))
		return exporter, nil, errors.Wrapf(err, "otlp exporter to %s", o.OTLPEndpoint)
	case o.TraceFile != "":
		file, err := os.OpenFile(o.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, file, errors.Wrap(err, "trace file exporter")
	default:
		return nil, nil, nil
	}
}

func (t *Telemetry) startMetrics(res *resource.Resource) error {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return errors.Wrap(err, "prometheus exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithResource(res))
	t.closers = append(t.closers, provider.Shutdown)
	t.handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	t.Meter = provider.Meter(scope)
	t.Metrics, err = newMetrics(t.Meter)
	return err
}

// Handler returns the handler for /metrics.
func (t *Telemetry) Handler() http.Handler { return t.handler }

// Close flushes and stops the exporters.
func (t *Telemetry) Close(ctx context.Context) error {
	var err error
	for _, closer := range t.closers {
		err = errors.CombineErrors(err, closer(ctx))
	}
	return err
}

// Metrics holds the metric instruments of a node.
type Metrics struct {
	requests   metric.Int64Counter
	refusals   metric.Int64Counter
	retries    metric.Int64Counter
	resumes    metric.Int64Counter
	settled    metric.Int64Counter
	tokens     metric.Int64Counter
	firstToken metric.Float64Histogram
	queueWait  metric.Float64Histogram
	meter      metric.Meter
}

func newMetrics(m metric.Meter) (*Metrics, error) {
	metrics := &Metrics{meter: m}
	counters := []struct {
		counter     *metric.Int64Counter
		name        string
		description string
	}{
		{&metrics.requests, "lynxshed.requests", "requests that arrived"},
		{&metrics.refusals, "lynxshed.refusals", "requests refused, by reason"},
		{&metrics.retries, "lynxshed.retries", "attempts after the first"},
		{&metrics.resumes, "lynxshed.resumes", "streams resumed"},
		{&metrics.settled, "lynxshed.settled", "requests settled with their holder"},
		{&metrics.tokens, "lynxshed.tokens", "tokens billed"},
	}
	for _, c := range counters {
		counter, err := m.Int64Counter(c.name, metric.WithDescription(c.description))
		if err != nil {
			return nil, errors.Wrapf(err, "metric %s", c.name)
		}
		*c.counter = counter
	}
	var err error
	if metrics.firstToken, err = m.Float64Histogram("lynxshed.first_token", metric.WithUnit("s"), metric.WithDescription("time to the first token")); err != nil {
		return nil, errors.Wrap(err, "metric first_token")
	}
	metrics.queueWait, err = m.Float64Histogram("lynxshed.queue_wait", metric.WithUnit("s"), metric.WithDescription("time in the queue"))
	return metrics, errors.Wrap(err, "metric queue_wait")
}

// Arrived counts a request that arrived.
func (m *Metrics) Arrived(ctx context.Context, service string) {
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service)))
}

// Refused counts a refused request by its reason.
func (m *Metrics) Refused(ctx context.Context, reason string) {
	m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Retried counts an attempt after the first.
func (m *Metrics) Retried(ctx context.Context) { m.retries.Add(ctx, 1) }

// Resumed counts a resumed stream.
func (m *Metrics) Resumed(ctx context.Context) { m.resumes.Add(ctx, 1) }

// Settled counts a settled request.
func (m *Metrics) Settled(ctx context.Context) { m.settled.Add(ctx, 1) }

// Billed counts billed tokens.
func (m *Metrics) Billed(ctx context.Context, tokens int64) { m.tokens.Add(ctx, tokens) }

// FirstToken records the time to the first token.
func (m *Metrics) FirstToken(ctx context.Context, d time.Duration) {
	m.firstToken.Record(ctx, d.Seconds())
}

// Waited records the time in the queue.
func (m *Metrics) Waited(ctx context.Context, d time.Duration) { m.queueWait.Record(ctx, d.Seconds()) }

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "metric %s", name)
}
