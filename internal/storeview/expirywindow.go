package storeview

import "time"

// Lapse is the window after the store's return in which a missing target may still be alive,
// because its entry expired while the store was unavailable. A target that is still missing
// afterwards counts as removed.
type Lapse struct {
	// Since is the earliest time at which a removal may be an expiry; Until is the end of the
	// window.
	Since time.Time
	Until time.Time
}

// Holds reports whether the window is open.
func (l *Lapse) Holds(now time.Time) bool { return now.Before(l.Until) }

// Covers reports whether a removal learned at learnedAt may be an expiry.
func (l *Lapse) Covers(now, learnedAt time.Time) bool {
	return l.Holds(now) && !learnedAt.Before(l.Since)
}
