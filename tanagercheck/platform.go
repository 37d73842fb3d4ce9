package tanagercheck

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	workerPrefix   = "servers/"
	operatorPrefix = "op/"
	configKey      = operatorPrefix + "config"
	serviceName    = "pool"
	queueName      = "queue"
	maxAttempts    = 50
	stretch        = 4
	slack          = time.Minute
	queueTimeout   = 3 * time.Second
)

var queue = tanagerport.Queue{
	Name:        queueName,
	Host:        "site.example",
	Prefix:      "/jobs/",
	Service:     serviceName,
	Timeout:     queueTimeout,
	MaxAttempts: maxAttempts,
	Stretch:     stretch,
	Slack:       slack,
}

// workerRecord is the entry of a worker.
type workerRecord struct {
	Incarnation int64 `json:"born"`
	Address     byte  `json:"address"`
}

// decoder implements tanagercell.Decoder.
type decoder struct{}

func (decoder) WorkerPrefix() string   { return workerPrefix }
func (decoder) OperatorPrefix() string { return operatorPrefix }

func (decoder) Worker(item tanagerport.Item) (tanagerport.WorkerEntry, error) {
	var r workerRecord
	if err := tanagerwire.Decode(item.Value, &r); err != nil {
		return tanagerport.WorkerEntry{}, err
	}
	return tanagerport.WorkerEntry{
		ID:            strings.TrimPrefix(item.Key, workerPrefix),
		Incarnation:   r.Incarnation,
		Service:       serviceName,
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, r.Address}), peerPort),
		FailureDomain: "zone",
		Rack:          "rack",
		Capacity:      tanagerwork.Resources{MilliCPU: workerMilliCPU},
	}, nil
}

func (decoder) Configuration(item tanagerport.Item) (tanagerport.Configuration, bool, error) {
	return tanagerport.Configuration{
		Version:  1,
		Queues:   []tanagerport.Queue{queue},
		Services: []tanagerport.Service{{Name: serviceName}},
	}, item.Key == configKey, nil
}

func (decoder) Wave(tanagerport.Item) (tanagerport.Wave, bool, error) {
	return tanagerport.Wave{}, false, nil
}

func (decoder) WaveStatus(int, bool) (string, []byte) { return "", nil }

// discardMetrics implements tanagercell.Metrics.
type discardMetrics struct{}

func (discardMetrics) CountOutcome(context.Context, string, string)                          {}
func (discardMetrics) ObserveForecast(context.Context, string, time.Duration, time.Duration) {}
func (discardMetrics) ObserveOrder(context.Context, string, time.Duration)                   {}
func (discardMetrics) ObserveCall(context.Context, string, string, time.Duration)            {}
func (discardMetrics) CountMessage(context.Context, string, int)                             {}
