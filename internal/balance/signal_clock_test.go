package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/nodetest"
)

// TestVerdictExpiresAfterClockStep guards against a live target that stays dead for as long as the time
// of day jumped back, and against a verdict that a jump ahead ends early.
func TestVerdictExpiresAfterClockStep(t *testing.T) {
	const verdict = 3 * time.Second
	for _, jump := range []time.Duration{-6 * time.Second, 6 * time.Second} {
		var signal Signal
		now := time.Now()
		signal.SetDead(now.Add(verdict), now.Add(2*verdict))
		signal.RecordNoResponse(now, 1)
		at := func(after time.Duration) time.Time { return nodetest.AfterClockStep(now.Add(after), jump) }
		assert.Assert(t, signal.IsDead(at(verdict-1)), "jump by %s", jump)
		assert.Assert(t, !signal.IsDead(at(verdict)), "jump by %s", jump)
		assert.Assert(t, signal.IsEjected(at(baseEjection-1)))
		assert.Assert(t, !signal.IsEjected(at(verdict)))
		signal.RecordActivity(now)
		assert.Assert(t, at(time.Second).After(signal.LastActivity()))
	}
}
