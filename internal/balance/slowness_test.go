package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSlowness(t *testing.T) {
	now := testNow
	t.Run("an unknown target has the usual speed", func(t *testing.T) {
		assert.Equal(t, new(slowness).value(now), 1.0)
		assert.Equal(t, new(slowness).penalty(now), 1.0)
	})
	t.Run("a few slow responses count, a single one does not", func(t *testing.T) {
		var average slowness
		average.record(now, 2)
		assert.Equal(t, average.penalty(now), 1.0)
		for range 5 {
			average.record(now, 5)
		}
		assert.Assert(t, average.penalty(now) > 2)
	})
	t.Run("an overdue response counts at once and never lowers the average", func(t *testing.T) {
		var average slowness
		average.recordAtLeast(now, 6)
		assert.Equal(t, average.value(now), 6.0)
		average.recordAtLeast(now, 3)
		assert.Equal(t, average.value(now), 6.0)
	})
	t.Run("the average decays", func(t *testing.T) {
		var average slowness
		average.recordAtLeast(now, 6)
		assert.Equal(t, average.penalty(now.Add(4*slownessDecay)), 1.0)
	})
	t.Run("the average is bounded", func(t *testing.T) {
		var average slowness
		average.recordAtLeast(now, 1e9)
		assert.Equal(t, average.value(now), float64(maxSlowness))
	})
}

func TestSlowTargetGetsFewFlows(t *testing.T) {
	targets := candidates(5)
	assert.Assert(t, share(t, requestAt(testNow), targets)[0] > 0.15)
	for range 8 {
		targets[0].Signal.RecordLatency(testNow, 5)
	}
	shares := share(t, requestAt(testNow), targets)
	assert.Assert(t, shares[0] < 0.05, "%v", shares)
}
