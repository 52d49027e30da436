package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSlownessFollowsAnswers(t *testing.T) {
	now := testNow
	t.Run("an unknown target has the usual speed", func(t *testing.T) {
		assert.Equal(t, new(slowness).value(now), 1.0)
		assert.Equal(t, new(slowness).penalty(now), 1.0)
	})
	t.Run("a few slow answers count, a single one does not", func(t *testing.T) {
		var held slowness
		held.note(now, 2)
		assert.Equal(t, held.penalty(now), 1.0)
		for range 5 {
			held.note(now, 5)
		}
		assert.Assert(t, held.penalty(now) > 2)
	})
	t.Run("an overdue answer counts at once and never lowers the average", func(t *testing.T) {
		var held slowness
		held.noteAtLeast(now, 6)
		assert.Equal(t, held.value(now), 6.0)
		held.noteAtLeast(now, 3)
		assert.Equal(t, held.value(now), 6.0)
	})
	t.Run("the average decays", func(t *testing.T) {
		var held slowness
		held.noteAtLeast(now, 6)
		assert.Equal(t, held.penalty(now.Add(4*slownessMemory)), 1.0)
	})
	t.Run("the average is bounded", func(t *testing.T) {
		var held slowness
		held.noteAtLeast(now, 1e9)
		assert.Equal(t, held.value(now), float64(slownessMost))
	})
}

func TestASlowTargetGetsFewFlows(t *testing.T) {
	among := candidates(5)
	assert.Assert(t, share(t, requestAt(testNow), among)[0] > 0.15)
	for range 8 {
		among[0].Signal.NoteLatency(testNow, 5)
	}
	shares := share(t, requestAt(testNow), among)
	assert.Assert(t, shares[0] < 0.05, "%v", shares)
}
