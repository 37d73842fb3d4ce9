package tanagerlease

import "time"

// RightSettings configure a Right.
type RightSettings struct {
	// TTL is the length of the lease in the store.
	TTL time.Duration
	// Margin is taken off for the drift between two clocks over one TTL.
	Margin time.Duration
}

// Right is the right that the daemon's lease in the store gives. The zero
// renewal time is no right.
type Right struct {
	settings RightSettings
	sent     time.Time
}

// NewRight returns a right that does not hold yet.
func NewRight(s RightSettings) *Right {
	return &Right{
		settings: s,
	}
}

// Renewed notes a successful renewal that was sent at the given time.
func (r *Right) Renewed(sent time.Time) {
	if sent.After(r.sent) {
		r.sent = sent
	}
}

// Lost ends the right at once.
func (r *Right) Lost() { r.sent = time.Time{} }

// Holds reports whether the right holds at a time.
func (r *Right) Holds(now time.Time) bool {
	return !r.sent.IsZero() && now.Before(r.Until())
}

// Until returns when the right lapses if it is not renewed again.
func (r *Right) Until() time.Time { return r.sent.Add(r.settings.TTL - r.settings.Margin) }
