// Package pause detects that the process was paused, because it was suspended or not scheduled, from
// the time between two of its steps. What was sent to it during the pause is read afterwards and looks
// recent although it may be old.
package pause

import "time"

const (
	// Threshold is the maximum time between two steps that does not count as a pause. Daemons tick
	// several times as often.
	Threshold = 400 * time.Millisecond
	// backlogDuration is how long after a pause received messages may be stale, as they waited
	// during it.
	backlogDuration = 300 * time.Millisecond
)

// Detector detects pauses from the steps of one component. It is not safe for concurrent use.
type Detector struct {
	lastStep   time.Time
	staleUntil time.Time
}

// RecordStep records the start of a step and reports whether the process was paused before it.
func (d *Detector) RecordStep(now time.Time) bool {
	wasPaused := d.isOverdue(now)
	d.lastStep = now
	if wasPaused {
		d.staleUntil = now.Add(backlogDuration)
	}
	return wasPaused
}

// MayBeStale reports whether a message received now may have waited during a pause. It also detects a
// pause before the first step after it.
func (d *Detector) MayBeStale(now time.Time) bool {
	return now.Before(d.staleUntil) || d.isOverdue(now)
}

func (d *Detector) isOverdue(now time.Time) bool {
	return !d.lastStep.IsZero() && now.Sub(d.lastStep) > Threshold
}
