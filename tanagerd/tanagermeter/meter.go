// Package tanagermeter holds the metrics of a daemon that schedules jobs of a
// cell: OpenTelemetry counters and latency histograms, served as text.
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
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagermeter")

// SetupFailed means that an instrument could not be made.
var SetupFailed = Errors.NewType("setup_failed")

// boundaries of the latency histograms in seconds: from an answer out of memory
// to the longest deadline of a caller.
var boundaries = []float64{0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 3, 5}

// Meter counts what a daemon does. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	callers  metric.Float64Histogram
	orders   metric.Float64Histogram
}

// New returns a meter without readings.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	source := provider.Meter("tanagersail")
	m := &Meter{registry: registry}
	if m.callers, err = histogram(source, "tanager_caller_answer", "Time to answer a caller, by call and reply."); err != nil {
		return nil, err
	}
	if m.orders, err = histogram(source, "tanager_order_answer", "Time until a worker answered an order."); err != nil {
		return nil, err
	}
	return m, nil
}

func histogram(source metric.Meter, name, help string) (metric.Float64Histogram, error) {
	h, err := source.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(boundaries...))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "instrument %s", name)
	}
	return h, nil
}

// Handler serves the metrics as text.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CallerAnswered counts an answer to a caller.
func (m *Meter) CallerAnswered(ctx context.Context, call, reply string, took time.Duration) {
	m.callers.Record(ctx, took.Seconds(), metric.WithAttributes(
		attribute.String("call", call),
		attribute.String("reply", reply),
	))
}

// OrderAnswered counts a worker's answer.
func (m *Meter) OrderAnswered(ctx context.Context, order string, took time.Duration) {
	m.orders.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("order", order)))
}
