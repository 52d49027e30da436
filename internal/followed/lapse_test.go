package followed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTheStoresReturnIsNoticed(t *testing.T) {
	const away = 2 * time.Second
	var watch returnWatch
	now := testStart
	confirmAfter := func(span time.Duration) time.Time {
		now = now.Add(span)
		watch.note(now, now, away)
		return watch.returnedAt
	}
	assert.Equal(t, confirmAfter(0), testStart, "entries may have expired before the first confirmation")
	for range 10 {
		assert.Equal(t, confirmAfter(away-1), testStart, "no outage while confirmations arrive often enough")
	}
	assert.Equal(t, confirmAfter(away), now)
	returned := now
	now = now.Add(time.Second)
	watch.note(now, returned, away)
	assert.Equal(t, watch.returnedAt, returned, "an old confirmation changes nothing")
}

func TestALapseIsASpanAfterTheReturn(t *testing.T) {
	config := DefaultFleetConfig()
	fleet := newTestFleet(config)
	lapse := fleet.Lapse(testStart)
	assert.Assert(t, lapse.Holds(testStart), "any target may be missing before the first confirmation")
	fleet.storeReturn.note(testStart, testStart, config.FreshFor)
	lapse = fleet.Lapse(testStart.Add(time.Hour))
	ends := testStart.Add(config.ReturnWithin)
	assert.Assert(t, lapse.Holds(ends.Add(-1)) && !lapse.Holds(ends))
	assert.Assert(t, lapse.Covers(testStart, testStart))
	assert.Assert(t, !lapse.Covers(testStart, testStart.Add(-time.Minute)), "the target was removed before the outage")
	assert.Assert(t, !lapse.Covers(ends, testStart), "a target still missing afterwards is gone")
}
