package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOutageIsDetected(t *testing.T) {
	const minOutage = 2 * time.Second
	var watch outageTracker
	now := testStart
	confirmAfter := func(delay time.Duration) time.Time {
		now = now.Add(delay)
		watch.recordConfirmation(now, now, minOutage)
		return watch.recoveredAt
	}
	assert.Equal(t, confirmAfter(0), testStart, "entries may have expired before the first confirmation")
	for range 10 {
		assert.Equal(t, confirmAfter(minOutage-1), testStart, "no outage while confirmations arrive often enough")
	}
	assert.Equal(t, confirmAfter(minOutage), now)
	recovered := now
	now = now.Add(time.Second)
	watch.recordConfirmation(now, recovered, minOutage)
	assert.Equal(t, watch.recoveredAt, recovered, "an old confirmation changes nothing")
}

func TestExpiryWindowFollowsOutage(t *testing.T) {
	config := DefaultFleetConfig()
	fleet := newTestFleet(config)
	window := fleet.ExpiryWindow(testStart)
	assert.Assert(t, window.IsOpen(testStart), "any target may be missing before the first confirmation")
	fleet.outages.recordConfirmation(testStart, testStart, config.MaxConfirmationAge)
	window = fleet.ExpiryWindow(testStart.Add(time.Hour))
	ends := testStart.Add(config.RenewalTimeout)
	assert.Assert(t, window.IsOpen(ends.Add(-1)) && !window.IsOpen(ends))
	assert.Assert(t, window.Covers(testStart, testStart))
	assert.Assert(t, !window.Covers(testStart, testStart.Add(-time.Minute)), "the target was removed before the outage")
	assert.Assert(t, !window.Covers(ends, testStart), "a target still missing afterwards is gone")
}
