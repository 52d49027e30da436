package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFlowsAreProportionalToSpeed(t *testing.T) {
	targets := candidates(4)
	assert.Assert(t, share(t, requestAt(testNow), targets)[0] > 0.2)
	targets[0].Signal.SetSpeed(testNow, 0.5)
	shares := share(t, requestAt(testNow), targets)
	assert.Assert(t, shares[0] < 0.15, "%v", shares)
	t.Run("until the speed expires", func(t *testing.T) {
		assert.Equal(t, targets[0].Signal.Speed(testNow.Add(speedLifetime)), 0.5)
		assert.Equal(t, targets[0].Signal.Speed(testNow.Add(speedLifetime+1)), 1.0)
	})
}

func TestKnownLowSpeedIsNotPenalizedTwice(t *testing.T) {
	targets := candidates(1)
	request := requestAt(testNow)
	for range 30 {
		targets[0].Signal.RecordLatency(testNow, 4)
	}
	bySlowness := request.effectiveWeight(&targets[0])
	targets[0].Signal.SetSpeed(testNow, 0.5)
	assert.Equal(t, request.effectiveWeight(&targets[0]), bySlowness)
	targets[0].Signal.SetSpeed(testNow, 0.25)
	assert.Equal(t, request.effectiveWeight(&targets[0]), 0.25*float64(targets[0].Weight))
}

// A slow target takes its part of the zone's load, so it must not divert flows to another zone.
func TestSlowTargetDoesNotDivertFlowsToOtherZones(t *testing.T) {
	targets := candidates(2)
	targets[0].Zone, targets[1].Zone = "here", "elsewhere"
	targets[0].Signal.SetSpeed(testNow, 0.4)
	request := requestAt(testNow)
	request.Zone, request.PrefersZone = "here", true
	assert.Assert(t, share(t, request, targets)[0] > 0.999)
}
