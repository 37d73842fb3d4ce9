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

	"tanagersail.example/tanager/tanageringress"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanagerd/tanagercontrol"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagermetric")

// SetupFailed means that the exporter or an instrument could not be created.
var SetupFailed = Errors.NewType("setup_failed")

// Snapshot holds the values that the instruments report.
type Snapshot struct {
	Status     tanagercontrol.Status
	StoreCalls tanagerstore.CallCounts
	// PeerBytesSent and PeerBytesReceived count the bytes of messages to and from
	// other daemons.
	PeerBytesSent     uint64
	PeerBytesReceived uint64
	// Clients is what the clients of the API use.
	Clients tanageringress.Usage
}

// Source provides the current values of the metrics.
type Source interface {
	// Snapshot returns false if the daemon's status is unavailable.
	Snapshot(ctx context.Context) (Snapshot, bool)
}

// Metrics are the metrics of one daemon.
type Metrics struct {
	registry *prometheus.Registry
}

// instrument is a metric with a single value. It is a gauge unless counter is
// set.
type instrument struct {
	name    string
	help    string
	counter bool
	value   func(Snapshot) int64
}

var instruments = []instrument{
	{
		name:    "tanager_requests_done",
		help:    "Requests that ended done or failed at their home.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.RequestsDone) },
	},
	{
		name:    "tanager_retries",
		help:    "Idempotent requests that were run again.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.Retries) },
	},
	{
		name:    "tanager_tasks_started",
		help:    "Tasks that were started on workers.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.TasksStarted) },
	},
	{
		name:    "tanager_tasks_ended",
		help:    "Tasks whose outcome was written.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.TasksEnded) },
	},
	{
		name:    "tanager_take_overs",
		help:    "Takeovers that were written.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.Takeovers) },
	},
	{
		name:    "tanager_hand_overs",
		help:    "Hand-overs that were written.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.Handovers) },
	},
	{
		name:    "tanager_workers_lost",
		help:    "Workers whose task lease has lapsed.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.WorkersLost) },
	},
	{
		name:    "tanager_workers_isolated",
		help:    "Isolations of workers that fail tasks.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.Status.Counters.WorkersIsolated) },
	},
	{
		name:    "tanager_store_writes",
		help:    "Write calls to the store.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.StoreCalls.Writes) },
	},
	{
		name:    "tanager_store_reads",
		help:    "Read calls and watches of the store.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.StoreCalls.Reads) },
	},
	{
		name:    "tanager_peer_sent_bytes",
		help:    "Bytes sent to other daemons.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.PeerBytesSent) },
	},
	{
		name:    "tanager_peer_received_bytes",
		help:    "Bytes received from other daemons.",
		counter: true,
		value:   func(s Snapshot) int64 { return int64(s.PeerBytesReceived) },
	},
	{
		name:  "tanager_config_revision",
		help:  "Revision of the configuration in force.",
		value: func(s Snapshot) int64 { return int64(s.Status.ConfigRevision) },
	},
	{
		name:  "tanager_members",
		help:  "Daemons in the cell.",
		value: func(s Snapshot) int64 { return int64(len(s.Status.Members)) },
	},
	{
		name:  "tanager_shards",
		help:  "Shards that the daemon owns.",
		value: func(s Snapshot) int64 { return int64(len(s.Status.Shards)) },
	},
	{
		name:  "tanager_queued_requests",
		help:  "Requests that wait for a slot.",
		value: func(s Snapshot) int64 { return int64(s.Status.QueuedRequests) },
	},
	{
		name:  "tanager_in_flight_requests",
		help:  "Requests that run at targets.",
		value: func(s Snapshot) int64 { return int64(s.Status.InFlight) },
	},
	{
		name:  "tanager_workers_known",
		help:  "Workers that have told their tasks.",
		value: func(s Snapshot) int64 { return int64(s.Status.KnownWorkers) },
	},
	{
		name:  "tanager_client_connections",
		help:  "Open connections of clients.",
		value: func(s Snapshot) int64 { return int64(s.Clients.Connections) },
	},
	{
		name:  "tanager_client_bytes",
		help:  "Use of the budget for heads and bodies, in bytes.",
		value: func(s Snapshot) int64 { return s.Clients.Bytes },
	},
	{
		name:  "tanager_tasks",
		help:  "Tasks on the daemon's workers.",
		value: func(s Snapshot) int64 { return int64(s.Status.Tasks) },
	},
}

// New returns the metrics of a source. The type of its error is SetupFailed.
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
	requestsNotDone, err := meter.Int64ObservableCounter("tanager_requests_not_done",
		metric.WithDescription("Requests that were not run or whose outcome is unknown, by code."))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "tanager_requests_not_done")
	}
	turnedAway, err := meter.Int64ObservableCounter("tanager_clients_turned_away",
		metric.WithDescription("Clients that were turned away, by reason."))
	if err != nil {
		return nil, SetupFailed.Wrap(err, "tanager_clients_turned_away")
	}
	observe := func(ctx context.Context, o metric.Observer) error {
		snapshot, ok := source.Snapshot(ctx)
		if !ok {
			return nil
		}
		for i, in := range instruments {
			o.ObserveInt64(observables[i].(metric.Int64Observable), in.value(snapshot))
		}
		for code, n := range snapshot.Status.Counters.RequestsOther {
			o.ObserveInt64(requestsNotDone, int64(n), metric.WithAttributes(attribute.String("code", string(code))))
		}
		for reason, n := range snapshot.Clients.TurnedAway() {
			o.ObserveInt64(turnedAway, int64(n), metric.WithAttributes(attribute.String("reason", reason)))
		}
		return nil
	}
	if _, err := meter.RegisterCallback(observe, append(observables, requestsNotDone, turnedAway)...); err != nil {
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

// Handler returns a handler that serves the metrics in the Prometheus text
// format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
