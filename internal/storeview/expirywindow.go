package storeview

import "time"

// ExpiryWindow is the window after the store's return in which a missing target may still be alive,
// because its entry expired while the store was unavailable. A target that is still missing
// afterwards counts as removed.
type ExpiryWindow struct {
	// Since is the earliest time at which a removal may be an expiry; Until is the end of the
	// window.
	Since time.Time
	Until time.Time
}

// IsOpen reports whether the window is open.
func (l *ExpiryWindow) IsOpen(now time.Time) bool { return now.Before(l.Until) }

// Covers reports whether a removal learned at learnedAt may be an expiry.
func (l *ExpiryWindow) Covers(now, learnedAt time.Time) bool {
	return l.IsOpen(now) && !learnedAt.Before(l.Since)
}
