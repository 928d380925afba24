package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

// Metrics holds the instruments of a relaying node.
type Metrics struct {
	finished    metric.Int64Counter
	store       metric.Int64Counter
	restarts    metric.Int64Counter
	badEntries  metric.Int64Counter
	quarantined metric.Int64Counter
	suspendedMs metric.Int64Counter
	limits      metric.Int64Counter
	notices     metric.Int64Counter
	duration    metric.Float64Histogram
	firstEvent  metric.Float64Histogram

	evacuated  metric.Int64Gauge
	builds     metric.Int64Gauge
	link       metric.Float64Gauge
	contentAge metric.Float64Gauge
	intake     metric.Int64Gauge

	stage, answers, badAnswers metric.Int64Gauge // of rollouts
	share                      metric.Float64Gauge
	pacedWrites                metric.Int64Gauge
	partitioned                metric.Int64Gauge
	heldBytes                  metric.Int64Gauge
	peakHeldBytes              metric.Int64Gauge
	outOfMemory                metric.Int64Gauge
	waitingBytes               metric.Int64Gauge
	waiting                    metric.Int64Gauge
	evicted                    metric.Int64Gauge
	connections                metric.Int64Gauge
}

// latencyBuckets are bucket bounds in seconds, from a local call to a long stream.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .6, 1, 2, 4, 8, 15}

// NewMetrics creates the instruments on a meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	metrics := &Metrics{}
	var err, failed error
	counters := []struct {
		to         *metric.Int64Counter
		name, what string
	}{
		{&metrics.finished, "lynxshed.relay.calls", "calls that ended, by route and outcome"},
		{&metrics.store, "lynxshed.relay.store_calls", "calls to the store that ended, by kind of object, verb and outcome"},
		{&metrics.restarts, "lynxshed.relay.new_lives", "endpoints that were seen to have started again under their id, by how their birth changed"},
		{&metrics.badEntries, "lynxshed.relay.bad_entries", "entries of the store that could not be read, each once for each of its revisions, by kind"},
		{&metrics.suspendedMs, "lynxshed.relay.suspended_ms", "milliseconds for which the VM was suspended since the process began"},
		{&metrics.notices, "lynxshed.relay.notices", "what endpoints say in answers, as this node began to act on it, by kind: leaving, rest"},
		{&metrics.limits, "lynxshed.relay.limits", "limits of endpoints that this node learned of, by change: named, changed, ended"},
		{&metrics.quarantined, "lynxshed.relay.quarantine", "requests that this node began to hold back, or let go, since endpoints ended under them, by which of both"},
	}
	for _, c := range counters {
		*c.to, err = m.Int64Counter(c.name, metric.WithDescription(c.what))
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "metric %s", c.name))
	}
	gauges := []struct {
		to         *metric.Int64Gauge
		name, what string
	}{
		{&metrics.evacuated, "lynxshed.relay.evacuated_zones", "availability zones whose endpoints are to get no new work"},
		{&metrics.builds, "lynxshed.relay.builds", "builds that the nodes run, as this node knows: more than one while VMs are replaced"},
		{&metrics.stage, "lynxshed.relay.rollout_stage", "of a service's rollout: 0 ordered, 1 sampling, 2 moving, 3 completed, 4 reverted"},
		{&metrics.intake, "lynxshed.relay.intake_open", "1 while new connections are welcome as far as the link goes, 0 while one customer's callers fill it"},
		{&metrics.answers, "lynxshed.relay.rollout_answers", "answers that this node had since the open order, by version"},
		{&metrics.badAnswers, "lynxshed.relay.rollout_bad_answers", "those of them that failed, or took several times what is usual"},
		{&metrics.pacedWrites, "lynxshed.relay.paced_writes", "writes that have had to wait for the way out"},
		{&metrics.partitioned, "lynxshed.relay.partitioned", "1 while the endpoints of a service are not reached over the node's own connections"},
		{&metrics.heldBytes, "lynxshed.relay.calls_held", "bytes that callers' connections and calls in progress hold"},
		{&metrics.peakHeldBytes, "lynxshed.relay.calls_held_peak", "the most bytes that callers' connections and calls in progress have held"},
		{&metrics.outOfMemory, "lynxshed.relay.calls_no_memory", "times that a call or connection did not fit into the memory for callers"},
		{&metrics.connections, "lynxshed.relay.callers", "open connections of callers"},
		{&metrics.waiting, "lynxshed.relay.callers_waiting", "of these, those that wait for their callers and may be evicted"},
		{&metrics.waitingBytes, "lynxshed.relay.callers_waiting_bytes", "bytes that these hold"},
		{&metrics.evicted, "lynxshed.relay.callers_evicted", "connections that were closed, or whose call was refused, to make room for others"},
	}
	for _, g := range gauges {
		*g.to, err = m.Int64Gauge(g.name, metric.WithDescription(g.what))
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "metric %s", g.name))
	}
	floats := []struct {
		to         *metric.Float64Gauge
		name, what string
	}{
		{&metrics.link, "lynxshed.relay.link_used", "share of the VM's link that is used, the fuller way, smoothed"},
		{&metrics.contentAge, "lynxshed.relay.content_age", "seconds since the store confirmed what this node knows, at the latest, by kind of object"},
		{&metrics.share, "lynxshed.relay.rollout_share", "of a service's calls that try the target while it is sampled"},
	}
	for _, g := range floats {
		*g.to, err = m.Float64Gauge(g.name, metric.WithDescription(g.what))
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "metric %s", g.name))
	}
	histograms := []struct {
		to         *metric.Float64Histogram
		name, what string
	}{
		{&metrics.duration, "lynxshed.relay.call", "time from arrival to the end of the answer"},
		{&metrics.firstEvent, "lynxshed.relay.first_event", "time from arrival to the first event"},
	}
	for _, h := range histograms {
		*h.to, err = m.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.what), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "metric %s", h.name))
	}
	return metrics, failed
}

