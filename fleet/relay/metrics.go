package relay

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics of a relaying node.
type Metrics struct {
	registry *prometheus.Registry
	finished *prometheus.CounterVec
	took     *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	store    *prometheus.CounterVec
}

// latencyBuckets are seconds, from a local call to a long stream.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .6, 1, 2, 4, 8, 15}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		finished: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lynxshed_relay_calls_total", Help: "calls that ended, by route and outcome"}, []string{"route", "outcome"}),
		took:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lynxshed_relay_call_seconds", Help: "time from arrival to the end of the answer", Buckets: latencyBuckets}, []string{"route"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lynxshed_relay_first_event_seconds", Help: "time from arrival to the first event", Buckets: latencyBuckets}, []string{"route"}),
		store:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lynxshed_relay_store_calls_total", Help: "calls to the store that ended, by kind of object, verb and outcome"}, []string{"kind", "verb", "outcome"}),
	}
	m.registry.MustRegister(m.finished, m.took, m.first, m.store)
	return m
}

// Finished counts a call that ended.
func (m *Metrics) Finished(route, outcome string, took time.Duration) {
	m.finished.WithLabelValues(route, outcome).Inc()
	m.took.WithLabelValues(route).Observe(took.Seconds())
}

// FirstEvent records the time to a stream's first event.
func (m *Metrics) FirstEvent(route string, took time.Duration) {
	m.first.WithLabelValues(route).Observe(took.Seconds())
}

// StoreCall counts a call to the store that ended.
func (m *Metrics) StoreCall(kind, verb, outcome string) {
	m.store.WithLabelValues(kind, verb, outcome).Inc()
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
