package loop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A pause is reported before the first tick after it and for pauseBacklog after that tick.
func TestPauseIsReportedAfterResume(t *testing.T) {
	l := New()
	defer l.cancel()
	start := time.Now()
	l.RecordTick(start)
	assert.Equal(t, l.PausedFor(start.Add(TickInterval)), time.Duration(0))
	resumed := start.Add(4 * time.Second)
	assert.Equal(t, l.PausedFor(resumed), 4*time.Second)
	l.RecordTick(resumed)
	for after := TickInterval; after < pauseBacklog; after += TickInterval {
		l.RecordTick(resumed.Add(after))
		assert.Equal(t, l.PausedFor(resumed.Add(after)), 4*time.Second)
	}
	l.RecordTick(resumed.Add(pauseBacklog))
	assert.Equal(t, l.PausedFor(resumed.Add(pauseBacklog)), time.Duration(0))
}
