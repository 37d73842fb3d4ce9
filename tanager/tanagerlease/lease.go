package tanagerlease

import "time"

// RightSettings configures a Right.
type RightSettings struct {
	// TTL is the lease's time to live in the store.
	TTL time.Duration
	// Margin is subtracted from TTL for the drift between two clocks over one
	// TTL.
	Margin time.Duration
}

// Right tracks the validity of the daemon's lease in the store. It is not valid
// while renewalSent is zero.
type Right struct {
	settings    RightSettings
	renewalSent time.Time
}

// NewRight returns a right that is not valid until the first renewal.
func NewRight(s RightSettings) *Right {
	return &Right{
		settings: s,
	}
}

// Renewed records a successful renewal that was sent at the given time.
// Renewals may be reported out of order.
func (l *Right) Renewed(sent time.Time) {
	if sent.After(l.renewalSent) {
		l.renewalSent = sent
	}
}

// Lost invalidates the right at once.
func (l *Right) Lost() { l.renewalSent = time.Time{} }

// Holds reports whether the right is valid at the given time.
func (l *Right) Holds(now time.Time) bool {
	return !l.renewalSent.IsZero() && now.Before(l.Until())
}

// Until returns the time at which the right expires unless it is renewed.
func (l *Right) Until() time.Time { return l.renewalSent.Add(l.settings.TTL - l.settings.Margin) }
