package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestATargetGetsFlowsAsItsSpeed(t *testing.T) {
	among := candidates(4)
	assert.Assert(t, share(t, requestAt(testNow), among)[0] > 0.2)
	among[0].Signal.SetSpeed(testNow, 0.5)
	shares := share(t, requestAt(testNow), among)
	assert.Assert(t, shares[0] < 0.15, "%v", shares)
	t.Run("until the speed expires", func(t *testing.T) {
		assert.Equal(t, among[0].Signal.Speed(testNow.Add(speedLifetime)), 0.5)
		assert.Equal(t, among[0].Signal.Speed(testNow.Add(speedLifetime+1)), 1.0)
	})
}

func TestWhatIsKnownToBeSlowIsNotPunishedTwice(t *testing.T) {
	among := candidates(1)
	request := requestAt(testNow)
	for range 30 {
		among[0].Signal.NoteLatency(testNow, 4)
	}
	bySlowness := request.effectiveWeight(&among[0])
	among[0].Signal.SetSpeed(testNow, 0.5)
	assert.Equal(t, request.effectiveWeight(&among[0]), bySlowness)
	among[0].Signal.SetSpeed(testNow, 0.25)
	assert.Equal(t, request.effectiveWeight(&among[0]), 0.25*float64(among[0].Weight))
}

// A slow target takes its part of the zone's load, so it must not divert flows to another zone.
func TestASlowTargetIsNoReasonToLeaveTheZone(t *testing.T) {
	among := candidates(2)
	among[0].Zone, among[1].Zone = "here", "elsewhere"
	among[0].Signal.SetSpeed(testNow, 0.4)
	request := requestAt(testNow)
	request.Zone, request.PrefersZone = "here", true
	assert.Assert(t, share(t, request, among)[0] > 0.999)
}
