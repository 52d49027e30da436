package loop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/nodetest"
)

// TestClockStepIsNoPause guards against taking a jump of the time of day for a pause of the process,
// which would cut a drain short.
func TestClockStepIsNoPause(t *testing.T) {
	for _, jump := range []time.Duration{-6 * time.Second, 6 * time.Second} {
		l := New()
		now := time.Now()
		l.RecordTick(now)
		next := nodetest.AfterClockStep(now.Add(TickInterval), jump)
		assert.Equal(t, l.PausedFor(next), time.Duration(0), "jump by %s", jump)
		l.RecordTick(next)
		assert.Equal(t, l.PausedFor(next), time.Duration(0), "jump by %s", jump)
		l.Cancel()
	}
}
