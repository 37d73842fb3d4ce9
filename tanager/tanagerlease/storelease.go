package tanagerlease

import "time"

// StoreLeaseSettings configures a StoreLease.
type StoreLeaseSettings struct {
	// TTL is the lease's time to live in the store.
	TTL time.Duration
	// DriftMargin is subtracted from TTL for the drift between two clocks over one
	// TTL.
	DriftMargin time.Duration
}

// StoreLease tracks the validity of the daemon's lease in the store. It is not
// valid while renewalSent is zero.
type StoreLease struct {
	settings    StoreLeaseSettings
	renewalSent time.Time
}

// NewStoreLease returns a store lease that is not valid until the first renewal.
func NewStoreLease(s StoreLeaseSettings) *StoreLease {
	return &StoreLease{
		settings: s,
	}
}

// RecordRenewal records a successful renewal that was sent at the given time.
// Renewals may be reported out of order.
func (l *StoreLease) RecordRenewal(sent time.Time) {
	if sent.After(l.renewalSent) {
		l.renewalSent = sent
	}
}

// Invalidate ends the lease at once, until the next renewal.
func (l *StoreLease) Invalidate() { l.renewalSent = time.Time{} }

// Valid reports whether the lease is valid at the given time.
func (l *StoreLease) Valid(now time.Time) bool {
	return !l.renewalSent.IsZero() && now.Before(l.Expiry())
}

// Expiry returns the time at which the lease expires unless it is renewed.
func (l *StoreLease) Expiry() time.Time {
	return l.renewalSent.Add(l.settings.TTL - l.settings.DriftMargin)
}
