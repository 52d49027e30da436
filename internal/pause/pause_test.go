package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMessagesMayBeStaleAfterPause(t *testing.T) {
	var detector Detector
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !detector.Note(now), "no pause before the first step")
	now = now.Add(After)
	assert.Assert(t, !detector.Note(now))
	assert.Assert(t, !detector.MayBeOld(now))
	now = now.Add(After + 1)
	assert.Assert(t, detector.MayBeOld(now), "before the first step after the pause")
	assert.Assert(t, detector.Note(now))
	assert.Assert(t, detector.MayBeOld(now.Add(backlogDuration-1)))
	assert.Assert(t, !detector.MayBeOld(now.Add(backlogDuration)))
	assert.Assert(t, !detector.Note(now.Add(1)), "a pause is reported once")
}