// Finished counts a call that ended.
func (m *Metrics) Finished(route, outcome string, took time.Duration) {
	of := attribute.String("route", route)
	m.finished.Add(context.Background(), 1, metric.WithAttributes(of, attribute.String("outcome", outcome)))
	m.duration.Record(context.Background(), took.Seconds(), metric.WithAttributes(of))
}

// FirstEvent records the time to a stream's first event.
func (m *Metrics) FirstEvent(route string, took time.Duration) {
	m.firstEvent.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// StoreCall counts a call to the store that ended.
func (m *Metrics) StoreCall(kind, verb, outcome string) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("verb", verb), attribute.String("outcome", outcome)))
}

// Restarted counts an endpoint that restarted under its id.
func (m *Metrics) Restarted(birth string) {
	m.restarts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("birth", birth)))
}

// BadEntry counts an entry that can't be read.
func (m *Metrics) BadEntry(kind string) {
	m.badEntries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// Quarantined counts a request that was quarantined or released.
func (m *Metrics) Quarantined(released bool) {
	m.quarantined.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", lo.Ternary(released, "let go", "held back"))))
}

// Noticed counts a notice in answers of endpoints that this node acts on.
func (m *Metrics) Noticed(kind string) {
	m.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// Limited counts a limit that this node learned of, or a change of one.
func (m *Metrics) Limited(change string) {
	m.limits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("change", change)))
}

// Suspended counts the time for which the VM was suspended.
func (m *Metrics) Suspended(d time.Duration) {
	m.suspendedMs.Add(context.Background(), d.Milliseconds())
}

// Partitioned records whether this node lost its path to a service.
func (m *Metrics) Partitioned(service string, lost bool) {
	m.partitioned.Record(context.Background(), lo.Ternary[int64](lost, 1, 0), metric.WithAttributes(attribute.String("service", service)))
}

// ContentAge records how long ago the store confirmed what this node knows of a kind.
func (m *Metrics) ContentAge(kind string, age time.Duration) {
	m.contentAge.Record(context.Background(), age.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// Evacuated records how many zones are to get no new work.
func (m *Metrics) Evacuated(zones int) {
	m.evacuated.Record(context.Background(), int64(zones))
}

// Builds records how many builds the nodes run.
func (m *Metrics) Builds(n int) {
	m.builds.Record(context.Background(), int64(n))
}

// Rollout records the progress of the order of a service, as this node knows it.
func (m *Metrics) Rollout(service string, stage int64, share float64) {
	of := metric.WithAttributes(attribute.String("service", service))
	m.stage.Record(context.Background(), stage, of)
	m.share.Record(context.Background(), share, of)
}

// RolloutAnswers records how many answers of one version this node received on a route since the
// open order, and how many of them were bad.
func (m *Metrics) RolloutAnswers(service, route, version string, answers, bad int) {
	of := metric.WithAttributes(attribute.String("service", service), attribute.String("route", route), attribute.String("version", version))
	m.answers.Record(context.Background(), int64(answers), of)
	m.badAnswers.Record(context.Background(), int64(bad), of)
}

// Link records the link utilization, whether new connections are accepted, and how many writes had
// to wait.
func (m *Metrics) Link(used float64, open bool, waited int64) {
	m.pacedWrites.Record(context.Background(), waited)
	m.link.Record(context.Background(), used)
	m.intake.Record(context.Background(), lo.Ternary[int64](open, 1, 0))
}

// Callers records the open connections of callers and what they hold.
func (m *Metrics) Callers(connections int, s memory.State) {
	m.connections.Record(context.Background(), int64(connections))
	m.waiting.Record(context.Background(), s.Waiting)
	m.waitingBytes.Record(context.Background(), s.WaitingBytes)
	m.evicted.Record(context.Background(), s.Evicted)
	m.heldBytes.Record(context.Background(), s.Held)
	m.peakHeldBytes.Record(context.Background(), s.Peak)
	m.outOfMemory.Record(context.Background(), s.Rejected)
}
