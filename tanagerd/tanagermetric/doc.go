// Package tanagermetric keeps the metrics of a daemon with OpenTelemetry and
// serves them in the Prometheus format.
//
// Instruments observe the daemon's status when they are read, so counting costs
// nothing in between. Names begin with tanager and are in snake case with their
// unit.
//
// # Usage
//
//	metrics, err := tanagermetric.New(source)
//	router.Handle("/metrics", metrics.Handler())
package tanagermetric
