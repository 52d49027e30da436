package followed

import "time"

const (
	// pauseAfter is how long after a step without the next one a daemon must have
	// stood still: it ticks several times as often.
	pauseAfter = 400 * time.Millisecond
	// backlogFor is how long after that what arrives may have waited meanwhile.
	backlogFor = 300 * time.Millisecond
)

// pauseDetector notices that a daemon stood still. What was sent to it meanwhile
// arrives at once when it wakes, and looks as if it were new.
type pauseDetector struct {
	lastStep time.Time
	oldUntil time.Time
}

// note takes in that a step begins, and reports whether the daemon stood still
// before it.
func (p *pauseDetector) note(now time.Time) bool {
	stoodStill := !p.lastStep.IsZero() && now.Sub(p.lastStep) > pauseAfter
	p.lastStep = now
	if stoodStill {
		p.oldUntil = now.Add(backlogFor)
	}
	return stoodStill
}

// mayBeOld reports whether what arrives now may have waited for long.
func (p *pauseDetector) mayBeOld(now time.Time) bool { return now.Before(p.oldUntil) }

// noteTime is called at the beginning of each step.
func (f *Fleet) noteTime(now time.Time) {
	if f.pause.note(now) {
		f.follower.notePause()
	}
}
