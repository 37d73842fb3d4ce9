package tanagermetric

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanagerd/tanagercontrol"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagermetric")

// SetupFailed means that an instrument could not be made.
var SetupFailed = Errors.NewType("setup_failed")

// Reading is what the instruments show.
type Reading struct {
	Status     tanagercontrol.Status
	StoreCalls tanagerstore.Calls
	// PeerSent and PeerReceived are bytes of messages between daemons.
	PeerSent     uint64
	PeerReceived uint64
}

// Source gives the present reading.
type Source interface {
	Reading(ctx context.Context) (Reading, bool)
}

// Metrics are the metrics of one daemon.
type Metrics struct {
	registry *prometheus.Registry
}

// instrument is a value that is read from the daemon's status.
type instrument struct {
	name    string
	help    string
	counter bool
	value   func(Reading) int64
}

var instruments = []instrument{
	{"tanager_requests_done", "Requests that ended done or failed at their home.", true, func(r Reading) int64 { return int64(r.Status.Counters.RequestsDone) }},
	{"tanager_retries", "Idempotent requests that were run again.", true, func(r Reading) int64 { return int64(r.Status.Counters.Retries) }},
	{"tanager_tasks_started", "Tasks that were started on workers.", true, func(r Reading) int64 { return int64(r.Status.Counters.TasksStarted) }},
	{"tanager_tasks_ended", "Tasks whose outcome was written.", true, func(r Reading) int64 { return int64(r.Status.Counters.TasksEnded) }},
	{"tanager_take_overs", "Takeovers that were written.", true, func(r Reading) int64 { return int64(r.Status.Counters.TakeOvers) }},
	{"tanager_hand_overs", "Hand-overs that were written.", true, func(r Reading) int64 { return int64(r.Status.Counters.HandOvers) }},
	{"tanager_workers_lost", "Workers whose task lease has lapsed.", true, func(r Reading) int64 { return int64(r.Status.Counters.WorkersLost) }},
	{"tanager_workers_isolated", "Isolations of workers that fail tasks.", true, func(r Reading) int64 { return int64(r.Status.Counters.Isolated) }},
	{"tanager_store_writes", "Write calls to the store.", true, func(r Reading) int64 { return int64(r.StoreCalls.Writes) }},
	{"tanager_store_reads", "Read calls and watches of the store.", true, func(r Reading) int64 { return int64(r.StoreCalls.Reads) }},
	{"tanager_peer_sent_bytes", "Bytes sent to other daemons.", true, func(r Reading) int64 { return int64(r.PeerSent) }},
	{"tanager_peer_received_bytes", "Bytes received from other daemons.", true, func(r Reading) int64 { return int64(r.PeerReceived) }},
	{"tanager_config_revision", "Revision of the configuration in force.", false, func(r Reading) int64 { return int64(r.Status.ConfigRevision) }},
	{"tanager_members", "Daemons in the cell.", false, func(r Reading) int64 { return int64(len(r.Status.Members)) }},
	{"tanager_shards", "Shards that the daemon owns.", false, func(r Reading) int64 { return int64(len(r.Status.Shards)) }},
	{"tanager_queued_requests", "Requests that wait for a slot.", false, func(r Reading) int64 { return int64(r.Status.QueuedRequests) }},
	{"tanager_in_flight_requests", "Requests that run at targets.", false, func(r Reading) int64 { return int64(r.Status.InFlight) }},
	{"tanager_workers_known", "Workers that have told their tasks.", false, func(r Reading) int64 { return int64(r.Status.KnownWorkers) }},
	{"tanager_tasks", "Tasks on the daemon's workers.", false, func(r Reading) int64 { return int64(r.Status.Tasks) }},
}

// New registers the instruments.
func New(source Source) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("tanagerd")
	observables := make([]metric.Observable, len(instruments))
	for i, in := range instruments {
		observables[i], err = in.register(meter)
		if err != nil {
			return nil, SetupFailed.Wrap(err, "%s", in.name)
		}
	}
	other, err := meter.Int64ObservableCounter("tanager_requests_not_done", metric.WithDescription("Requests that were not run or whose outcome is unknown, by code."))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "tanager_requests_not_done")
	}
	observe := func(ctx context.Context, o metric.Observer) error {
		reading, ok := source.Reading(ctx)
		if !ok {
			return nil
		}
		for i, in := range instruments {
			o.ObserveInt64(observables[i].(metric.Int64Observable), in.value(reading))
		}
		for code, n := range reading.Status.Counters.RequestsOther {
			o.ObserveInt64(other, int64(n), metric.WithAttributes(attribute.String("code", string(code))))
		}
		return nil
	}
	if _, err := meter.RegisterCallback(observe, append(observables, other)...); err != nil {
		return nil, SetupFailed.Wrap(err, "callback")
	}
	return &Metrics{
		registry: registry,
	}, nil
}

func (in instrument) register(meter metric.Meter) (metric.Observable, error) {
	if in.counter {
		return meter.Int64ObservableCounter(in.name, metric.WithDescription(in.help))
	}
	return meter.Int64ObservableGauge(in.name, metric.WithDescription(in.help))
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
