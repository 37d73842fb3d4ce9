// Package tanagermetric exports the metrics of a daemon with OpenTelemetry and
// serves them in the Prometheus text format.
//
// All instruments are asynchronous: they observe the daemon's status when the
// metrics are collected and cost nothing in between. Names have the prefix
// tanager_ and are in snake case, with their unit.
//
// # Usage
//
//	metrics, err := tanagermetric.New(source)
//	router.Handle("/metrics", metrics.Handler())
package tanagermetric
