// Package tanagermeter records the latencies of a daemon that schedules the jobs
// of a cell and the results of its jobs, in OpenTelemetry instruments that are
// served in the Prometheus text format.
//
// # Usage
//
//	meter, err := tanagermeter.New()
//	daemon := tanagercell.New(settings, ports, timer, meter, log)
//	router.Handle("/metrics", meter.Handler())
package tanagermeter

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"tanagersail.example/tanager/tanageringress"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagermeter")

// SetupFailed is returned if an exporter or a histogram cannot be created.
var SetupFailed = Errors.NewType("setup_failed")

// latencyBuckets are the upper bounds of the histogram buckets in seconds: from
// a reply with data in memory to the longest deadline of a caller.
var latencyBuckets = []float64{0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 3, 5}

// Meter records the latencies of a daemon. It is safe for concurrent use.
type Meter struct {
	registry     *prometheus.Registry
	callLatency  metric.Float64Histogram
	orderLatency metric.Float64Histogram
	jobOutcomes  metric.Int64Counter
	// forecastError is the difference between actual and forecast waits.
	forecastError metric.Float64Histogram
	messageCount  metric.Int64Counter
	messageBytes  metric.Int64Counter
	source        metric.Meter
}

// New returns a meter. An error is of type SetupFailed.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	source := provider.Meter("tanagersail")
	m := &Meter{
		registry: registry,
		source:   source,
	}
	if m.callLatency, err = newLatencyHistogram(source, "tanager_caller_answer",
		"Time to answer a caller, by call and reply."); err != nil {
		return nil, err
	}
	if m.orderLatency, err = newLatencyHistogram(source, "tanager_order_answer",
		"Time until a worker answered an order, or the store a write of progress."); err != nil {
		return nil, err
	}
	if m.forecastError, err = newLatencyHistogram(source, "tanager_forecast_error",
		"Difference between the forecast and the actual wait of a job, by queue and sign."); err != nil {
		return nil, err
	}
	m.jobOutcomes, err = source.Int64Counter("tanager_job_outcomes",
		metric.WithDescription("Accepted jobs that have ended, by queue and result; expired and failed ones were not served."))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "create counter of job outcomes")
	}
	m.messageCount, err = source.Int64Counter("tanager_messages_sent",
		metric.WithDescription("Messages to other daemons, by topic."))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "create counter of messages")
	}
	m.messageBytes, err = source.Int64Counter("tanager_message_bytes_sent",
		metric.WithDescription("Size of the messages to other daemons, by topic."), metric.WithUnit("By"))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "create counter of message bytes")
	}
	return m, nil
}

func newLatencyHistogram(source metric.Meter, name, help string) (metric.Float64Histogram, error) {
	h, err := source.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "create histogram %s", name)
	}
	return h, nil
}

// Handler returns the HTTP handler that serves the metrics as text.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveCall records the time from a caller's request to its reply.
func (m *Meter) ObserveCall(ctx context.Context, call, reply string, took time.Duration) {
	m.callLatency.Record(ctx, took.Seconds(), metric.WithAttributes(
		attribute.String("call", call),
		attribute.String("reply", reply),
	))
}

// ObserveOrder records the time until a worker responded to an order or the
// store to a write of progress.
func (m *Meter) ObserveOrder(ctx context.Context, order string, took time.Duration) {
	m.orderLatency.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("order", order)))
}

// CountOutcome counts an accepted job by its result.
func (m *Meter) CountOutcome(ctx context.Context, queue, result string) {
	m.jobOutcomes.Add(ctx, 1, metric.WithAttributes(
		attribute.String("queue", queue),
		attribute.String("result", result),
	))
}

// ObserveForecast records the difference between the forecast and the actual wait
// of a job.
func (m *Meter) ObserveForecast(ctx context.Context, queue string, forecast, actual time.Duration) {
	sign := "longer"
	if actual < forecast {
		sign = "shorter"
	}
	m.forecastError.Record(ctx, (actual - forecast).Abs().Seconds(), metric.WithAttributes(
		attribute.String("queue", queue),
		attribute.String("actual", sign),
	))
}

// CountMessage counts a message to another daemon and its size in bytes.
func (m *Meter) CountMessage(ctx context.Context, topic string, size int) {
	attributes := metric.WithAttributes(attribute.String("topic", topic))
	m.messageCount.Add(ctx, 1, attributes)
	m.messageBytes.Add(ctx, int64(size), attributes)
}

// ObserveClients makes the meter read what clients use whenever the metrics are
// collected. An error is of type SetupFailed.
func (m *Meter) ObserveClients(usage func() tanageringress.Usage) error {
	connections, err := m.source.Int64ObservableGauge("tanager_client_connections",
		metric.WithDescription("Open connections of clients."))
	if err != nil {
		return SetupFailed.Wrap(err, "create gauge of connections")
	}
	bytes, err := m.source.Int64ObservableGauge("tanager_client_bytes",
		metric.WithDescription("Use of the budget for heads and bodies."), metric.WithUnit("By"))
	if err != nil {
		return SetupFailed.Wrap(err, "create gauge of bytes")
	}
	turnedAway, err := m.source.Int64ObservableCounter("tanager_clients_turned_away",
		metric.WithDescription("Clients that were turned away, by reason."))
	if err != nil {
		return SetupFailed.Wrap(err, "create counter of clients that were turned away")
	}
	_, err = m.source.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		u := usage()
		o.ObserveInt64(connections, int64(u.Connections))
		o.ObserveInt64(bytes, u.Bytes)
		for reason, count := range u.TurnedAway() {
			o.ObserveInt64(turnedAway, int64(count), metric.WithAttributes(attribute.String("reason", reason)))
		}
		return nil
	}, connections, bytes, turnedAway)
	if err != nil {
		return SetupFailed.Wrap(err, "register the reading of clients")
	}
	return nil
}
